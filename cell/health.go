package cell

import "time"

const (
	trialInterval = 5 * time.Second // between trials of a slow server
	pollTimeout   = 400 * time.Millisecond
	maxFailures   = 3 // calls in a row that failed, after which an answered poll proves nothing
)

// health tells whether a server answers. A failed call or poll pauses it. An answered poll ends the
// pause, unless several calls in a row failed: then only a call that goes well does.
type health struct {
	retry    instant // end of the pause
	pause    time.Duration
	failures int // calls in a row
}

func (h *health) usable(now instant) bool { return !h.retry.After(now) }

// trial tells whether the server gets one request at a time.
func (h *health) trial() bool { return h.failures >= maxFailures }

// failed notes a call or poll that the server did not answer.
func (h *health) failed(now instant) {
	h.pause = min(max(2*h.pause, minPause), maxPause)
	h.retry = now.Add(h.pause)
}

// callFailed notes a request that the server failed.
func (h *health) callFailed(now instant) {
	h.failures++
	h.failed(now)
}

// polled notes that the server answered a poll.
func (h *health) polled() {
	if !h.trial() {
		h.pause, h.retry = 0, 0
	}
}

// worked notes that the server did a request's work.
func (h *health) worked() { *h = health{} }
