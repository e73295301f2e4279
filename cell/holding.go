package cell

import (
	"context"
	"sync"
	"time"

	"teaselgate/delay"
)

// Holding is a reservation that an instance holds. A new dispatcher learns of the existing reservations from the
// holdings of the instances.
type Holding struct {
	Key          string
	From         string // name of the instance
	Decode       string
	PromptTokens int
	MaxTokens    int // estimated output tokens
	Ceiling      int // upper bound of MaxTokens
}

// HoldingsArgs asks an instance for its holdings in a cell.
type HoldingsArgs struct {
	Cell   ID
	Levels bool // whether the caller also wants the levels of the accounts and the promises to refused callers
}

// HoldingsReply is the reply to HoldingsArgs.
type HoldingsReply struct {
	Holdings   []Holding
	Prefers    string                  // name of the instance that the replying one takes for the cell's dispatcher
	Dispatches bool                    // whether the replying instance is a dispatcher of the cell that goes on placing
	Levels     map[string]AccountLevel // by account
	Promises   map[string]heldPromise  // to refused callers, by key of the request
}

// AdoptArgs informs a dispatcher of a reservation made by another one.
type AdoptArgs struct {
	Cell    ID
	Holding Holding
}

// AdoptReply is the reply to AdoptArgs.
type AdoptReply struct{}

// gatherTimeout bounds a new dispatcher's wait for the holdings of instances. Instances that have ended do not reply,
// and hold nothing.
const gatherTimeout = 150 * time.Millisecond

// holdingSet is the set of an instance's holdings, by cell and request key.
type holdingSet struct {
	mu    sync.Mutex
	cells map[ID]map[string]Holding
}

func newHoldingSet() *holdingSet {
	return &holdingSet{cells: make(map[ID]map[string]Holding)}
}

func (p *holdingSet) add(id ID, h Holding) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cells[id] == nil {
		p.cells[id] = make(map[string]Holding)
	}
	p.cells[id][h.Key] = h
}

func (p *holdingSet) remove(id ID, key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cells[id], key)
}

// list returns the holdings at a cell's pools in all shares, since servers change shares when a pool grows.
func (p *holdingSet) list(id ID) []Holding {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Holding
	for other, holdings := range p.cells {
		if other.Prefill != id.Prefill || other.Decode != id.Decode {
			continue
		}
		for _, h := range holdings {
			out = append(out, h)
		}
	}
	return out
}

// count adds the number of holdings at each decode server to a map.
func (p *holdingSet) count(to map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, holdings := range p.cells {
		for _, h := range holdings {
			to[h.Decode]++
		}
	}
}

// Holdings returns the holdings of this instance at a cell's pools.
func (r *Receiver) Holdings(args HoldingsArgs, reply *HoldingsReply) error {
	reply.Holdings = r.hub.holdings.list(args.Cell)
	reply.Prefers, reply.Dispatches = r.hub.Preferred(args.Cell), r.hub.dispatches(args.Cell)
	if args.Levels {
		reply.Levels = r.hub.levels.list(args.Cell, r.hub.Now())
		reply.Promises = r.hub.promises.list(args.Cell, r.hub.Now())
	}
	return nil
}

// Adopt books a reservation made by another dispatcher.
func (r *Receiver) Adopt(args AdoptArgs, _ *AdoptReply) error {
	r.hub.Adopt(args)
	return nil
}

// Adopt books a reservation made by another dispatcher.
func (h *Hub) Adopt(args AdoptArgs) {
	h.mu.Lock()
	d := h.cells[args.Cell]
	h.mu.Unlock()
	if d != nil {
		d.adopt(h.Now(), []Holding{args.Holding}, false)
	}
}

