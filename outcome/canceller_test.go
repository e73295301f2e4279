package outcome

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"teaselgate/standin/bubble"
)

// cancelLog records the cancels that reach engines.
type cancelLog struct {
	mu         sync.Mutex
	sent       map[string][]time.Duration       // times since the start, by attempt ID, or "given up" and an address
	shouldFail func(address string, n int) bool // reports whether the nth cancel of an attempt fails at an engine
	delay      time.Duration                    // how long each cancel takes
}

// send returns a function that records a cancel, and fails as shouldFail says.
func (l *cancelLog) send(start time.Time) func(context.Context, string, string) error {
	return func(_ context.Context, address, attemptID string) error {
		if l.delay > 0 {
			<-time.After(l.delay)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.sent[attemptID] = append(l.sent[attemptID], time.Since(start))
		if l.shouldFail != nil && l.shouldFail(address, len(l.sent[attemptID])) {
			return errors.New("no response")
		}
		return nil
	}
}

// runCanceller runs a canceller on a fake clock until no cancel is pending.
func runCanceller(t *testing.T, l *cancelLog, makeCancels func(*Canceller)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		l.sent = make(map[string][]time.Duration)
		c := NewCanceller(l.send(time.Now()))
		c.OnGiveUp = func(address string) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.sent["given up "+address] = nil
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = c.Serve(ctx)
		}()
		makeCancels(c)
		c.Drain(t.Context())
		if n := c.Pending(); n != 0 {
			t.Errorf("unexpected pending cancels, got %d instead of 0", n)
		}
		stop()
		<-done
	})
}

func TestConfirmedCancelIsSentOnce(t *testing.T) {
	// All five cancels are queued before the first is confirmed. A cancel queued after that would be sent again.
	l := &cancelLog{delay: time.Millisecond}
	runCanceller(t, l, func(c *Canceller) {
		for range 5 {
			c.Cancel("d1", "a-1", false)
		}
	})
	if n := len(l.sent["a-1"]); n != 1 {
		t.Errorf("unexpected number of cancels, got %d instead of 1", n)
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

func TestFailedCancelIsRetriedThenGivenUp(t *testing.T) {
	l := &cancelLog{shouldFail: func(address string, n int) bool { return address == "silent" || n < 4 }}
	runCanceller(t, l, func(c *Canceller) {
		c.Cancel("d1", "a-1", false)
		c.Cancel("silent", "a-2", false)
	})
	if n := len(l.sent["a-1"]); n != 4 {
		t.Errorf("unexpected number of cancels until one was confirmed, got %d instead of 4", n)
	}
	if sentAt := l.sent["a-1"][3]; sentAt > 2*time.Second {
		t.Errorf("unexpected time of the confirmed cancel, got %v instead of at most 2s", sentAt)
	}
	if n := len(l.sent["a-2"]); n != maxCancelTries {
		t.Errorf("unexpected number of cancels to an unresponsive engine, got %d instead of %d", n, maxCancelTries)
	}
	if _, ok := l.sent["given up silent"]; !ok {
		t.Error("unexpected outcome, the cancel to an unresponsive engine was not given up")
	}
}

func TestPendingCancelsAreLimited(t *testing.T) {
	givenUpCount := 0
	c := NewCanceller(nil)
	c.OnGiveUp = func(string) { givenUpCount++ }
	for n := range maxPendingCancels + 10 {
		c.Cancel("d1", fmt.Sprint(n), false)
	}
	if c.Pending() != maxPendingCancels || givenUpCount != 10 {
		t.Errorf("unexpected numbers of pending and given up cancels, got %d and %d instead of %d and 10",
			c.Pending(), givenUpCount, maxPendingCancels)
	}
}
