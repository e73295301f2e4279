package cell

import (
	"time"

	"teaselgate/rule"
)

const (
	trialInterval = 5 * time.Second // between trials of a slow server
	pollTimeout   = 400 * time.Millisecond
	// maxServerPause is the longest pause of a model engine. A trial costs one request, while an engine that works again
	// and is not used costs a share of the pool.
	maxServerPause = 4 * time.Second
	maxFailures    = 3 // calls in a row that failed, after which an answered poll proves nothing
)

// health tells whether a server answers. A failed call or poll pauses it. An answered poll ends the pause, unless several
// calls in a row failed: then only a call that goes well does. Load that it answers: health answers are false either way,
// so that calls count for more than polls: a poll that failed while a call went well says nothing, and a server that only
// polls speak against is tried again after its pause.
type health struct {
	retry    instant // end of the pause
	pause    time.Duration
	failures int     // calls in a row
	silent   bool    // the newest poll failed, and nothing went well since
	proved   instant // when a call last went well
}

func (h *health) usable(now instant) bool { return !h.retry.After(now) }

// trial tells whether the server gets one request at a time.
func (h *health) trial() bool { return h.failures >= maxFailures || h.silent }

// pollFailed notes a poll that the server did not answer in pollTimeout.
func (h *health) pollFailed(now instant) {
	if !h.proved.IsZero() && now.Sub(h.proved) <= pollTimeout {
		return
	}
	if h.usable(now) {
		h.wait(now)
	}
	h.silent = true
}

// callFailed notes a request that the server failed.
func (h *health) callFailed(now instant) {
	h.failures++
	h.wait(now)
}

// wait pauses the server, longer each time.
func (h *health) wait(now instant) {
	h.pause = min(max(2*h.pause, minPause), maxServerPause)
	h.retry = now.Add(h.pause)
}

// polled notes that the server answered a poll.
func (h *health) polled() {
	if h.silent = false; !h.trial() {
		h.pause, h.retry = 0, 0
	}
}

// worked notes that the server did a request's work.
func (h *health) worked(now instant) { *h = health{proved: now} }

// works tells whether a server takes work and is not paused. While none of a stage does, paused ones are used: that all
// fail at once is more likely a fault that has passed, and refusing everything helps nobody.
func works(now instant, s rule.Server, h health) bool {
	return s.State == rule.ServerLive && h.usable(now)
}
