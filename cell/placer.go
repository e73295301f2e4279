package cell

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/rule"
	"teaselgate/slot"
)

// Timing and limits of the calls to dispatchers.
const (
	placeTimeout    = 600 * time.Millisecond // for one Place call, which may wait maxPlaceWait at the dispatcher
	releaseTimeout  = time.Second
	rankingTTL      = 200 * time.Millisecond // how long the ranking of a cell's dispatchers is cached
	cellLoadTTL     = 5 * time.Second        // how long a cell's reported load is used
	maxDispatchers  = 3                      // dispatchers called for one request
	unresponsiveTTL = 3 * time.Second        // how long an unresponsive instance is skipped, until the membership detects it
	releaseBuffer   = 1024                   // largest number of releases waiting to be sent
)

// Placer places model requests by the policy in the model's rule. Set the exported fields before calling Serve.
type Placer struct {
	Local  *LocalPlacer
	Hub    *Hub
	Self   string                // name of this instance
	Live   func() []fleet.Member // returns the instances that may be dispatchers
	Call   func(ctx context.Context, address, method string, args, reply any) error
	Random func(n int) int
	// ShutdownDeadline returns when this instance ends its unfinished requests, or the zero time while it is not stopping.
	ShutdownDeadline func() time.Time

	directory    rule.Directory
	mu           sync.Mutex
	rankings     map[ID]ranking
	loads        map[ID]cellLoad
	unresponsive map[string]time.Time // instances that did not reply, and until when they are skipped
	paces        paces
	releases     chan pendingRelease
	sending      sync.WaitGroup
}

// ranking is the order in which the candidates for a cell's dispatcher are called.
type ranking struct {
	members []fleet.Member
	until   time.Time
}

// cellLoad is the load that a cell's dispatcher reported last.
type cellLoad struct {
	waiting int
	until   time.Time
}

// pendingRelease is a release to send to another instance.
type pendingRelease struct {
	address  string
	cell     ID
	released Released
}

// NewPlacer returns a placer. The hub runs the cells that its instance dispatches; it may be nil if no request is placed
// by cells.
func NewPlacer(rules func() *rule.Set, hub *Hub) *Placer {
	p := &Placer{
		Local:  NewLocalPlacer(rules),
		Hub:    hub,
		Random: rand.IntN,

		ShutdownDeadline: func() time.Time { return time.Time{} },

		rankings:     make(map[ID]ranking),
		loads:        make(map[ID]cellLoad),
		unresponsive: make(map[string]time.Time),
		paces:        paces{byPool: make(map[string]time.Duration)},
		releases:     make(chan pendingRelease, releaseBuffer),
	}
	if hub != nil {
		hub.Preferred = func(id ID) string {
			m, _ := p.Dispatcher(id)
			return m.Name
		}
	}
	return p
}

// Place chooses the backend servers of one attempt.
func (p *Placer) Place(ctx context.Context, r Request) (*Placement, error) {
	if r.Model.Place != rule.PlacementCell {
		return p.placeLocally(ctx, r)
	}
	arrived := p.Hub.Now()
	id := p.chooseCell(r)
	r.ID = fmt.Sprintf("%s-%d", r.ID, len(r.Exclude)+1)
	var skipped []string // dispatchers that did not accept the request
	for len(skipped) < maxDispatchers {
		m, ok := p.nextDispatcher(id, skipped)
		if !ok {
			break
		}
		reply, err := p.callPlace(ctx, m, id, p.newPlaceRequest(r, p.Hub.Now().Sub(arrived)))
		if ctx.Err() != nil {
			p.release(m, id, Released{Key: r.ID})
			return nil, ctx.Err()
		}
		if err != nil {
			p.Hub.Record(event.Event{Code: event.DispatcherUnreachable, Request: r.ID, Server: m.Name, Detail: err.Error()})
			p.release(m, id, Released{Key: r.ID})
			p.markUnresponsive(m)
			skipped = append(skipped, m.Name)
			continue
		}
		if reply.Status == Moved {
			skipped = append(skipped, m.Name)
			continue
		}
		if reply.Status == Waiting {
			p.cancelIfMoved(m, id, r.ID, skipped)
			continue
		}
		placement, err := p.placementFromReply(m, id, r, arrived, reply)
		if placement != nil || err != nil {
			return placement, err
		}
		r.Exclude = append(slices.Clone(r.Exclude), reply.Prefill, reply.Decode)
	}
	return nil, shed.New("cell: no dispatcher of pool %s accepted the request", id.Decode)
}

