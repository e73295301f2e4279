package event

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newSkewedClock returns a clock that reads the given time with an offset.
func newSkewedClock(now *time.Time, skew time.Duration) *Clock {
	return &Clock{Now: func() time.Time { return now.Add(skew) }}
}

// TestEffectHasHigherStampThanCause sends messages at random between machines whose clocks jump and are off by up to a
// day, and compares the order of the stamps with that of vector clocks.
func TestEffectHasHigherStampThanCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const machines = 4
		now := time.Unix(1_800_000_000, 0)
		offsets := make([]time.Duration, machines)
		clocks := make([]*Clock, machines)
		for i := range clocks {
			clocks[i] = &Clock{Now: func() time.Time { return now.Add(offsets[i]) }}
		}
		type stampedEvent struct {
			stamp  Stamp
			vector [machines]int
		}
		var vectors [machines][machines]int
		var events []stampedEvent
		recordEvent := func(i int) Stamp {
			vectors[i][i]++
			stamp := clocks[i].Next()
			events = append(events, stampedEvent{stamp, vectors[i]})
			return stamp
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, machines-1).Draw(t, "machine")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "µs")) * time.Microsecond)
			case 1:
				offsets[i] = time.Duration(rapid.IntRange(-86400, 86400).Draw(t, "offset")) * time.Second
			case 2:
				recordEvent(i)
			case 3:
				to := rapid.IntRange(0, machines-1).Draw(t, "to")
				stamp := recordEvent(i)
				clocks[to].Observe(stamp)
				for k := range vectors[to] {
					vectors[to][k] = max(vectors[to][k], vectors[i][k])
				}
				recordEvent(to)
			}
		}
		for _, a := range events {
			for _, b := range events {
				if a.vector != b.vector && vectorAtMost(a.vector[:], b.vector[:]) && a.stamp >= b.stamp {
					t.Fatalf("unexpected order of stamps: cause %v at %v, effect %v at %v", a.vector, a.stamp, b.vector, b.stamp)
				}
			}
		}
	})
}

// vectorAtMost reports whether no element of a is greater than that of b.
func vectorAtMost(a, b []int) bool {
	for k := range a {
		if a[k] > b[k] {
			return false
		}
	}
	return true
}

func TestStampsFollowWallClock(t *testing.T) {
	now := time.Unix(1_800_000_000, 5000)
	c := newSkewedClock(&now, 0)
	first := c.Next()
	if !first.Time().Equal(now) {
		t.Errorf("unexpected time of a stamp, got %v instead of %v", first.Time(), now)
	}
	now = now.Add(-time.Hour)
	if second := c.Next(); second != first+1 {
		t.Errorf("unexpected stamp after the clock was set back, got %v instead of %v", second, first+1)
	}
	c.Observe(stampLimit)
	if third := c.Next(); third != first+2 {
		t.Errorf("unexpected stamp after observing stampLimit, got %v instead of %v", third, first+2)
	}
}