// gatherHoldings collects the holdings of the instances and the levels of the accounts for a new dispatcher, and lets it
// place when all have replied or gatherTimeout has passed.
func (h *Hub) gatherHoldings(d *dispatcher) {
	ctx, stop := context.WithTimeout(context.Background(), gatherTimeout)
	defer stop()
	d.tick(h.Now(), h.Rules()) // holdings at unknown servers would be dropped
	var mu sync.Mutex
	levels, asked, replies := make(map[string]levelReport), 0, make(map[string]HoldingsReply)
	adopt := func(from string, reply HoldingsReply) {
		mu.Lock()
		defer mu.Unlock()
		replies[from] = reply
		newestLevels(levels, d.coreTime(h.Now()), reply.Levels)
		d.adoptPromises(h.Now(), reply.Promises)
		d.adopt(h.Now(), reply.Holdings, false)
	}
	d.adopt(h.Now(), h.holdings.list(d.id), false)
	d.adoptPromises(h.Now(), h.promises.list(d.id, h.Now()))
	newestLevels(levels, d.coreTime(h.Now()), h.levels.list(d.id, h.Now()))
	var calls sync.WaitGroup
	for _, m := range h.Peers() {
		asked++
		calls.Go(func() {
			var reply HoldingsReply
			if h.Call(ctx, m.Peer, RPCName+".Holdings", HoldingsArgs{Cell: d.id, Levels: true}, &reply) == nil {
				adopt(m.Name, reply)
			}
		})
	}
	calls.Wait()
	if 2*len(replies) < asked {
		levels = nil
	}
	d.adoptLevels(h.Now(), levels, 1+countFollowers(h.Self, replies), h.Reachable)
	d.adopt(h.Now(), nil, true)
	h.wakeServe()
}

// Timing of reconciliation.
const (
	reconcileInterval  = time.Second
	reconcileTimeout   = 400 * time.Millisecond
	reconcileGrace     = 500 * time.Millisecond // age from which a reservation must be among its instance's holdings
	unreachableTimeout = 4 * time.Second        // after which the reservations of an unreachable instance are released
)

// reconcileLoop reconciles the cells that this instance dispatches until the context ends. Without it, the servers
// would count as full after releases were lost while this instance or its links were stalled.
func (h *Hub) reconcileLoop(ctx context.Context) {
	for delay.For(ctx, reconcileInterval) == nil {
		for _, d := range h.dispatchers() {
			if d.recentlyUsed(h.Now()) {
				h.reconcile(ctx, d)
			}
		}
	}
}

// reconcile asks all instances for their holdings in a cell and releases the reservations that they no longer hold.
func (h *Hub) reconcile(ctx context.Context, d *dispatcher) {
	ctx, stop := context.WithTimeout(ctx, reconcileTimeout)
	defer stop()
	asked := h.Now()
	reachable := map[string]bool{h.Self: true}
	var mu sync.Mutex
	replies := make(map[string]HoldingsReply)
	var calls sync.WaitGroup
	for _, m := range h.Peers() {
		reachable[m.Name] = true
		calls.Go(func() {
			var reply HoldingsReply
			if h.Call(ctx, m.Peer, RPCName+".Holdings", HoldingsArgs{Cell: d.id}, &reply) == nil {
				mu.Lock()
				replies[m.Name] = reply
				mu.Unlock()
				d.reconcile(h.Now(), asked, m.Name, reply.Holdings)
			}
		})
	}
	d.reconcile(h.Now(), asked, h.Self, h.holdings.list(d.id))
	calls.Wait()
	d.mu.Lock()
	d.followers = 1 + countFollowers(h.Self, replies)
	d.core.ReleaseUnreachable(d.coreTime(h.Now()), reachable)
	d.mu.Unlock()
}

// countFollowers returns the number of instances among those that replied which get their placements from the dispatcher
// self: not those that prefer another one which replied and goes on placing. While a partitioned fleet becomes one again,
// several dispatchers reach all instances; counted so, their parts of the rates add up to no more than one's.
func countFollowers(self string, replies map[string]HoldingsReply) int {
	n := 0
	for _, reply := range replies {
		if reply.Prefers == self || !replies[reply.Prefers].Dispatches {
			n++
		}
	}
	return n
}

