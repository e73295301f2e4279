package quarantine

import (
	"hash/fnv"
	"io"
	"slices"
	"sync"
	"time"
)

// Limits of the evidence.
const (
	maxCrashes = 256 // the oldest are dropped
	// maxRequestIDBytes is how much of a request's id is kept, since callers choose it.
	maxRequestIDBytes = 64
	evidenceLife      = time.Hour // longer than the longest time for which parts are refused
	// successStep is the least time by which a success must be newer than the known one. Ages grow a little with each hop
	// between instances, and must not make an old success look newer.
	successStep = time.Second
	maxBegan    = 8192             // parts in each generation of recentParts
	beganLife   = 30 * time.Second // time for which a generation of recentParts is filled
)

// Crash is the evidence of one request: an engine ended before it had begun to write the answer.
type Crash struct {
	Request string
	Server  string
	Caller  Caller
	Parts   []string
	At      time.Time
}

// Caller is who sent a request, as far as the instances can tell. It is empty on public routes.
type Caller struct {
	Account string // client account
	Key     string // hash of the API key
}

// success is the evidence that an engine began to write an answer on a prompt with a part, and went on.
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

// addCrash adds a crash, and reports whether it was not known. Of two reports of the same request at the same server the
// earlier time is kept, since reports are delayed on their way.
func (l *ledger) addCrash(now time.Time, c Crash) bool {
	if len(c.Parts) == 0 || now.Sub(c.At) > evidenceLife {
		return false
	}
	for n, known := range l.crashes {
		if known.Request == c.Request && known.Server == c.Server {
			if c.At.Before(known.At) {
				l.crashes[n].At = c.At
				l.sort()
			}
			return false
		}
	}
	c.Parts = slices.Compact(slices.Sorted(slices.Values(c.Parts)))
	l.crashes = append(l.crashes, c)
	l.sort()
	l.trim(len(l.crashes) - maxCrashes)
	return true
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
	l.trim(old)
	return old > 0
}

// trim drops the n oldest crashes, and the successes of parts that no other crash has.
func (l *ledger) trim(n int) {
	if n <= 0 {
		return
	}
	l.crashes = slices.Delete(l.crashes, 0, n)
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

// digest returns a digest of the crashes and of the parts that have succeeded since their last crash, or 0 without
// evidence. Two instances with the same evidence have the same digest.
func (l *ledger) digest() uint64 {
	sum := uint64(0)
	last := make(map[string]time.Time)
	for _, c := range l.crashes {
		sum ^= hash(c.Request, c.Server)
		for _, part := range c.Parts {
			last[part] = c.At
		}
	}
	for part, at := range last {
		if l.successes[part].After(at) {
			sum ^= hash(part)
		}
	}
	return sum
}

func hash(texts ...string) uint64 {
	h := fnv.New64a()
	for _, text := range texts {
		_, _ = io.WriteString(h, text) // never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// recentParts holds the parts of prompts on which engines have recently begun answers, in two generations, so that old
// ones are dropped at once.
type recentParts struct {
	mu            sync.Mutex
	parts, before map[string]time.Time
	since         time.Time // start of the newer generation
}

// add records that an engine has begun an answer on a prompt with the given parts.
func (r *recentParts) add(now time.Time, parts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.parts == nil || now.Sub(r.since) > beganLife {
		r.parts, r.before, r.since = make(map[string]time.Time), r.parts, now
	}
	for _, part := range parts {
		if _, known := r.parts[part]; known || len(r.parts) < maxBegan {
			r.parts[part] = now
		}
	}
}

// successes returns what is known of the given parts.
func (r *recentParts) successes(now time.Time, parts []string) []success {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []success
	for _, part := range parts {
		at, ok := r.parts[part]
		if !ok {
			at, ok = r.before[part]
		}
		if ok && now.Sub(at) < 2*beganLife {
			out = append(out, success{part, at})
		}
	}
	return out
}
