package throttle

import (
	"time"

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

// statement is the newest that is known about the limit of a server. Of two statements the one with the later time holds.
type statement struct {
	rate    float64   // requests per second
	limited bool      // false once the server no longer names a limit
	kinds   Kind      // kinds of answers that have named the limit
	at      time.Time // when the answer was received
}

// Limit is a limit in force.
type Limit struct {
	Server upstream.ServerKey
	Rate   float64 // requests per second from all instances
}
