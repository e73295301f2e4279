package cell

import (
	"time"

	"teaselgate/rule"
)

const (
	trialInterval = 5 * time.Second // interval of the trials of a slow server
	pollTimeout   = 400 * time.Millisecond
	minPause      = time.Second // shortest pause of a server after a failure
	// maxServerPause is the longest pause of a model engine. A trial costs one request, while an unused engine that
	// works again costs its share of the pool's capacity.
	maxServerPause = 4 * time.Second
	maxFailures    = 3 // consecutive failed calls after which an answered poll does not end the pause
)

// health records whether a server works. A failed call or poll pauses the server. An answered poll ends the pause,
// unless several consecutive calls failed; then only a successful call does. Health endpoints can be wrong either way,
// so calls count for more than polls: a failed poll just after a successful call is ignored, and a server with only
// failed polls is tried again after its pause.
type health struct {
	pausedUntil instant
	pause       time.Duration // length of the last pause
	failedCalls int           // consecutive failed calls
	pollFailing bool          // the last poll failed, and no call has succeeded since
	lastSuccess instant       // time of the last successful call
}

// usable reports whether the server is not paused.
func (h *health) usable(now instant) bool { return !h.pausedUntil.After(now) }

// onTrial reports whether the server gets only one request at a time.
func (h *health) onTrial() bool { return h.failedCalls >= maxFailures || h.pollFailing }

// recordPollFailure records a poll that the server did not answer within pollTimeout.
func (h *health) recordPollFailure(now instant) {
	if !h.lastSuccess.IsZero() && now.Sub(h.lastSuccess) <= pollTimeout {
		return
	}
	if h.usable(now) {
		h.startPause(now)
	}
	h.pollFailing = true
}

// recordCallFailure records a request that the server failed.
func (h *health) recordCallFailure(now instant) {
	h.failedCalls++
	h.startPause(now)
}

// startPause pauses the server, for twice as long each time up to maxServerPause.
func (h *health) startPause(now instant) {
	h.pause = min(max(2*h.pause, minPause), maxServerPause)
	h.pausedUntil = now.Add(h.pause)
}

// recordPoll records that the server answered a poll.
func (h *health) recordPoll() {
	if h.pollFailing = false; !h.onTrial() {
		h.pause, h.pausedUntil = 0, 0
	}
}

// recordSuccess records that a call to the server succeeded.
func (h *health) recordSuccess(now instant) { *h = health{lastSuccess: now} }

// available reports whether a server is live and not paused. While no server of a stage is available, choosePrefill and
// chooseDecode use paused ones: if all failed at once, the fault has probably passed, and without them every request
// would be rejected.
func available(now instant, s rule.Server, h health) bool {
	return s.State == rule.ServerLive && h.usable(now)
}
