package quarantine

import (
	"slices"
	"sync"
	"time"

	"teaselgate/gossip"
)

// Limits of the evidence.
const (
	maxCrashes = 512 // beyond that, first those are dropped that are explained by no part any more, then the oldest
	// maxRequestIDBytes is how much of a request's id is kept, since callers choose it.
	maxRequestIDBytes = 64
	evidenceLife      = time.Hour // longer than the longest time for which parts are refused
	// successStep is the least time by which a success must be newer than the known one. Ages grow a little with each hop
	// between instances, and must not make an old success look newer.
	successStep = time.Second
	maxBegan    = 8192             // parts in each generation of recentParts
	beganLife   = 30 * time.Second // time for which a generation of recentParts is filled
)

// Crash is the evidence of one request: a server ended before it had answered.
type Crash struct {
	Request string
	Server  string
	Caller  Caller
	Parts   []string // the request itself (RequestPart) and, unless the answer had begun, the parts of its prompt
	Begun   bool     // whether the answer had begun
	Answers int      // answers to the same request, at all instances, as the reporting one estimates from its own since its last report
	Served  bool     // whether an instance has seen the server answer the same request before
	Sent    time.Time
	At      time.Time
}

// Caller is who sent a request, as far as the instances can tell. It is empty on public routes.
type Caller struct {
	Account string // client account
	Key     string // hash of the API key
}

// success is the evidence that a server answered a request with a part, or began to write the answer and went on.
type success struct {
	part string
	at   time.Time
}

// ledger holds the evidence that an instance knows.
type ledger struct {
	crashes   []Crash              // oldest first
	successes map[string]time.Time // newest success, by part of one of the crashes
}

func newLedger() ledger { return ledger{successes: make(map[string]time.Time)} }

// addCrash adds a crash, and reports whether it was not known, or not that the server had answered the request before. Of two reports of the same request at the same server the
// earlier time is kept, since reports are delayed on their way.
func (l *ledger) addCrash(now time.Time, c Crash) bool {
	if len(c.Parts) == 0 || now.Sub(c.At) > evidenceLife {
		return false
	}
	for n, known := range l.crashes {
		if known.Request == c.Request && known.Server == c.Server {
			served := c.Served && !known.Served
			l.crashes[n].Served = known.Served || c.Served
			if c.At.Before(known.At) {
				l.crashes[n].At = c.At
				l.sort()
			}
			return served
		}
	}
	c.Parts = slices.Compact(slices.Sorted(slices.Values(c.Parts)))
	l.crashes = append(l.crashes, c)
	l.sort()
	if len(l.crashes) > maxCrashes {
		l.dropOne()
	}
	return true
}

// dropOne drops the oldest crash of which all parts have succeeded since or, without one, the oldest.
func (l *ledger) dropOne() {
	at := slices.IndexFunc(l.crashes, func(c Crash) bool { return !hasAnyPart(c, c.Parts, l.successes) })
	l.drop(max(at, 0), max(at, 0)+1)
}

