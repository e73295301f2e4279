package cell

import (
	"context"
	"errors"
	"sync"
	"time"

	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/rule"
	"teaselgate/throttle"
)

// EngineCalls are a dispatcher's calls to model engines at an address.
type EngineCalls struct {
	Load func(ctx context.Context, at string) (engine.LoadReport, error)
	// Requests lists the requests that an engine holds. It is nil if the instances are asked for their holdings.
	Requests func(ctx context.Context, at, owner string) ([]engine.Holding, error)
	Events   func(ctx context.Context, at string, after uint64) ([]engine.CacheEvent, error)
}

// Hub runs the dispatchers of the cells that this instance dispatches. Set the exported fields before calling Serve.
type Hub struct {
	Rules     func() *rule.Set
	Engines   EngineCalls
	Record    func(event.Event)
	Now       func() time.Time
	Reachable func() (reachable, known int) // instances that this one reaches, itself included, and all known ones
	// Peers returns the other reachable instances, which are asked for their holdings. Without it engines are asked.
	Peers   func() []fleet.Member
	Self    string // name of this instance
	Call    func(ctx context.Context, address, method string, args, reply any) error
	Leaving func() bool // reports whether this instance gives up its cells; nil means never
	// Preferred returns the name of the instance that this one takes for a cell's dispatcher.
	Preferred func(ID) string
	Limits    *throttle.List // limits of requests that servers name

	holdings *holdingSet
	levels   *levelSet
	promises *promiseSet

	mu         sync.Mutex
	cells      map[ID]*dispatcher
	wake       chan struct{} // makes Serve call tick
	background sync.WaitGroup
}

// NewHub returns a hub without cells.
func NewHub(rules func() *rule.Set, engines EngineCalls, record func(event.Event)) *Hub {
	return &Hub{
		Rules: rules, Engines: engines, Record: record, Now: time.Now,
		Reachable: func() (int, int) { return 1, 1 }, Preferred: func(ID) string { return "" }, Limits: throttle.NewList(),
		holdings: newHoldingSet(), levels: newLevelSet(), promises: newPromiseSet(),
		cells: make(map[ID]*dispatcher), wake: make(chan struct{}, 1),
	}
}

// Receiver serves the calls of other instances.
type Receiver struct{ hub *Hub }

// Receiver returns the receiver to register under RPCName.
func (h *Hub) Receiver() *Receiver { return &Receiver{h} }

// Place places a request, or replies that it is waiting.
func (r *Receiver) Place(args PlaceArgs, reply *PlaceReply) error {
	*reply = r.hub.Place(context.Background(), args)
	return nil
}

// Release releases reservations, and records reports of progress.
func (r *Receiver) Release(args ReleaseArgs, _ *ReleaseReply) error {
	r.hub.Release(args)
	return nil
}

// Place places a request, or replies that it is waiting.
func (h *Hub) Place(ctx context.Context, args PlaceArgs) PlaceReply {
	if h.Leaving != nil && h.Leaving() {
		return PlaceReply{Status: Moved}
	}
	d := h.dispatcher(args.Cell)
	return d.place(ctx, h.Now, h.Rules(), args.Ask, h.wakeServe, h.Reachable)
}

// Debit charges tokens to client accounts.
func (r *Receiver) Debit(args DebitArgs, reply *DebitReply) error {
	*reply = r.hub.Debit(args)
	return nil
}

// Debit charges tokens to client accounts.
func (h *Hub) Debit(args DebitArgs) DebitReply {
	return DebitReply{h.dispatcher(args.Cell).debit(h.Now(), args.Debits)}
}

// Release releases reservations, and records reports of progress.
func (h *Hub) Release(args ReleaseArgs) {
	h.mu.Lock()
	d := h.cells[args.Cell]
	h.mu.Unlock()
	if d != nil {
		d.release(h.Now(), args.Places)
	}
}

// dispatcher returns the dispatcher of a cell, and creates it if there is none.
func (h *Hub) dispatcher(id ID) *dispatcher {
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.cells[id]
	if !ok {
		d = newDispatcher(id, h.Now(), h.Limits)
		h.cells[id] = d
		if h.Peers != nil {
			d.core.awaitLevels(d.core.started.Add(gatherTimeout))
			h.background.Go(func() { h.gatherHoldings(d) })
		}
		h.Record(event.Event{Code: event.CellTakenOver, Detail: id.Prefill + " " + id.Decode})
	}
	return d
}

// wakeServe makes Serve call tick soon.
func (h *Hub) wakeServe() {
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

// PoolState sums up the cells of a decode pool that this instance dispatches.
type PoolState struct {
	Waiting   int // waiting requests
	UsedSlots int // reserved slots
	Slots     int // slots of the servers that are not paused, up to the largest batch that meets the target

	Promised  int     // refused callers for which room is held until they return
	RateShare float64 // part of each client account's rate that the dispatcher of one of the cells may grant
}

// PoolStates returns the state by decode pool.
func (h *Hub) PoolStates() map[string]PoolState {
	out := make(map[string]PoolState)
	now := h.Now()
	for _, d := range h.dispatchers() {
		s := out[d.id.Decode]
		d.mu.Lock()
		s.Waiting += d.core.QueueLength()
		s.RateShare = d.core.limiter.share
		s.Promised += d.core.promises.Len(d.coreTime(now))
		for _, server := range d.core.decodes {
			s.UsedSlots += len(server.streams)
			if server.health.usable(d.coreTime(now)) {
				s.Slots += server.batchLimit
			}
		}
		d.mu.Unlock()
		out[d.id.Decode] = s
	}
	return out
}

// Serve runs the cells' dispatchers and polls the servers until the context ends.
func (h *Hub) Serve(ctx context.Context) error {
	defer h.background.Wait()
	if h.Peers != nil {
		h.background.Go(func() { h.reconcileLoop(ctx) })
	}
	timer := time.NewTimer(pollCheckInterval)
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
		if now := h.Now(); !now.Before(next) || h.hasUnpolledCell() {
			h.poll(ctx)
			next = now.Add(pollCheckInterval)
		}
		if waiting {
			timer.Reset(decideInterval)
		} else {
			timer.Reset(pollCheckInterval)
		}
	}
}

// hasUnpolledCell reports whether there is a cell whose servers have not been polled yet.
func (h *Hub) hasUnpolledCell() bool {
	for _, d := range h.dispatchers() {
		d.mu.Lock()
		unpolled := len(d.nextPoll) == 0
		d.mu.Unlock()
		if unpolled {
			return true
		}
	}
	return false
}

// tick calls the cells' dispatchers, removes idle ones, and reports whether requests are waiting.
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
		for _, p := range d.duePolls(now) {
			h.background.Go(func() {
				err := p.run(ctx, h.Engines, h.Now)
				if err != nil && ctx.Err() == nil && !errors.Is(err, ErrNotPolled) {
					h.Record(event.Event{Code: event.PollFailed, Server: p.server.Server, Detail: err.Error()})
				}
			})
		}
	}
}
