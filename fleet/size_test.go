//go:build !race

// The race detector can't follow as many events as this test makes; make test runs it without.

package fleet

import (
	"testing"
	"time"
)

// TestControlTrafficAtDesignSize measures membership at the size to design for against the budget of
// 6 KB a second and instance, with more restarts than the 4,600 a day, and the time a death takes to be known.
func TestControlTrafficAtDesignSize(t *testing.T) {
	if testing.Short() {
		t.Skip("370 instances")
	}
	const (
		size         = 370
		length       = time.Minute
		restarts     = 4 // a minute
		budget       = 6 << 10
		knownWithin  = 10 * time.Second
		knownToShare = 0.99
	)
	run(t, func(n *network) {
		fleets := n.startAll(size)
		n.resetTraffic()
		for i := range restarts {
			n.kill(fleets[i])
			fleets[i] = n.start(fleets[i].Self.Name, 2)
			wait(length / restarts)
		}
		total, most := n.sumTraffic()
		seconds := int(length.Seconds())
		t.Logf("%d instances: mean %d B/s, most %d B/s", size, total/size/seconds, most/seconds)
		if mean := total / size / seconds; mean > budget {
			t.Errorf("unexpected traffic, got %d B/s instead of at most %d", mean, budget)
		}
		n.kill(fleets[9])
		wait(knownWithin)
		known := 0
		for _, f := range fleets {
			if m, err := f.Member("a9"); err != nil || m.State != Live {
				known++
			}
		}
		t.Logf("a death is known to %d of %d after %v", known, size, knownWithin)
		if share := float64(known) / (size - 1); share < knownToShare {
			t.Errorf("unexpected share that knows of a death, got %.3f instead of %.2f", share, knownToShare)
		}
	})
}
