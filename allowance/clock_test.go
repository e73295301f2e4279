package allowance

import (
	"testing"
	"time"
)

func TestClockCountsPausesOfTheHost(t *testing.T) {
	wall, passed := time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC), time.Duration(0)
	c := &Clock{Wall: func() time.Time { return wall }, Monotonic: func() time.Duration { return passed }}
	start := c.Now()
	cases := []struct {
		name         string
		wall, passed time.Duration
		want         time.Duration
	}{
		{"running", time.Second, time.Second, time.Second},
		{"suspended", time.Minute, time.Millisecond, time.Second + time.Minute},
		{"wall clock set back", -time.Hour, time.Second, 2*time.Second + time.Minute},
		{"small correction", time.Second + stepTolerance/2, time.Second, 3*time.Second + time.Minute},
	}
	for _, s := range cases {
		wall, passed = wall.Add(s.wall), passed+s.passed
		if got := c.Now().Sub(start); got != s.want {
			t.Errorf("%s: unexpected time, got %v instead of %v", s.name, got, s.want)
		}
	}
}