// cancelIfMoved cancels a waiting request at a dispatcher that has lost the cell to another instance.
func (p *Placer) cancelIfMoved(m fleet.Member, id ID, key string, skipped []string) {
	if next, ok := p.nextDispatcher(id, skipped); ok && next.Name != m.Name {
		p.release(m, id, Released{Key: key})
	}
}

// nextDispatcher returns the preferred dispatcher of a cell that is not skipped.
func (p *Placer) nextDispatcher(id ID, skipped []string) (fleet.Member, bool) {
	for _, m := range p.rankedDispatchers(id) {
		if !slices.Contains(skipped, m.Name) {
			return m, true
		}
	}
	return fleet.Member{}, false
}

// placementFromReply converts a reply into a placement. It returns nil without an error if a server is not live by the
// rules in force at this instance; the caller then calls again without these servers.
func (p *Placer) placementFromReply(
	m fleet.Member, id ID, r Request, arrived time.Time, reply PlaceReply,
) (*Placement, error) {
	switch reply.Status {
	case Shed:
		p.recordPromise(id, r, arrived, reply)
		return nil, &Refusal{
			Err: shed.New("cell: shed by %s: %s", m.Name, reply.Reason), RetryAt: p.Hub.Now().Add(reply.RetryIn),
		}
	case OverRate:
		return nil, &Refusal{
			Err: overRate.New("cell: refused by %s: %s", m.Name, reply.Reason), RetryAt: p.Hub.Now().Add(reply.RetryIn),
		}
	case NoServer:
		return nil, &Refusal{
			Err: noServer.New("cell: no server at %s: %s", m.Name, reply.Reason), RetryAt: p.Hub.Now().Add(reply.RetryIn),
		}
	}
	rules := p.Hub.Rules()
	prefill, ok1 := p.directory.LiveServer(rules, r.Model.Prefill, reply.Prefill)
	decode, ok2 := p.directory.LiveServer(rules, r.Model.Decode, reply.Decode)
	if !ok1 || !ok2 {
		p.release(m, id, Released{Key: r.ID})
		return nil, nil
	}
	placed := p.Hub.Now()
	holding := Holding{
		Key: r.ID, From: p.Self, Decode: reply.Decode, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
		Ceiling: r.Ceiling,
	}
	p.Hub.holdings.add(id, holding)
	p.notifyPreferred(m, id, holding)
	release := func(report Report) {
		report.Placed = placed
		if !report.Ended.IsZero() {
			p.Hub.holdings.remove(id, r.ID)
			p.paces.observe(id.Decode, report)
		}
		p.release(m, id, releasedFromReport(r.ID, report))
	}
	placement := &Placement{
		Prefill: prefill, Decode: decode, Dispatcher: m.Name, Inputs: reply.Inputs, RetryRefused: true, release: release,
	}
	if reply.Early {
		placement.progress = release
	}
	return placement, nil
}

// recordPromise records when a refused caller was told to return, for the next dispatcher.
func (p *Placer) recordPromise(id ID, r Request, arrived time.Time, reply PlaceReply) {
	if !r.Ordered || r.Return == "" {
		return
	}
	now := p.Hub.Now()
	told := passedPromise{
		rank: r.Rank, cost: float64(r.PromptTokens + outputTokenCost*r.MaxTokens), first: arrived, at: now.Add(reply.RetryIn),
	}
	if r.ReturnWithin > 0 && reply.RetryIn > r.ReturnWithin {
		told.cost = 0
	}
	p.Hub.promises.record(id, r.Return, told, now)
}

func (p *Placer) newPlaceRequest(r Request, waited time.Duration) PlaceRequest {
	deadline, shutdown := r.Deadline, p.ShutdownDeadline()
	stopping := !shutdown.IsZero() && (deadline.IsZero() || shutdown.Before(deadline))
	if stopping {
		deadline = shutdown
	}
	left := time.Duration(0) // a duration, since the dispatcher's clock may differ
	if !deadline.IsZero() {
		left = max(deadline.Sub(p.Hub.Now()), 1)
	}
	pace := time.Duration(0)
	if stopping {
		pace = p.paces.of(r.Model.Decode)
	}
	return PlaceRequest{
		Key: r.ID, From: p.ownerName(), Left: left, Stopping: stopping, Account: r.Account, Weight: r.Weight, Class: r.Class,
		LongestOutput: r.LongestOutput, Pace: pace,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Ceiling: r.Ceiling, Prefixes: r.Prefixes, Zone: r.Zone, Zones: r.Zones,
		Exclude: r.Exclude, Avoid: r.Avoid, Waited: waited,
		Rank: r.Rank, Ordered: r.Ordered, First: r.First, MaxWait: r.MaxWait,
		Return: r.Return, ReturnWithin: r.ReturnWithin, Charge: r.Charge, Rate: r.Rate, Burst: r.Burst,
	}
}

