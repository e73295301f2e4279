package event

import (
	"sync"
	"time"
)

// Limits on equal log lines.
const (
	repeatWindow     = 10 * time.Second
	maxEqualLines    = 5    // equal lines that are logged in a window
	maxDistinctLines = 1024 // different lines that are told apart in a window
)

// lineKey is what makes two log lines equal.
type lineKey struct {
	code                    Code
	account, server, detail string
}

// repeatLimiter counts equal log lines in windows, so that a flood of them does not fill the log.
type repeatLimiter struct {
	mu        sync.Mutex
	windowEnd time.Time // end of the window
	counts    map[lineKey]int
}

// admit tells whether an event's line is logged, and returns the lines held back in a window that just ended.
func (r *repeatLimiter) admit(e Event, now time.Time) (logged bool, suppressed map[lineKey]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.windowEnd) {
		suppressed = r.suppressedLines()
		r.counts = make(map[lineKey]int)
		r.windowEnd = now.Add(repeatWindow)
	}
	key := lineKey{e.Code, e.Account, e.Server, e.Detail}
	if _, known := r.counts[key]; !known && len(r.counts) >= maxDistinctLines {
		key = lineKey{code: e.Code}
	}
	r.counts[key]++
	return r.counts[key] <= maxEqualLines, suppressed
}

// suppressedLines lists the lines that were not logged; the caller holds the lock.
func (r *repeatLimiter) suppressedLines() map[lineKey]int {
	out := make(map[lineKey]int)
	for key, n := range r.counts {
		if n > maxEqualLines {
			out[key] = n - maxEqualLines
		}
	}
	return out
}
