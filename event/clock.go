package event

import (
	"sync/atomic"
	"time"
)

// stampCounterBits is the number of low bits of a stamp that count events within a microsecond.
const stampCounterBits = 12

// stampLimit is the lowest stamp that Observe ignores, so that an instance with a broken clock can't exhaust the
// stamps.
const stampLimit Stamp = 1 << 63

// Stamp is a timestamp that orders the events of all instances: an event has a higher stamp than the events that
// caused it, even if the clocks of the machines differ. It is the value of a hybrid logical clock (Kulkarni and others,
// "Logical Physical Clocks", 2014), with microseconds since 1970 in the high bits and a counter in the low bits.
type Stamp uint64

// Time returns the wall-clock part of an event's stamp. It is never earlier than that of an event that caused the
// event.
func (s Stamp) Time() time.Time { return time.UnixMicro(int64(s >> stampCounterBits)).UTC() }

// Clock issues strictly increasing stamps. Its exported fields must be set before use.
type Clock struct {
	Now func() time.Time

	last atomic.Uint64
}

// NewClock returns a clock that follows the machine's wall clock.
func NewClock() *Clock { return &Clock{Now: time.Now} }

// Next returns a stamp above all stamps that the clock has issued or accepted from other instances.
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

// Observe accepts a stamp of another instance, so that the stamps issued from then on are above it. It ignores stamps
// from stampLimit upwards.
func (c *Clock) Observe(s Stamp) {
	if s >= stampLimit {
		return
	}
	for {
		last := c.last.Load()
		if uint64(s) <= last || c.last.CompareAndSwap(last, uint64(s)) {
			return
		}
	}
}

// Micros returns the stamp in microseconds since 1970, with the counter as the fraction.
func (s Stamp) Micros() float64 { return float64(s) / (1 << stampCounterBits) }