// dispatches reports whether this instance is a dispatcher of a cell that goes on placing.
func (h *Hub) dispatches(id ID) bool {
	d, ok := h.lookup(id)
	return ok && d.recentlyUsed(h.Now()) && (h.Leaving == nil || !h.Leaving())
}

// reconcile applies the holdings that an instance had when it was asked.
func (d *dispatcher) reconcile(now, asked time.Time, from string, holdings []Holding) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Reconcile(d.coreTime(now), d.coreTime(asked), from, holdings)
	d.decide(now)
}

// recentlyUsed reports whether the cell was used within pollIdleTimeout.
func (d *dispatcher) recentlyUsed(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastUsed) <= pollIdleTimeout
}

// Reconcile applies the holdings that an instance had when it was asked. It releases the reservations that the instance
// no longer holds, and books unknown holdings, which another dispatcher placed.
func (c *Core) Reconcile(now, asked instant, from string, holdings []Holding) {
	listed := make(map[string]bool, len(holdings))
	for _, h := range holdings {
		listed[h.Key] = true
	}
	c.releaseWhere(now, func(r *reservation) bool {
		return r.owner == from && !listed[r.key] && r.placedAt.Add(reconcileGrace).Before(asked)
	})
	for _, h := range holdings {
		c.Adopt(now, h)
	}
}

// ReleaseUnreachable releases the reservations of instances that have been unreachable for unreachableTimeout: the
// connections of their callers are broken.
func (c *Core) ReleaseUnreachable(now instant, reachable map[string]bool) {
	for name := range reachable {
		c.lastReachable[name] = now
	}
	c.releaseWhere(now, func(r *reservation) bool {
		if r.owner == "" || reachable[r.owner] {
			return false
		}
		last, ok := c.lastReachable[r.owner]
		return !ok && now.Sub(r.placedAt) > unreachableTimeout || ok && now.Sub(last) > unreachableTimeout
	})
}

// releaseWhere releases the reservations that match a filter.
func (c *Core) releaseWhere(now instant, match func(*reservation) bool) {
	for _, r := range c.reservations {
		if match(r) {
			c.Release(now, r.key, Report{})
		}
	}
}

// adopt books reservations made by another dispatcher. complete means that all instances have sent
// their holdings or failed to.
func (d *dispatcher) adopt(now time.Time, holdings []Holding, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range holdings {
		d.core.Adopt(d.coreTime(now), h)
	}
	d.core.holdingsKnown = d.core.holdingsKnown || complete
}

// adoptLevels lets the core charge requests. It takes the levels that the instances know, nil if too few have replied,
// and the number of followers: an instance that has just been cut off from the others still counts them as reachable.
func (d *dispatcher) adoptLevels(
	now time.Time, levels map[string]levelReport, followers int, reachable func() (reached, known int),
) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.followers == 0 {
		d.followers = followers
	}
	d.updateShare(reachable)
	d.core.adoptLevels(d.coreTime(now), levels)
}

// Adopt books a reservation made by another dispatcher. It ignores known reservations and unknown servers.
func (c *Core) Adopt(now instant, h Holding) {
	d := c.findDecode(h.Decode)
	if _, known := c.reservations[h.Key]; known || d == nil {
		return
	}
	d.advance(now)
	r := &reservation{
		key: h.Key, owner: h.From, decode: d, promptTokens: h.PromptTokens, maxTokens: h.MaxTokens, ceiling: h.Ceiling,
		placedAt: now,
		pieces:   c.piecesNeeded(PlaceRequest{PromptTokens: h.PromptTokens, MaxTokens: h.MaxTokens}),
	}
	r.deadline = now.Add(seconds(float64(r.maxTokens) * d.steps.step(d.slots))).Add(reservationGrace)
	d.add(r, 0)
	c.reservations[h.Key] = r
}