// ownerName returns the name of this instance if dispatchers ask the instances for their holdings, else an empty name.
func (p *Placer) ownerName() string {
	if p.Hub.Peers == nil {
		return ""
	}
	return p.Self
}

// callPlace calls a dispatcher, directly if it is this instance's own.
func (p *Placer) callPlace(ctx context.Context, m fleet.Member, id ID, request PlaceRequest) (PlaceReply, error) {
	args := PlaceArgs{Cell: id, Ask: request}
	if m.Name == p.Self {
		return p.recordReply(id, request.Account, p.Hub.Place(ctx, args)), nil
	}
	ctx, stop := context.WithTimeout(ctx, placeTimeout)
	defer stop()
	var reply PlaceReply
	if err := p.Call(ctx, m.Peer, RPCName+".Place", args, &reply); err != nil {
		return reply, err
	}
	return p.recordReply(id, request.Account, reply), nil
}

// recordReply records the load of a cell and the level of the account from a reply, and returns the reply.
func (p *Placer) recordReply(id ID, account string, r PlaceReply) PlaceReply {
	p.Hub.levels.record(id, account, r.Level, p.Hub.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads[id] = cellLoad{r.Waiting, p.Hub.Now().Add(cellLoadTTL)}
	return r
}

// chooseCell returns the less loaded of two random cells of a model's pools.
func (p *Placer) chooseCell(r Request) ID {
	id := ID{Prefill: r.Model.Prefill, Decode: r.Model.Decode}
	n := cellCount(len(p.directory.Pool(p.Hub.Rules(), id.Decode)))
	if n == 1 {
		return id
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Hub.Now()
	id.Share = slot.BetterOfTwo(n, p.Random, func(share int) float64 {
		l := p.loads[ID{id.Prefill, id.Decode, share}]
		if now.After(l.until) {
			return 0
		}
		return float64(l.waiting)
	})
	return id
}

// Running returns the number of this instance's model requests at each decode server, by name.
func (p *Placer) Running() map[string]int {
	out := make(map[string]int)
	if p.Hub != nil {
		p.Hub.holdings.count(out)
	}
	return out
}

// Dispatcher returns the preferred dispatcher of a cell, if there is one.
func (p *Placer) Dispatcher(id ID) (fleet.Member, bool) { return p.nextDispatcher(id, nil) }

// Keeper returns the instance that grants the requests of a server which names a limit: for an engine the dispatcher that
// places requests on it, for a server of a plain service the one that dispatches for its pool.
func (p *Placer) Keeper(server rule.Server) (fleet.Member, bool) {
	for _, m := range p.Hub.Rules().Models() {
		if m.Prefill == server.Pool || m.Decode == server.Pool {
			id := ID{Prefill: m.Prefill, Decode: m.Decode}
			id.Share = shareIndex(server.Server, cellCount(len(p.directory.Pool(p.Hub.Rules(), id.Decode))))
			return p.Dispatcher(id)
		}
	}
	return p.Dispatcher(ID{Prefill: server.Pool, Decode: server.Pool})
}

// SlotKeeper returns the instance that gives out the slots of a plain service: the second that may dispatch for its pool, since
// the first has the work of the models' dispatcher.
func (p *Placer) SlotKeeper(pool string) (fleet.Member, bool) {
	ranked := p.rankedDispatchers(ID{Prefill: pool, Decode: pool})
	switch len(ranked) {
	case 0:
		return fleet.Member{}, false
	case 1:
		return ranked[0], true
	default:
		return ranked[1], true
	}
}

// rankedDispatchers returns the instances that may be a cell's dispatcher, the preferred one first.
func (p *Placer) rankedDispatchers(id ID) []fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Hub.Now()
	r, ok := p.rankings[id]
	if !ok || now.After(r.until) {
		r = ranking{
			p.rankResponsive(now, id, cellCount(len(p.directory.Pool(p.Hub.Rules(), id.Decode)))),
			now.Add(rankingTTL),
		}
		p.rankings[id] = r
	}
	return r.members
}

// rankResponsive ranks the live instances without the unresponsive ones. The caller holds p.mu.
func (p *Placer) rankResponsive(now time.Time, id ID, cells int) []fleet.Member {
	for name, until := range p.unresponsive {
		if now.After(until) {
			delete(p.unresponsive, name)
		}
	}
	return rankMembers(slices.DeleteFunc(p.Live(), func(m fleet.Member) bool {
		_, skip := p.unresponsive[m.Name]
		return skip && m.Name != p.Self
	}), id, cells)
}

// markUnresponsive makes the placer skip an instance for unresponsiveTTL.
func (p *Placer) markUnresponsive(m fleet.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsive[m.Name] = p.Hub.Now().Add(unresponsiveTTL)
	clear(p.rankings)
}

// notifyPreferred informs the preferred dispatcher of a cell of a reservation made by another one, while the instances'
// views of the fleet differ.
func (p *Placer) notifyPreferred(m fleet.Member, id ID, h Holding) {
	ranked := p.rankedDispatchers(id)
	if len(ranked) == 0 || ranked[0].Name == m.Name {
		return
	}
	args := AdoptArgs{Cell: id, Holding: h}
	if ranked[0].Name == p.Self {
		p.Hub.Adopt(args)
		return
	}
	p.sending.Go(func() {
		ctx, stop := context.WithTimeout(context.Background(), releaseTimeout)
		defer stop()
		if err := p.Call(ctx, ranked[0].Peer, RPCName+".Adopt", args, &AdoptReply{}); err != nil {
			p.Hub.Record(event.Event{Code: event.DispatcherUnreachable, Request: h.Key, Server: ranked[0].Name, Detail: err.Error()})
		}
	})
}

// rankMembers returns up to maxDispatchers candidates for a cell's dispatcher. The instances that started first, as
// many as there are cells, come first in the order of rendezvous hashing; the others follow in the order of their
// start. So a cell moves when its dispatcher ends, but not when an instance starts.
func rankMembers(members []fleet.Member, id ID, cells int) []fleet.Member {
	weights := make(map[string]uint64, len(members))
	for _, m := range members {
		weights[m.Name] = rendezvousWeight(id.Prefill, id.Decode, string(rune('0'+id.Share)), m.Name)
	}
	slices.SortFunc(members, func(a, b fleet.Member) int {
		return cmp.Or(
			cmp.Compare(heartbeatRank(a), heartbeatRank(b)), cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Name, b.Name),
		)
	})
	byWeight := func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(weights[b.Name], weights[a.Name]), cmp.Compare(a.Name, b.Name))
	}
	slices.SortFunc(members[:min(cells, len(members))], byWeight)
	return members[:min(len(members), maxDispatchers)]
}

