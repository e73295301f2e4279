package throttle

import (
	"cmp"
	"strconv"
	"time"

	"teaselgate/gossip"
	"teaselgate/upstream"
)

// Kind is a kind of answers of backend servers. A server may name its limit in answers of some kinds only.
type Kind uint8

// Kinds of answers.
const (
	Run     Kind = 1 << iota // an answer with a seal
	Reject                   // a rejection without a run
	Control                  // an answer to a report or an order
	Other                    // any other answer, such as that to a prefill
)

// Answer is what an answer of a backend server says about the server's limit.
type Answer struct {
	Kind    Kind
	Limited bool
	Rate    float64   // requests per second that the server takes from all instances; valid only if Limited
	SentAt  time.Time // when the request was sent
}

// Limit is a limit in force.
type Limit struct {
	Server upstream.ServerKey
	Rate   float64 // requests per second from all instances
}

// statement is the newest that is known about the limit of a server. Of two statements the one with the later time holds.
type statement struct {
	rate    float64   // requests per second
	limited bool      // false once the server no longer names a limit
	kinds   Kind      // kinds of answers that have named the limit
	at      time.Time // when the answer was received
}

// endedTTL is how long the end of a limit is kept, for instances that have not heard of it.
const endedTTL = 5 * time.Minute

// isExpired reports whether a statement is the end of a limit that all instances have long heard of.
func (s statement) isExpired(now time.Time) bool { return !s.limited && now.Sub(s.at) > endedTTL }

// Statement is a statement as sent to other instances, whose clocks may differ.
type Statement struct {
	Server  upstream.ServerKey
	Rate    float64
	Limited bool
	Kinds   Kind
	Age     time.Duration // time since the answer
}

func (s statement) export(server upstream.ServerKey, now time.Time) Statement {
	return Statement{Server: server, Rate: s.rate, Limited: s.limited, Kinds: s.kinds, Age: now.Sub(s.at)}
}

func (s Statement) local(now time.Time) statement {
	return statement{rate: s.Rate, limited: s.Limited, kinds: s.Kinds, at: now.Add(-max(s.Age, 0))}
}

// statementBytes is the approximate size of a statement in a message without its texts, in bytes.
const statementBytes = 20

// size returns the approximate size of a statement in a message, in bytes.
func (s Statement) size() int { return statementBytes + len(s.Server.Server) + len(s.Server.Address) }

// group returns the group of a statement in exchanges between instances.
func (s Statement) group() int { return gossip.GroupOf(gossip.Hash(s.Server.Server, s.Server.Address)) }

// digestStatements returns digests of statements, by group, without their ages.
func digestStatements(all []Statement) gossip.Digests {
	var out gossip.Digests
	for _, s := range all {
		out[s.group()] ^= gossip.Hash(s.Server.Server, s.Server.Address, strconv.FormatBool(s.Limited), strconv.FormatFloat(s.Rate, 'g', -1, 64))
	}
	return out
}

// compareStatements orders statements by their servers.
func compareStatements(a, b Statement) int {
	return cmp.Or(cmp.Compare(a.Server.Server, b.Server.Server), cmp.Compare(a.Server.Address, b.Server.Address))
}
