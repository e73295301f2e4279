package cell

import "time"

const (
	trialInterval = 5 * time.Second // between trials of a slow server
	pollTimeout   = 400 * time.Millisecond
)

// health tells whether a server answers. A failed call pauses it; an answered poll ends the pause.
type health struct {
	retry instant // end of the pause
	pause time.Duration
}

func (h *health) usable(now instant) bool { return !h.retry.After(now) }

// failed notes a call that the server did not answer.
func (h *health) failed(now instant) {
	h.pause = min(max(2*h.pause, minPause), maxPause)
	h.retry = now.Add(h.pause)
}

// answered notes that the server works.
func (h *health) answered() { *h = health{} }
