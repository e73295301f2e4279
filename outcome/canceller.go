package outcome

import (
	"context"
	"sync"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
)

// Limits of cancels.
const (
	maxCancelTries      = 12
	minCancelBackoff    = 100 * time.Millisecond // after the first try; doubles up to maxCancelBackoff
	maxCancelBackoff    = 2 * time.Second
	maxPendingCancels   = 4096
	maxCancelsPerEngine = 8 // concurrent calls to one engine
)

// repeatDelays are the delays before the repeats of a confirmed cancel, each counted from the confirmation of the one
// before. A cancel is repeated if the attempt's call ended without a response: that call may reach the engine after the
// first cancel.
var repeatDelays = []time.Duration{300 * time.Millisecond, time.Second}

// Canceller cancels attempts at engines, so that the engines free the memory that the attempts hold. It goes on after
// the callers have disconnected. Cancels that no engine confirms are left to the Sweeper.
// Its exported fields are set before Serve.
type Canceller struct {
	Send     func(ctx context.Context, address, attemptID string) error
	OnGiveUp func(address string) // called with the engine's address when a cancel is given up
	Record   func(event.Event)
	Wait     func(context.Context, time.Duration) error

	mu         sync.Mutex
	pending    map[engineAttempt]bool   // whether sending has started, by attempt
	semaphores map[string]chan struct{} // limit the concurrent calls to each engine, by address
	wake       chan struct{}            // receives a value when a cancel is queued
	idle       chan struct{}            // closed while nothing is pending
}

// engineAttempt is an attempt of a request at one engine.
type engineAttempt struct {
	address   string
	attemptID string
	uncertain bool // whether a call of the attempt may still reach the engine
}

// NewCanceller returns a canceller that cancels an attempt at an engine by calling send.
func NewCanceller(send func(ctx context.Context, address, attemptID string) error) *Canceller {
	c := &Canceller{
		Send:       send,
		OnGiveUp:   func(string) {},
		Record:     func(event.Event) {},
		Wait:       delay.For,
		pending:    make(map[engineAttempt]bool),
		semaphores: make(map[string]chan struct{}),
		wake:       make(chan struct{}, 1),
		idle:       make(chan struct{}),
	}
	close(c.idle)
	return c
}

// Cancel queues the cancel of an attempt at an engine, or gives it up at once if too many are pending. If uncertain is
// set, a call of the attempt ended without a response and may still reach the engine.
func (c *Canceller) Cancel(address, attemptID string, uncertain bool) {
	a := engineAttempt{address: address, attemptID: attemptID, uncertain: uncertain}
	c.mu.Lock()
	_, known := c.pending[a]
	full := len(c.pending) >= maxPendingCancels
	if !known && !full {
		if len(c.pending) == 0 {
			c.idle = make(chan struct{})
		}
		c.pending[a] = false
	}
	c.mu.Unlock()
	if full && !known {
		c.giveUp(a, "too many cancels are pending")
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Serve sends cancels until the context ends.
func (c *Canceller) Serve(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		for _, a := range c.startPending() {
			running.Go(func() { c.cancel(ctx, a) })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}
	}
}

// startPending marks the cancels that have not started as started, and returns them.
func (c *Canceller) startPending() []engineAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []engineAttempt
	for a, started := range c.pending {
		if !started {
			c.pending[a] = true
			out = append(out, a)
		}
	}
	return out
}

// cancel sends a cancel until it is confirmed or given up. If the attempt is uncertain, it repeats the confirmed cancel
// after the repeatDelays.
func (c *Canceller) cancel(ctx context.Context, a engineAttempt) {
	defer c.removePending(a)
	if !c.sendUntilConfirmed(ctx, a) {
		c.giveUp(a, "the engine did not respond")
		return
	}
	if !a.uncertain {
		return
	}
	for _, repeatDelay := range repeatDelays {
		if c.Wait(ctx, repeatDelay) != nil || !c.sendUntilConfirmed(ctx, a) {
			c.giveUp(a, "the engine did not respond to a repeated cancel")
			return
		}
	}
}

// sendUntilConfirmed sends a cancel until the engine confirms it, the tries are used up or the context ends. It reports
// whether the engine confirmed the cancel.
func (c *Canceller) sendUntilConfirmed(ctx context.Context, a engineAttempt) bool {
	backoff := minCancelBackoff
	for range maxCancelTries {
		if c.sendOnce(ctx, a) == nil {
			return true
		}
		if c.Wait(ctx, backoff) != nil {
			return false
		}
		backoff = min(2*backoff, maxCancelBackoff)
	}
	return false
}

// sendOnce sends a cancel as soon as fewer than maxCancelsPerEngine calls to the engine are in flight.
func (c *Canceller) sendOnce(ctx context.Context, a engineAttempt) error {
	c.mu.Lock()
	semaphore := c.semaphores[a.address]
	if semaphore == nil {
		semaphore = make(chan struct{}, maxCancelsPerEngine)
		c.semaphores[a.address] = semaphore
	}
	c.mu.Unlock()
	select {
	case semaphore <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-semaphore }()
	return c.Send(ctx, a.address, a.attemptID)
}

func (c *Canceller) giveUp(a engineAttempt, detail string) {
	c.OnGiveUp(a.address)
	c.Record(event.Event{Code: event.CancelUnconfirmed, Request: a.attemptID, Server: a.address, Detail: detail})
}

func (c *Canceller) removePending(a engineAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, a)
	if len(c.pending) == 0 {
		c.semaphores = make(map[string]chan struct{})
		close(c.idle)
	}
}

// Pending returns the number of cancels that are neither confirmed nor given up.
func (c *Canceller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Drain waits until every cancel is confirmed or given up, or the context ends.
func (c *Canceller) Drain(ctx context.Context) {
	c.mu.Lock()
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
