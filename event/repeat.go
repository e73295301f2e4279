package event

import (
	"sync"
	"time"
)

// Limits on equal log lines.
const (
	repeatWindow = 10 * time.Second
	repeatLines  = 5    // equal lines that are logged in a window
	repeatKinds  = 1024 // different lines that are told apart in a window
)

// line is what makes two log lines equal.
type line struct {
	code                    Code
	account, server, detail string
}

// repeats counts equal log lines in windows, so that a flood of them does not fill the log.
type repeats struct {
	mu     sync.Mutex
	until  time.Time // end of the window
	counts map[line]int
}

// admit tells whether an event's line is logged, and returns the lines held back in a window that just ended.
func (r *repeats) admit(e Event, now time.Time) (logged bool, held map[line]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.until) {
		held = r.heldBack()
		r.counts = make(map[line]int)
		r.until = now.Add(repeatWindow)
	}
	key := line{e.Code, e.Account, e.Server, e.Detail}
	if _, known := r.counts[key]; !known && len(r.counts) >= repeatKinds {
		key = line{code: e.Code}
	}
	r.counts[key]++
	return r.counts[key] <= repeatLines, held
}

// heldBack lists the lines that were not logged; the caller holds the lock.
func (r *repeats) heldBack() map[line]int {
	out := make(map[line]int)
	for key, n := range r.counts {
		if n > repeatLines {
			out[key] = n - repeatLines
		}
	}
	return out
}
