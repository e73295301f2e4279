package allowance

import (
	"sync"
	"time"
)

// stepTolerance is the difference between the two clocks of a host that is not taken for a pause of the host.
const stepTolerance = 20 * time.Millisecond

// Clock is a clock for deadlines that also counts the time in which the whole host was suspended: the monotonic clock
// may stand still then, the wall clock does not. A step of the wall clock forward is taken for such a pause, which
// ends promises too early and so does no harm. Its exported fields are set before use.
type Clock struct {
	Wall      func() time.Time
	Monotonic func() time.Duration // since any fixed moment

	mu            sync.Mutex
	lastWall      time.Time
	lastMonotonic time.Duration
	suspended     time.Duration // time in which the monotonic clock stood still
}

// NewClock returns a clock that reads those of the host.
func NewClock() *Clock {
	start := time.Now()
	return &Clock{
		Wall:      func() time.Time { return time.Now().Round(0) },
		Monotonic: func() time.Duration { return time.Since(start) },
	}
}

// Now returns a time that is compared with others of this clock only.
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
