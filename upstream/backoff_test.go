package upstream

import (
	"slices"
	"testing"
	"time"
)

func TestBackoffHoldsForItsServerUntilItsEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBackoff()
	b.Now = func() time.Time { return now }
	first, reused := ServerKey{"s0", "10.0.0.1:80"}, ServerKey{"s9", "10.0.0.1:80"}
	if !b.Start(first, 3*time.Second) || b.Start(first, time.Second) || b.Start(first, -time.Second) {
		t.Error("unexpected results of starting: only the first and longest counts")
	}
	for _, c := range []struct {
		after time.Duration
		busy  bool
	}{{0, true}, {2999 * time.Millisecond, true}, {3 * time.Second, false}} {
		now = time.Unix(1000, 0).Add(c.after)
		if got := !b.Until(first).IsZero(); got != c.busy {
			t.Errorf("after %v: backing off is %v instead of %v", c.after, got, c.busy)
		}
		if got := slices.Contains(b.Servers(), "s0"); got != c.busy {
			t.Errorf("after %v: listed is %v instead of %v", c.after, got, c.busy)
		}
		if !b.Until(reused).IsZero() {
			t.Errorf("after %v: a new server at the same address is affected", c.after)
		}
	}
}
