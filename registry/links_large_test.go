//go:build !race

// The race detector can't follow as many events as this test makes; make test runs it without the detector.

package registry

import "testing"

// Callers got 404 for routes that had been confirmed seconds before: a configuration of 850 KB went whole from a few instances to
// all others at once, fetches that did not end in a second began again, and the next version came before.
func TestLargeConfigurationIsInForceEverywhereInTime(t *testing.T) {
	for name, test := range linkTests(67, 6, 4200) {
		t.Run(name, func(t *testing.T) { checkLargeConfiguration(t, test) })
	}
}