// heartbeatRank ranks an instance that is known only from the platform's list, and may have ended long ago, behind
// those with a heartbeat.
func heartbeatRank(m fleet.Member) int {
	if m.Heartbeat == 0 {
		return 1
	}
	return 0
}

// release releases a reservation at its dispatcher and at the preferred one. Releases at other instances are sent in
// the background; if one is lost, the reservation ends at its deadline at the latest.
func (p *Placer) release(m fleet.Member, id ID, released Released) {
	if ranked := p.rankedDispatchers(id); len(ranked) > 0 && ranked[0].Name != m.Name {
		p.releaseAt(ranked[0], id, released)
	}
	p.releaseAt(m, id, released)
}

func (p *Placer) releaseAt(m fleet.Member, id ID, released Released) {
	if m.Name == p.Self {
		p.Hub.Release(ReleaseArgs{Cell: id, Places: []Released{released}})
		return
	}
	select {
	case p.releases <- pendingRelease{m.Peer, id, released}:
	default:
	}
}

// Serve sends releases to other instances until the context ends. Releases that wait for the same cell go in one call.
func (p *Placer) Serve(ctx context.Context) error {
	defer p.sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-p.releases:
			p.sendReleases(ctx, first)
		}
	}
}

type releaseDestination struct {
	address string
	cell    ID
}

func (p *Placer) sendReleases(ctx context.Context, first pendingRelease) {
	groups := map[releaseDestination][]Released{{first.address, first.cell}: {first.released}}
	for len(p.releases) > 0 {
		r := <-p.releases
		destination := releaseDestination{r.address, r.cell}
		groups[destination] = append(groups[destination], r.released)
	}
	for destination, released := range groups {
		p.sending.Go(func() {
			ctx, stop := context.WithTimeout(ctx, releaseTimeout)
			defer stop()
			_ = p.Call(ctx, destination.address, RPCName+".Release", ReleaseArgs{destination.cell, released}, &ReleaseReply{})
		})
	}
}
