// Package clock provides a clock for permissions that end at a time: it never counts less time than has passed.
package clock

import (
	"sync"
	"time"
)

// stepTolerance is how far the host's wall clock may run ahead of its monotonic clock between two readings before the
// difference is treated as a suspension of the host.
const stepTolerance = 20 * time.Millisecond

// Clock is a clock for deadlines that also counts the time during which the whole host was suspended. The monotonic
// clock may stop during a suspension, the wall clock does not. A forward step of the wall clock is treated as a
// suspension, too: leases then expire early, which is safe. The exported fields are set before use.
type Clock struct {
	Wall      func() time.Time
	Monotonic func() time.Duration // time since any fixed moment

	mu            sync.Mutex
	lastWall      time.Time
	lastMonotonic time.Duration
	suspended     time.Duration // total time added for suspensions of the host
}

// New returns a clock that reads the clocks of the host.
func New() *Clock {
	start := time.Now()
	return &Clock{
		Wall:      func() time.Time { return time.Now().Round(0) },
		Monotonic: func() time.Duration { return time.Since(start) },
	}
}

// Now returns the current time, which is comparable only with other times of the same clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall, monotonic := c.Wall(), c.Monotonic()
	if !c.lastWall.IsZero() {
		step := wall.Sub(c.lastWall) - (monotonic - c.lastMonotonic)
		if step > stepTolerance {
			c.suspended += step
		}
	}
	c.lastWall, c.lastMonotonic = wall, monotonic
	return time.Unix(0, 0).Add(monotonic + c.suspended)
}
