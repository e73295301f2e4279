package outcome

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// cancelLog notes the cancels that reach an engine.
type cancelLog struct {
	mu   sync.Mutex
	sent map[string][]time.Duration // since the start, by attempt
	fail func(at string, n int) bool
	took time.Duration // of one cancel
}

func (l *cancelLog) send(start time.Time) func(context.Context, string, string) error {
	return func(_ context.Context, at, attempt string) error {
		if l.took > 0 {
			<-time.After(l.took)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.sent[attempt] = append(l.sent[attempt], time.Since(start))
		if l.fail != nil && l.fail(at, len(l.sent[attempt])) {
			return errors.New("no answer")
		}
		return nil
	}
}

// runCanceller runs a canceller in a bubble of its own clock until it has no work left.
func runCanceller(t *testing.T, l *cancelLog, use func(*Canceller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		l.sent = make(map[string][]time.Duration)
		c := NewCanceller(l.send(time.Now()))
		c.OnGiveUp = func(at string) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.sent["given up "+at] = nil
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = c.Serve(ctx)
		}()
		use(c)
		c.Drain(t.Context())
		if n := c.Pending(); n != 0 {
			t.Errorf("unexpected pending cancels, got %d instead of 0", n)
		}
		stop()
		<-done
	})
}

func TestCancelIsSentOnceWhenConfirmed(t *testing.T) {
	// All five are asked for before the first is confirmed; one asked for later would rightly be sent again.
	l := &cancelLog{took: time.Millisecond}
	runCanceller(t, l, func(c *Canceller) {
		for range 5 {
			c.Cancel("d1", "a-1", false)
		}
	})
	if n := len(l.sent["a-1"]); n != 1 {
		t.Errorf("unexpected cancels, got %d instead of 1", n)
	}
}

func TestUncertainCancelIsRepeated(t *testing.T) {
	l := &cancelLog{}
	runCanceller(t, l, func(c *Canceller) { c.Cancel("d1", "a-1", true) })
	want := "[0s 300ms 1.3s]"
	if got := fmt.Sprint(l.sent["a-1"]); got != want {
		t.Errorf("unexpected times of cancels, got %s instead of %s", got, want)
	}
}

func TestFailedCancelIsRetriedThenLeftToSweeping(t *testing.T) {
	l := &cancelLog{fail: func(at string, n int) bool { return at == "silent" || n < 4 }}
	runCanceller(t, l, func(c *Canceller) {
		c.Cancel("d1", "a-1", false)
		c.Cancel("silent", "a-2", false)
	})
	if n := len(l.sent["a-1"]); n != 4 {
		t.Errorf("unexpected cancels until one was confirmed, got %d instead of 4", n)
	}
	if at := l.sent["a-1"][3]; at > 2*time.Second {
		t.Errorf("unexpected time of the confirmed cancel, got %v instead of at most 2s", at)
	}
	if n := len(l.sent["a-2"]); n != cancelTries {
		t.Errorf("unexpected cancels at a silent engine, got %d instead of %d", n, cancelTries)
	}
	if _, ok := l.sent["given up silent"]; !ok {
		t.Error("unexpected silence, the engine was not left to sweeping")
	}
}

func TestPendingCancelsAreBounded(t *testing.T) {
	givenUp := 0
	c := NewCanceller(nil)
	c.OnGiveUp = func(string) { givenUp++ }
	for n := range maxPendingCancels + 10 {
		c.Cancel("d1", fmt.Sprint(n), false)
	}
	if c.Pending() != maxPendingCancels || givenUp != 10 {
		t.Errorf("unexpected pending and given up, got %d and %d instead of %d and 10", c.Pending(), givenUp, maxPendingCancels)
	}
}