func (l *ledger) sort() {
	slices.SortStableFunc(l.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
}

// lastCrash returns the time of the last crash under a part, or false if there is none.
func (l *ledger) lastCrash(part string) (time.Time, bool) {
	for _, c := range slices.Backward(l.crashes) {
		if slices.Contains(c.Parts, part) {
			return c.At, true
		}
	}
	return time.Time{}, false
}

// addSuccess adds a success, and reports whether it is notably newer than the known one of that part, or the first since the
// last crash.
func (l *ledger) addSuccess(s success) bool {
	crash, isSuspect := l.lastCrash(s.part)
	known, ok := l.successes[s.part]
	isFirstSince := known.Before(crash) && s.at.After(crash)
	if !isSuspect || ok && s.at.Sub(known) < successStep && !isFirstSince {
		return false
	}
	l.successes[s.part] = s.at
	return true
}

// prune drops old crashes, and reports whether there were any.
func (l *ledger) prune(now time.Time) bool {
	old := 0
	for old < len(l.crashes) && now.Sub(l.crashes[old].At) > evidenceLife {
		old++
	}
	l.drop(0, old)
	return old > 0
}

// drop drops the crashes from one index to before another, and the successes of parts that no other crash has.
func (l *ledger) drop(from, to int) {
	if from == to {
		return
	}
	l.crashes = slices.Delete(l.crashes, from, to)
	kept := make(map[string]time.Time)
	for _, c := range l.crashes {
		for _, part := range c.Parts {
			if at, ok := l.successes[part]; ok {
				kept[part] = at
			}
		}
	}
	l.successes = kept
}

// group returns the group of a crash in exchanges between instances.
func (c Crash) group() int { return gossip.GroupOf(gossip.Hash(c.Request, c.Server)) }

// size returns the approximate size of a crash and the successes of its parts in a message, in bytes.
func (c Crash) size() int {
	size := crashBytes + len(c.Request) + len(c.Server) + len(c.Caller.Account) + len(c.Caller.Key)
	for _, part := range c.Parts {
		size += successBytes + 2*len(part)
	}
	return size
}

// Approximate sizes in messages, in bytes, without texts.
const (
	crashBytes   = 24
	successBytes = 10
)

// sizes returns the sizes of the groups.
func (l *ledger) sizes() (out [gossip.Groups]int) {
	for _, c := range l.crashes {
		out[c.group()] += c.size()
	}
	return out
}

// digests returns digests of the crashes with those of their parts that have succeeded since the last crash under them, by
// group. Two instances with the same evidence have the same digests.
func (l *ledger) digests() gossip.Digests {
	last := make(map[string]time.Time)
	for _, c := range l.crashes {
		for _, part := range c.Parts {
			last[part] = c.At
		}
	}
	var out gossip.Digests
	for _, c := range l.crashes {
		texts := []string{c.Request, c.Server}
		for _, part := range c.Parts {
			if l.successes[part].After(last[part]) {
				texts = append(texts, part)
			}
		}
		out[c.group()] ^= gossip.Hash(texts...)
	}
	return out
}

// recentParts holds the parts of recent requests that servers have answered, in two generations, so that old ones are
// dropped at once.
type recentParts struct {
	mu            sync.Mutex
	parts, before map[string]answered
	since         time.Time // start of the newer generation
}

// answered is what is known of the answers to requests with a part.
type answered struct {
	last    time.Time
	count   int      // in this generation, since the last crash under the part
	servers []string // the last servers that answered, at most maxServers
}

// maxServers is the number of servers that are remembered to have answered a request.
const maxServers = 16

// add records that a server has answered a request with the given parts, or has begun to. Suspects are recorded whatever
// the number of parts.
func (r *recentParts) add(now time.Time, parts []string, server string, suspects map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.parts == nil || now.Sub(r.since) > beganLife {
		r.parts, r.before, r.since = make(map[string]answered), r.parts, now
	}
	for _, part := range parts {
		if known, ok := r.parts[part]; ok || len(r.parts) < maxBegan || suspects[part] {
			r.parts[part] = answered{now, known.count + 1, addServer(known.servers, server)}
		}
	}
}

// addServer adds a server to those that have answered a request, and drops the oldest beyond maxServers.
func addServer(servers []string, server string) []string {
	if server == "" || slices.Contains(servers, server) {
		return servers
	}
	return append(slices.Clone(servers[max(len(servers)+1-maxServers, 0):]), server)
}

// hasServed reports whether a server has recently answered one of the requests that the parts stand for.
func (r *recentParts) hasServed(parts []string, server string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(parts, func(part string) bool {
		return isRequestPart(part) &&
			(slices.Contains(r.parts[part].servers, server) || slices.Contains(r.before[part].servers, server))
	})
}

// successes returns what is known of the given parts.
func (r *recentParts) successes(now time.Time, parts []string) []success {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []success
	for _, part := range parts {
		known, ok := r.parts[part]
		if !ok {
			known, ok = r.before[part]
		}
		if ok && now.Sub(known.last) < 2*beganLife {
			out = append(out, success{part, known.last})
		}
	}
	return out
}

// takeAnswers returns the number of recent answers to a request since the last call for it.
func (r *recentParts) takeAnswers(part string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, generation := range []map[string]answered{r.parts, r.before} {
		if known, ok := generation[part]; ok {
			n += known.count
			generation[part] = answered{known.last, 0, known.servers}
		}
	}
	return n
}

// answeredSince reports whether one of the parts that stand for whole requests has been answered after a time.
func (r *recentParts) answeredSince(parts []string, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(parts, func(part string) bool { return isRequestPart(part) && r.parts[part].last.After(at) })
}
