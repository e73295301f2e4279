//go:build !race

// The race detector can't follow as many events as this test makes; make test runs it without the detector.

package fleet

import (
	"testing"
	"time"
)

// The control traffic at the design size must stay within 6 KiB a second for each instance, with more restarts than
// 4,600 a day, and a failed instance must be known to nearly all others within a bound.
func TestControlTrafficAtDesignSize(t *testing.T) {
	if testing.Short() {
		t.Skip("370 instances take too long for -short")
	}
	const (
		size          = 370
		duration      = time.Minute
		restarts      = 4       // in the measured minute
		budget        = 6 << 10 // bytes a second for each instance
		knownWithin   = 10 * time.Second
		minKnownShare = 0.99
	)
	runNetwork(t, func(n *fakeNetwork) {
		fleets := n.startAll(size)
		n.resetTraffic()
		for i := range restarts {
			n.kill(fleets[i])
			fleets[i] = n.start(fleets[i].Self.Name, 2)
			sleep(duration / restarts)
		}
		total, most := n.totalTraffic()
		seconds := int(duration.Seconds())
		t.Logf("%d instances: mean %d B/s, maximum %d B/s", size, total/size/seconds, most/seconds)
		if mean := total / size / seconds; mean > budget {
			t.Errorf("unexpected traffic, got %d B/s instead of at most %d", mean, budget)
		}
		n.kill(fleets[9])
		sleep(knownWithin)
		known := 0
		for _, f := range fleets {
			if m, err := f.Member("a9"); err != nil || m.State != Live {
				known++
			}
		}
		t.Logf("failure known to %d of %d instances after %v", known, size, knownWithin)
		if share := float64(known) / (size - 1); share < minKnownShare {
			t.Errorf("unexpected share of instances that know of a failure, got %.3f instead of at least %.2f",
				share, minKnownShare)
		}
	})
}
