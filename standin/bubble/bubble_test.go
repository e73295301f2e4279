package bubble

import (
	"runtime"
	"testing"
	"time"
)

// Bubbles run on one processor with the race detector, and on all without it. What follows a bubble runs on all.
func TestBubblesUseOneProcessorWithTheRaceDetector(t *testing.T) {
	before := runtime.GOMAXPROCS(0)
	want := before
	if raceDetector {
		want = 1
	}
	Test(t, func(t *testing.T) {
		start := time.Now()
		<-time.After(time.Hour)
		if took := time.Since(start); took != time.Hour {
			t.Errorf("unexpected time in the bubble: %v instead of an hour", took)
		}
		if got := runtime.GOMAXPROCS(0); got != want {
			t.Errorf("unexpected processors in the bubble: %d instead of %d", got, want)
		}
	})
	if got := runtime.GOMAXPROCS(0); got != before {
		t.Errorf("unexpected processors after the bubble: %d instead of %d", got, before)
	}
}
