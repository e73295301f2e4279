// Package bubble runs tests in synctest bubbles, also with the race detector.
package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// processors keeps the process on one processor while bubbles run.
var processors struct {
	sync.Mutex
	bubbles int
	before  int // setting of GOMAXPROCS without bubbles
}

// Test is synctest.Test. With the race detector it runs the bubble on one processor: the timers of a bubble share one context
// of the detector, and its runtime ends the process when goroutines on two threads run timers at the same time. Races are
// found as before, since the detector compares the order of synchronization and not the time of accesses.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	if raceDetector {
		enter()
		defer leave()
	}
	synctest.Test(t, f)
}

func enter() {
	processors.Lock()
	defer processors.Unlock()
	if processors.bubbles == 0 {
		processors.before = runtime.GOMAXPROCS(1)
	}
	processors.bubbles++
}

func leave() {
	processors.Lock()
	defer processors.Unlock()
	if processors.bubbles--; processors.bubbles == 0 {
		runtime.GOMAXPROCS(processors.before)
	}
}
