package cell

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/delay"
)

// Holding is a place that an instance holds. A new dispatcher learns from the instances which places were given.
type Holding struct {
	Key          string
	From         string // name of the instance that holds it
	Decode       string
	PromptTokens int
	MaxTokens    int // of the answer, as estimated
	Ceiling      int // of MaxTokens
}

// HoldingsArgs asks an instance for the places that it holds in a cell.
type HoldingsArgs struct {
	Cell ID
}

// HoldingsReply lists them.
type HoldingsReply struct {
	Holdings []Holding
}

// AdoptArgs tells a dispatcher of a place that another one gave.
type AdoptArgs struct {
	Cell    ID
	Holding Holding
}

// AdoptReply answers AdoptArgs.
type AdoptReply struct{}

// gatherTimeout bounds the wait of a new dispatcher for the instances; those that are gone hold nothing.
const gatherTimeout = 150 * time.Millisecond

// book keeps the places that an instance holds.
type book struct {
	mu    sync.Mutex
	cells map[ID]map[string]Holding
}

func newBook() *book { return &book{cells: make(map[ID]map[string]Holding)} }

func (b *book) add(id ID, h Holding) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cells[id] == nil {
		b.cells[id] = make(map[string]Holding)
	}
	b.cells[id][h.Key] = h
}

func (b *book) remove(id ID, key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.cells[id], key)
}

// list returns the places at a cell's pools, those of other shares too: servers change shares when a pool grows.
func (b *book) list(id ID) []Holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Holding
	for other, holdings := range b.cells {
		if other.Prefill != id.Prefill || other.Decode != id.Decode {
			continue
		}
		for _, h := range holdings {
			out = append(out, h)
		}
	}
	return out
}

// Holdings answers with the places that this instance holds in a cell.
func (r *Receiver) Holdings(args HoldingsArgs, reply *HoldingsReply) error {
	reply.Holdings = r.hub.holdings.list(args.Cell)
	return nil
}

// Adopt takes in a place that another dispatcher gave.
func (r *Receiver) Adopt(args AdoptArgs, _ *AdoptReply) error {
	r.hub.Adopt(args)
	return nil
}

// Adopt takes in a place that another dispatcher gave.
func (h *Hub) Adopt(args AdoptArgs) {
	h.mu.Lock()
	d := h.cells[args.Cell]
	h.mu.Unlock()
	if d != nil {
		d.adopt(h.Now(), []Holding{args.Holding}, false)
	}
}

// gather lets a new dispatcher place once the instances have told what they hold, or have not in time.
func (h *Hub) gather(d *dispatcher) {
	ctx, stop := context.WithTimeout(context.Background(), gatherTimeout)
	defer stop()
	var asks sync.WaitGroup
	for _, m := range h.Peers() {
		asks.Go(func() {
			var reply HoldingsReply
			if h.Call(ctx, m.Peer, RPCName+".Holdings", HoldingsArgs{Cell: d.id}, &reply) == nil {
				d.adopt(h.Now(), reply.Holdings, false)
			}
		})
	}
	d.adopt(h.Now(), h.holdings.list(d.id), false)
	asks.Wait()
	d.adopt(h.Now(), nil, true)
	h.nudge()
}

// Timing of reconciling.
const (
	reconcileInterval = time.Second
	reconcileTimeout  = 400 * time.Millisecond
	reportDelay       = 500 * time.Millisecond // that a place's report may be on its way
	goneDelay         = 4 * time.Second        // after which the places of an instance that is not heard have ended
)

// reconcileLoop reconciles the cells that this instance dispatches until the context ends. Load that it answers: reports
// of places that ended were lost, since this instance or its links stood still; it would take the servers for full.
func (h *Hub) reconcileLoop(ctx context.Context) {
	for delay.For(ctx, reconcileInterval) == nil {
		for _, d := range h.dispatchers() {
			if d.active(h.Now()) {
				h.reconcile(ctx, d)
			}
		}
	}
}

// reconcile asks all instances what they hold in a cell, and ends the places that they hold no more.
func (h *Hub) reconcile(ctx context.Context, d *dispatcher) {
	ctx, stop := context.WithTimeout(ctx, reconcileTimeout)
	defer stop()
	asked := h.Now()
	live := map[string]bool{h.Self: true}
	var answered atomic.Int64
	var asks sync.WaitGroup
	for _, m := range h.Peers() {
		live[m.Name] = true
		asks.Go(func() {
			var reply HoldingsReply
			if h.Call(ctx, m.Peer, RPCName+".Holdings", HoldingsArgs{Cell: d.id}, &reply) == nil {
				answered.Add(1)
				d.reconcile(h.Now(), asked, m.Name, reply.Holdings)
			}
		})
	}
	d.reconcile(h.Now(), asked, h.Self, h.holdings.list(d.id))
	asks.Wait()
	d.mu.Lock()
	d.answered = 1 + int(answered.Load())
	d.core.ReleaseUnreachable(d.clock(h.Now()), live)
	d.mu.Unlock()
}

func (d *dispatcher) reconcile(now, asked time.Time, from string, holdings []Holding) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Reconcile(d.clock(now), d.clock(asked), from, holdings)
	d.step(now)
}

// active tells whether the cell has been used lately.
func (d *dispatcher) active(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.used) <= pollLife
}

// Reconcile takes in what an instance held when it was asked: places that it does not hold any more have ended, and
// places that are not known here were given by another dispatcher.
func (c *Core) Reconcile(now, asked instant, from string, holdings []Holding) {
	listed := make(map[string]bool, len(holdings))
	for _, h := range holdings {
		listed[h.Key] = true
	}
	c.end(now, func(r *reservation) bool {
		return r.from == from && !listed[r.key] && r.placed.Add(reportDelay).Before(asked)
	})
	for _, h := range holdings {
		c.Adopt(now, h)
	}
}

// ReleaseUnreachable ends the places of instances that have not been heard for a while: their callers' connections are broken.
func (c *Core) ReleaseUnreachable(now instant, live map[string]bool) {
	for name := range live {
		c.heard[name] = now
	}
	c.end(now, func(r *reservation) bool {
		if r.from == "" || live[r.from] {
			return false
		}
		last, ok := c.heard[r.from]
		return !ok && now.Sub(r.placed) > goneDelay || ok && now.Sub(last) > goneDelay
	})
}

// end ends the places that a filter names.
func (c *Core) end(now instant, ended func(*reservation) bool) {
	for _, r := range c.placed {
		if ended(r) {
			c.Release(now, r.key, Report{})
		}
	}
}

func (d *dispatcher) adopt(now time.Time, holdings []Holding, last bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range holdings {
		d.core.Adopt(d.clock(now), h)
	}
	d.core.complete = d.core.complete || last
}

// Adopt books a place that another dispatcher gave.
func (c *Core) Adopt(now instant, h Holding) {
	d := c.decode(h.Decode)
	if _, known := c.placed[h.Key]; known || d == nil {
		return
	}
	d.advance(now)
	r := &reservation{
		key: h.Key, from: h.From, decode: d, promptTokens: h.PromptTokens, maxTokens: h.MaxTokens, ceiling: h.Ceiling, placed: now,
		pieces: c.piecesOf(PlaceRequest{PromptTokens: h.PromptTokens, MaxTokens: h.MaxTokens}),
	}
	r.deadline = now.Add(seconds(float64(r.maxTokens) * d.steps.step(d.slots))).Add(placeLife)
	d.add(r, 0)
	c.placed[h.Key] = r
}
