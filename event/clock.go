package event

import (
	"sync/atomic"
	"time"
)

// stampCounterBits is the part of a stamp that counts events within a microsecond.
const stampCounterBits = 12

// maxStamp bounds what is taken over from others, so that a broken clock can't use up all stamps.
const maxStamp Stamp = 1 << 63

// Stamp orders events over all instances: an event that another one caused has the higher stamp, whatever the
// clocks of the machines say. It is a hybrid logical clock (Kulkarni and others, "Logical Physical Clocks", 2014):
// microseconds since 1970 in the high bits, a counter in the low ones.
type Stamp uint64

// Time returns the wall time in a stamp, which is never before that of any cause.
func (s Stamp) Time() time.Time { return time.UnixMicro(int64(s >> stampCounterBits)).UTC() }

// Clock gives stamps that only rise. Its exported fields are set before use.
type Clock struct {
	Now func() time.Time

	last atomic.Uint64
}

// NewClock returns a clock that follows the machine's time.
func NewClock() *Clock { return &Clock{Now: time.Now} }

// Next returns a stamp above all those given and observed before.
func (c *Clock) Next() Stamp {
	wall := uint64(c.Now().UnixMicro()) << stampCounterBits
	for {
		last := c.last.Load()
		next := max(wall, last+1)
		if c.last.CompareAndSwap(last, next) {
			return Stamp(next)
		}
	}
}

// Observe takes a stamp of another instance in, so that later stamps here are above it.
func (c *Clock) Observe(s Stamp) {
	if s >= maxStamp {
		return
	}
	for {
		last := c.last.Load()
		if uint64(s) <= last || c.last.CompareAndSwap(last, uint64(s)) {
			return
		}
	}
}

// Micros returns the stamp as microseconds since 1970; the counter is the fraction.
func (s Stamp) Micros() float64 { return float64(s) / (1 << stampCounterBits) }
