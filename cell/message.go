package cell

import (
	"hash/fnv"
	"io"
	"math"
	"time"

	"teaselgate/rule"
)

// RPCName is the name under which the dispatchers' methods are registered.
const RPCName = "Cell"

// ID identifies a cell: a share of a prefill pool and of a decode pool.
type ID struct {
	Prefill string
	Decode  string
	Share   int
}

// Status is the result of a PlaceRequest.
type Status uint8

// Results of a PlaceRequest.
const (
	Waiting  Status = iota // call again with the same key
	Placed                 // the reply names the servers
	Shed                   // the request could not be answered in time
	NoServer               // no server can take the request
	OverRate               // the client account is over its rate
	Moved                  // the instance gives up the cell; call the next one
)

// PlaceArgs asks a dispatcher to place a request.
type PlaceArgs struct {
	Cell ID
	Ask  PlaceRequest
}

// PlaceReply is the reply to PlaceArgs.
type PlaceReply struct {
	Status  Status
	Prefill string
	Decode  string
	Early   bool // the dispatcher wants a report as soon as the transfer has ended
	RetryIn time.Duration
	Reason  string // why the request was not placed
	Waiting int    // requests waiting in the cell
	Level   Level  // of the bucket of the request's account
	Inputs  Inputs
}

// Level is the level of a client account's token bucket.
type Level struct {
	Known  bool
	Tokens float64
}

// Debit is the number of tokens that requests to plain services charged to a client account.
type Debit struct {
	Account string
	Tokens  int64
	Rate    float64 // tokens per second
	Burst   float64 // tokens
}

// DebitArgs reports debits to the dispatcher that limits the accounts' rates.
type DebitArgs struct {
	Cell   ID
	Debits []Debit
}

// DebitReply contains for how long each account is in debt, in the order of the debits.
type DebitReply struct {
	Debts []time.Duration
}

// Released reports the end of a reservation, or, with Imported and without Ended, its progress. Times are relative to
// the placement; 0 means never.
type Released struct {
	Key        string
	Prefilled  time.Duration
	Imported   time.Duration
	Ended      time.Duration
	Generated  int
	Cached     int
	Refused    bool
	BadPrefill bool
	BadDecode  bool
}

// ReleaseArgs releases reservations of one cell.
type ReleaseArgs struct {
	Cell   ID
	Places []Released
}

// ReleaseReply is the reply to ReleaseArgs.
type ReleaseReply struct{}

func releasedFromReport(key string, r Report) Released {
	since := func(t time.Time) time.Duration {
		if t.IsZero() || r.Placed.IsZero() {
			return 0
		}
		return max(t.Sub(r.Placed), 1)
	}
	return Released{
		Key: key, Prefilled: since(r.Prefilled), Imported: since(r.Imported), Ended: since(r.Ended),
		Generated: r.Generated, Cached: r.Cached, Refused: r.Refused, BadPrefill: r.BadPrefill, BadDecode: r.BadDecode,
	}
}

// report converts r into a Report whose times are relative to an arbitrary time of placement.
func (r Released) report() Report {
	start := time.Unix(1, 0)
	at := func(d time.Duration) time.Time {
		if d == 0 {
			return time.Time{}
		}
		return start.Add(d)
	}
	out := Report{
		Prefilled: at(r.Prefilled), Imported: at(r.Imported), Ended: at(r.Ended),
		Generated: r.Generated, Cached: r.Cached, Refused: r.Refused, BadPrefill: r.BadPrefill, BadDecode: r.BadDecode,
	}
	if r.Ended > 0 || r.Imported > 0 {
		out.Placed = start
	}
	return out
}

// rendezvousWeight returns a weight for rendezvous hashing: the candidate with the greatest weight is chosen.
func rendezvousWeight(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = io.WriteString(h, p)
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix spreads the differences of similar hashes over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// maxCellDecodes is the largest mean number of decode servers per cell. A placement looks at each server of the cell,
// which takes some ten microseconds at this number. With more cells, the equal part of each account's rate that a cell
// grants would fit its part of the account's requests less well.
const maxCellDecodes = 256

// cellCount returns the number of cells that share a decode pool.
func cellCount(decodes int) int {
	return max(int(math.Ceil(float64(decodes)/maxCellDecodes)), 1)
}

// serversOfShare returns the servers of one of n shares of a pool.
func serversOfShare(servers []rule.Server, share, n int) []rule.Server {
	if n == 1 {
		return servers
	}
	out := make([]rule.Server, 0, len(servers)/n+1)
	for _, s := range servers {
		if shareIndex(s.Server, n) == share {
			out = append(out, s)
		}
	}
	return out
}

func shareIndex(server string, n int) int {
	best, weight := 0, uint64(0)
	for i := range n {
		if w := rendezvousWeight(server, string(rune('0'+i))); w > weight {
			best, weight = i, w
		}
	}
	return best
}
