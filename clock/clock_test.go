package clock

import (
	"testing"
	"time"
)

func TestClockCountsHostSuspension(t *testing.T) {
	wall, monotonic := time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC), time.Duration(0)
	c := &Clock{Wall: func() time.Time { return wall }, Monotonic: func() time.Duration { return monotonic }}
	start := c.Now()
	cases := []struct {
		name            string
		wall, monotonic time.Duration
		want            time.Duration
	}{
		{"running", time.Second, time.Second, time.Second},
		{"suspended", time.Minute, time.Millisecond, time.Second + time.Minute},
		{"wall clock set back", -time.Hour, time.Second, 2*time.Second + time.Minute},
		{"small correction", time.Second + stepTolerance/2, time.Second, 3*time.Second + time.Minute},
	}
	for _, step := range cases {
		wall, monotonic = wall.Add(step.wall), monotonic+step.monotonic
		if got := c.Now().Sub(start); got != step.want {
			t.Errorf("%s: unexpected time since the start, got %v instead of %v", step.name, got, step.want)
		}
	}
}
