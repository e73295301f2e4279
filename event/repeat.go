package event

import (
	"sync"
	"time"
)

// Limits on repeated log lines.
const (
	repeatWindow     = 10 * time.Second
	maxEqualLines    = 5    // equal lines that are logged in a window
	maxDistinctLines = 1024 // distinct lines that are counted separately in a window; further ones are counted by code
)

// maxFloodEvents is how many events of one kind of callerEvents the ring and the log take in a window.
const maxFloodEvents = 100

// callerEvents are the kinds of events that clients can cause at will, without a known request or account.
var callerEvents = map[Code]bool{
	ConnectionRejected: true, ConnectionEnded: true, HeadRefused: true, CallerStalled: true, RequestRefused: true,
}

// lineKey identifies equal log lines.
type lineKey struct {
	code                    Code
	account, server, detail string
}

// repeatLimiter limits the equal log lines in a window of time, so that repeated events do not fill the log.
type repeatLimiter struct {
	mu        sync.Mutex
	windowEnd time.Time
	counts    map[lineKey]int
}

// admit reports whether the line of an event is logged. The first call after a window ended also returns how many lines
// were suppressed in that window.
func (r *repeatLimiter) admit(e Event, now time.Time) (logged bool, suppressed map[lineKey]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.windowEnd) {
		suppressed = r.suppressedLines()
		r.counts = make(map[lineKey]int)
		r.windowEnd = now.Add(repeatWindow)
	}
	key := lineKey{e.Code, e.Account, e.Server, e.Detail}
	if _, exists := r.counts[key]; !exists && len(r.counts) >= maxDistinctLines {
		key = lineKey{code: e.Code}
	}
	r.counts[key]++
	return r.counts[key] <= maxEqualLines, suppressed
}

// suppressedLines returns how many lines of the window were not logged. The caller must hold r.mu.
func (r *repeatLimiter) suppressedLines() map[lineKey]int {
	out := make(map[lineKey]int)
	for key, n := range r.counts {
		if n > maxEqualLines {
			out[key] = n - maxEqualLines
		}
	}
	return out
}
