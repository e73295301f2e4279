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

// ID names a cell: a share of a prefill pool and of a decode pool.
type ID struct {
	Prefill string
	Decode  string
	Share   int
}

// Status tells what became of an Ask.
type Status uint8

// The states of an Ask.
const (
	Waiting  Status = iota // ask again with the same key
	Placed                 // the reply names the servers
	Shed                   // it could not be answered in time
	NoServer               // no server can take it
	OverRate               // its client account is over its rate
	Moved                  // the instance gives the cell up; the next one has it
)

// PlaceArgs asks a dispatcher for a place.
type PlaceArgs struct {
	Cell ID
	Ask  PlaceRequest
}

// PlaceReply answers PlaceArgs.
type PlaceReply struct {
	Status  Status
	Prefill string
	Decode  string
	Early   bool // a report is wanted as soon as the transfer has ended
	RetryIn time.Duration
	Reason  string // of a request that gets no place
	Waiting int    // requests that wait in the cell
	Inputs  Inputs
}

// Debit is what requests to plain services took from a client account's rate.
type Debit struct {
	Account string
	Tokens  int64
	Rate    float64 // tokens a second
	Burst   float64 // tokens
}

// DebitArgs reports debits to the dispatcher that meters the accounts.
type DebitArgs struct {
	Cell   ID
	Debits []Debit
}

// DebitReply tells for how long accounts are in debt, in the order of the debits.
type DebitReply struct {
	Debts []time.Duration
}

// Released is a place given back. Times are counted from when the place was given; 0 means never.
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

// ReleaseArgs gives places of one cell back.
type ReleaseArgs struct {
	Cell   ID
	Places []Released
}

// ReleaseReply answers ReleaseArgs.
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

// report turns a released place into a report whose times count from an arbitrary start.
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

// weightOf is a rendezvous weight: the candidate with the greatest one has the cell.
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

// maxCellServers is the number of decode servers in one cell. A placement looks at each of them, which takes some ten
// microseconds at this number; more cells share the accounts' rates less exactly.
const maxCellDecodes = 256

// shares returns the number of cells that a decode pool is cut into.
func cellCount(decodes int) int {
	return max(int(math.Ceil(float64(decodes)/maxCellDecodes)), 1)
}

// shareOf keeps the servers of one share of a pool.
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
