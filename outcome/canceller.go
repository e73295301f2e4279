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
	cancelTries       = 12
	cancelBackoff     = 100 * time.Millisecond // after the first try; doubles up to the longest
	cancelLongest     = 2 * time.Second
	maxPendingCancels = 4096
	cancelsPerEngine  = 8 // calls to one engine at once
)

// repeatDelays are the times after which the cancel of a call that ended without an answer is sent again:
// the call itself may have reached the engine after the first cancel.
var repeatDelays = []time.Duration{300 * time.Millisecond, time.Second}

// Canceller releases what attempts hold at engines, also after their callers have gone. What it can't confirm
// is left to sweeping. Its exported fields are set before Serve.
type Canceller struct {
	Send     func(ctx context.Context, at, attempt string) error
	OnGiveUp func(at string) // an engine did not confirm
	Record   func(event.Event)
	Wait     func(context.Context, time.Duration) error

	mu      sync.Mutex
	pending map[target]bool // true once started
	engines map[string]chan struct{}
	wake    chan struct{}
	idle    chan struct{} // closed while nothing is pending
}

// target is one attempt at one engine.
type target struct {
	at        string
	attempt   string
	uncertain bool
}

// NewCanceller returns a canceller that sends with a function.
func NewCanceller(send func(ctx context.Context, at, attempt string) error) *Canceller {
	c := &Canceller{
		Send:     send,
		OnGiveUp: func(string) {},
		Record:   func(event.Event) {},
		Wait:     delay.For,
		pending:  make(map[target]bool),
		engines:  make(map[string]chan struct{}),
		wake:     make(chan struct{}, 1),
		idle:     make(chan struct{}),
	}
	close(c.idle)
	return c
}

// Cancel releases an attempt at an engine soon. With uncertain, a call of the attempt ended without an answer
// and may still reach the engine.
func (c *Canceller) Cancel(at, attempt string, uncertain bool) {
	t := target{at: at, attempt: attempt, uncertain: uncertain}
	c.mu.Lock()
	_, known := c.pending[t]
	full := len(c.pending) >= maxPendingCancels
	if !known && !full {
		if len(c.pending) == 0 {
			c.idle = make(chan struct{})
		}
		c.pending[t] = false
	}
	c.mu.Unlock()
	if full && !known {
		c.giveUp(t, "too many cancels are pending")
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
		for _, t := range c.start() {
			running.Go(func() { c.run(ctx, t) })
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}
	}
}

// start returns the cancels that are not running yet.
func (c *Canceller) start() []target {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []target
	for t, started := range c.pending {
		if !started {
			c.pending[t] = true
			out = append(out, t)
		}
	}
	return out
}

// run sends one cancel until it is confirmed.
func (c *Canceller) run(ctx context.Context, t target) {
	defer c.done(t)
	if !c.confirm(ctx, t) {
		c.giveUp(t, "no answer")
		return
	}
	if !t.uncertain {
		return
	}
	for _, delay := range repeatDelays {
		if c.Wait(ctx, delay) != nil || !c.confirm(ctx, t) {
			c.giveUp(t, "no answer to a repeat")
			return
		}
	}
}

func (c *Canceller) confirm(ctx context.Context, t target) bool {
	backoff := cancelBackoff
	for range cancelTries {
		if c.send(ctx, t) == nil {
			return true
		}
		if c.Wait(ctx, backoff) != nil {
			return false
		}
		backoff = min(2*backoff, cancelLongest)
	}
	return false
}

func (c *Canceller) send(ctx context.Context, t target) error {
	c.mu.Lock()
	slots := c.engines[t.at]
	if slots == nil {
		slots = make(chan struct{}, cancelsPerEngine)
		c.engines[t.at] = slots
	}
	c.mu.Unlock()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-slots }()
	return c.Send(ctx, t.at, t.attempt)
}

func (c *Canceller) giveUp(t target, detail string) {
	c.OnGiveUp(t.at)
	c.Record(event.Event{Code: event.CancelUnconfirmed, Request: t.attempt, Server: t.at, Detail: detail})
}

func (c *Canceller) done(t target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, t)
	if len(c.pending) == 0 {
		c.engines = make(map[string]chan struct{})
		close(c.idle)
	}
}

// Pending returns the number of cancels that are not confirmed.
func (c *Canceller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// Drain waits until all cancels are confirmed or given up, or the context ends.
func (c *Canceller) Drain(ctx context.Context) {
	c.mu.Lock()
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
