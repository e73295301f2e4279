package cell

import (
	"context"
	"sync"
	"time"

	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/rule"
)

// EngineCalls are the questions that a dispatcher asks backend servers, by address.
type EngineCalls struct {
	Load     func(ctx context.Context, at string) (engine.LoadReport, error)
	Requests func(ctx context.Context, at, owner string) ([]engine.Holding, error) // nil: the instances tell what is held
	Events   func(ctx context.Context, at string, after uint64) ([]engine.CacheEvent, error)
}

// Hub runs the dispatchers of the cells that this instance has. Its exported fields are set before
// Serve.
type Hub struct {
	Rules     func() *rule.Set
	Engines   EngineCalls
	Record    func(event.Event)
	Now       func() time.Time
	Reachable func() (heard, known int) // instances of the fleet that this one hears, itself included, and all known
	// Peers lists the other instances that are heard, which are asked what they hold; nil: engines are asked.
	Peers   func() []fleet.Member
	Self    string // name of this instance
	Call    func(ctx context.Context, address, method string, args, reply any) error
	Leaving func() bool // whether this instance gives its cells up; nil means never

	holdings *book

	mu    sync.Mutex
	cells map[ID]*dispatcher
	wake  chan struct{}
	polls sync.WaitGroup
}

// NewHub returns a hub without cells.
func NewHub(rules func() *rule.Set, polls EngineCalls, record func(event.Event)) *Hub {
	return &Hub{
		Rules: rules, Engines: polls, Record: record, Now: time.Now,
		Reachable: func() (int, int) { return 1, 1 }, holdings: newBook(),
		cells: make(map[ID]*dispatcher), wake: make(chan struct{}, 1),
	}
}

// Receiver answers the calls of other instances.
type Receiver struct{ hub *Hub }

// Receiver returns what is to be registered under RPCName.
func (h *Hub) Receiver() *Receiver { return &Receiver{h} }

// Place gives a place, or tells that the request waits.
func (r *Receiver) Place(args PlaceArgs, reply *PlaceReply) error {
	*reply = r.hub.Place(context.Background(), args)
	return nil
}

// Release takes places back.
func (r *Receiver) Release(args ReleaseArgs, _ *ReleaseReply) error {
	r.hub.Release(args)
	return nil
}

// Place gives a place, or tells that the request waits.
func (h *Hub) Place(ctx context.Context, args PlaceArgs) PlaceReply {
	if h.Leaving != nil && h.Leaving() {
		return PlaceReply{Status: Moved}
	}
	d := h.dispatcher(args.Cell)
	return d.place(ctx, h.Now, h.Rules(), args.Ask, h.nudge, h.Reachable)
}

// Debit takes tokens from accounts' rates.
func (r *Receiver) Debit(args DebitArgs, reply *DebitReply) error {
	*reply = r.hub.Debit(args)
	return nil
}

// Debit takes tokens from accounts' rates.
func (h *Hub) Debit(args DebitArgs) DebitReply {
	return DebitReply{h.dispatcher(args.Cell).debit(h.Now(), args.Debits)}
}

// Release takes places back.
func (h *Hub) Release(args ReleaseArgs) {
	h.mu.Lock()
	d := h.cells[args.Cell]
	h.mu.Unlock()
	if d != nil {
		d.release(h.Now(), args.Places)
	}
}

// dispatcher finds a cell; an unknown one is taken over.
func (h *Hub) dispatcher(id ID) *dispatcher {
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.cells[id]
	if !ok {
		d = newDispatcher(id, h.Now())
		h.cells[id] = d
		if h.Peers != nil {
			h.polls.Go(func() { h.gather(d) })
		}
		h.Record(event.Event{Code: event.CellTakenOver, Detail: id.Prefill + " " + id.Decode})
	}
	return d
}

// nudge lets Serve run a step soon.
func (h *Hub) nudge() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *Hub) dispatchers() []*dispatcher {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*dispatcher, 0, len(h.cells))
	for _, d := range h.cells {
		out = append(out, d)
	}
	return out
}

// PoolState is what the cells of a decode pool at this instance hold.
type PoolState struct {
	Waiting   int // requests
	UsedSlots int // slots given out
	Slots     int // slots that may be given out

	RateShare float64 // part of the accounts' rates that this instance gives out
}

// PoolStates returns the state by decode pool.
func (h *Hub) PoolStates() map[string]PoolState {
	out := make(map[string]PoolState)
	now := h.Now()
	for _, d := range h.dispatchers() {
		s := out[d.id.Decode]
		d.mu.Lock()
		s.Waiting += d.core.QueueLength()
		s.RateShare = d.core.meters.share
		for _, server := range d.core.decodes {
			s.UsedSlots += len(server.streams)
			if server.health.usable(d.clock(now)) {
				s.Slots += server.limit
			}
		}
		d.mu.Unlock()
		out[d.id.Decode] = s
	}
	return out
}

// Serve steps the cells and polls their servers until the context ends.
func (h *Hub) Serve(ctx context.Context) error {
	defer h.polls.Wait()
	if h.Peers != nil {
		h.polls.Go(func() { h.reconcileLoop(ctx) })
	}
	timer := time.NewTimer(pollCheck)
	defer timer.Stop()
	next := h.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.wake:
		case <-timer.C:
		}
		waiting := h.tick()
		if now := h.Now(); !now.Before(next) || h.hasNew() {
			h.poll(ctx)
			next = now.Add(pollCheck)
		}
		if waiting {
			timer.Reset(stepInterval)
		} else {
			timer.Reset(pollCheck)
		}
	}
}

// hasNew tells whether a cell has not been polled yet.
func (h *Hub) hasNew() bool {
	for _, d := range h.dispatchers() {
		d.mu.Lock()
		fresh := len(d.polls) == 0
		d.mu.Unlock()
		if fresh {
			return true
		}
	}
	return false
}

func (h *Hub) tick() (waiting bool) {
	now := h.Now()
	for _, d := range h.dispatchers() {
		waiting = d.tick(now, h.Rules()) || waiting
		if d.idle(now) {
			h.mu.Lock()
			delete(h.cells, d.id)
			h.mu.Unlock()
		}
	}
	return waiting
}

func (h *Hub) poll(ctx context.Context) {
	now := h.Now()
	for _, d := range h.dispatchers() {
		for _, p := range d.due(now) {
			h.polls.Go(func() {
				if err := p.run(ctx, h.Engines, h.Now); err != nil && ctx.Err() == nil {
					h.Record(event.Event{Code: event.PollFailed, Server: p.server.Server, Detail: err.Error()})
				}
			})
		}
	}
}
