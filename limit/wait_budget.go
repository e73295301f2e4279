// Package limit keeps slow and numerous callers from exhausting the connections and the memory of an instance.
package limit

import "time"

// waitBudget limits the time that a request body or a response waits for the caller. The budget starts at the stall
// timeout. Each wait is taken from it, and each byte transferred earns some back, up to the stall timeout.
type waitBudget struct {
	stallTimeout      time.Duration
	minBytesPerSecond int64
	remaining         time.Duration
}

func newWaitBudget(stallTimeout time.Duration, minBytesPerSecond int64) *waitBudget {
	return &waitBudget{stallTimeout: stallTimeout, minBytesPerSecond: minBytesPerSecond, remaining: stallTimeout}
}

// deadline returns when a wait that starts now must end.
func (b *waitBudget) deadline(now time.Time) time.Time { return now.Add(b.remaining) }

// spend accounts for a wait in which n bytes were transferred.
func (b *waitBudget) spend(waited time.Duration, n int) {
	earned := time.Duration(int64(n) * int64(time.Second) / b.minBytesPerSecond)
	b.remaining = min(b.remaining-waited+earned, b.stallTimeout)
}
