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
)

// Timing of the calls to dispatchers.
const (
	answerTimeout  = 600 * time.Millisecond // for one call, which may wait askWait at the dispatcher
	releaseTimeout = time.Second
	rankLife       = 200 * time.Millisecond // how long the order of a cell's dispatchers is kept
	loadLife       = 5 * time.Second        // how long a cell's reported load is believed
	maxDispatchers = 3                      // asked for one request
	silentLife     = 3 * time.Second        // how long an instance that did not answer is passed over; membership knows by then
	releaseBuffer  = 1024
)

// Placer places model work by the policy that each model's rule names. Its exported fields are set
// before Serve.
type Placer struct {
	Local  *LocalPlacer
	Plain  *PlainPicker
	Hub    *Hub
	Self   string                // name of this instance
	Live   func() []fleet.Member // instances that take new duties
	Call   func(ctx context.Context, address, method string, args, reply any) error
	Random func(n int) int

	directory directory
	mu        sync.Mutex
	ranks     map[ID]rank
	loads     map[ID]load
	silent    map[string]time.Time // instances that did not answer, until when they are asked last
	releases  chan releaseTo
	sending   sync.WaitGroup
}

// rank is the order in which a cell's dispatchers are asked.
type rank struct {
	members []fleet.Member
	until   time.Time
}

// load is what a cell's dispatcher reported last.
type load struct {
	waiting int
	until   time.Time
}

// releaseTo is a place to give back at another instance.
type releaseTo struct {
	address string
	cell    ID
	place   Released
}

// NewPlacer returns a placer whose cells are run by a hub.
func NewPlacer(rules func() *rule.Set, hub *Hub) *Placer {
	return &Placer{
		Local:    NewLocalPlacer(rules),
		Plain:    NewPlainPicker(rules),
		Hub:      hub,
		Random:   rand.IntN,
		ranks:    make(map[ID]rank),
		loads:    make(map[ID]load),
		silent:   make(map[string]time.Time),
		releases: make(chan releaseTo, releaseBuffer),
	}
}

// Place finds backend servers for one attempt.
func (p *Placer) Place(ctx context.Context, r Request) (*Placement, error) {
	if r.Model.Place != rule.PlacementCell {
		return p.Local.Place(ctx, r)
	}
	arrived := p.Hub.Now()
	id := p.chooseCell(r)
	r.ID = fmt.Sprintf("%s-%d", r.ID, len(r.Exclude)+1)
	var passed []string // dispatchers that did not take the request
	for len(passed) < maxDispatchers {
		m, ok := p.nextDispatcher(id, passed)
		if !ok {
			break
		}
		reply, err := p.ask(ctx, m, id, p.askOf(r, p.Hub.Now().Sub(arrived)))
		if ctx.Err() != nil {
			p.giveBack(m, id, Released{Key: r.ID})
			return nil, ctx.Err()
		}
		if err != nil {
			p.Hub.Record(event.Event{Code: event.DispatcherUnreachable, Request: r.ID, Server: m.Name, Detail: err.Error()})
			p.giveBack(m, id, Released{Key: r.ID})
			p.passOver(m)
			passed = append(passed, m.Name)
			continue
		}
		if reply.Status == Moved {
			passed = append(passed, m.Name)
			continue
		}
		if reply.Status == Waiting {
			p.moved(m, id, r.ID, passed)
			continue
		}
		placement, err := p.finish(m, id, r, reply)
		if placement != nil || err != nil {
			return placement, err
		}
		r.Exclude = append(slices.Clone(r.Exclude), reply.Prefill, reply.Decode)
	}
	return nil, shed.New("cell: no dispatcher of %s answers", id.Decode)
}

// moved withdraws a waiting request from a dispatcher that has lost its cell to another instance.
func (p *Placer) moved(m fleet.Member, id ID, key string, passed []string) {
	if next, ok := p.nextDispatcher(id, passed); ok && next.Name != m.Name {
		p.giveBack(m, id, Released{Key: key})
	}
}

// nextDispatcher returns the instance to ask, but for those that passed on the request.
func (p *Placer) nextDispatcher(id ID, passed []string) (fleet.Member, bool) {
	for _, m := range p.dispatchers(id) {
		if !slices.Contains(passed, m.Name) {
			return m, true
		}
	}
	return fleet.Member{}, false
}

// finish turns a reply into a placement. It returns nothing when the rules in force here say that a
// server is leaving or unknown; the request is asked for again without these servers then.
func (p *Placer) finish(m fleet.Member, id ID, r Request, reply PlaceReply) (*Placement, error) {
	switch reply.Status {
	case Shed:
		return nil, &Refusal{Err: shed.New("cell: shed by %s: %s", m.Name, reply.Reason), RetryAt: p.Hub.Now().Add(reply.RetryIn)}
	case OverRate:
		return nil, &Refusal{Err: overRate.New("cell: the client account is over its rate"), RetryAt: p.Hub.Now().Add(reply.RetryIn)}
	case NoServer:
		return nil, &Refusal{Err: noServer.New("cell: no server at %s: %s", m.Name, reply.Reason), RetryAt: p.Hub.Now().Add(reply.RetryIn)}
	}
	rules := p.Hub.Rules()
	prefill, ok1 := p.directory.liveServer(rules, r.Model.Prefill, reply.Prefill)
	decode, ok2 := p.directory.liveServer(rules, r.Model.Decode, reply.Decode)
	if !ok1 || !ok2 {
		p.giveBack(m, id, Released{Key: r.ID})
		return nil, nil
	}
	placed := p.Hub.Now()
	holding := Holding{Key: r.ID, From: p.Self, Decode: reply.Decode, PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Ceiling: r.Ceiling}
	p.Hub.holdings.add(id, holding)
	p.tellNew(m, id, holding)
	release := func(report Report) {
		report.Placed = placed
		if !report.Ended.IsZero() {
			p.Hub.holdings.remove(id, r.ID)
		}
		p.giveBack(m, id, releasedOf(r.ID, report))
	}
	placement := &Placement{Prefill: prefill, Decode: decode, Dispatcher: m.Name, Inputs: reply.Inputs, RetryRefused: true, release: release}
	if reply.Early {
		placement.progress = release
	}
	return placement, nil
}

func (p *Placer) askOf(r Request, waited time.Duration) PlaceRequest {
	left := time.Duration(0) // a time that is left is the same by the dispatcher's clock
	if !r.Deadline.IsZero() {
		left = max(r.Deadline.Sub(p.Hub.Now()), 1)
	}
	return PlaceRequest{
		Key: r.ID, From: p.asker(), Left: left, Account: r.Account, Weight: r.Weight, Class: r.Class, PromptTokens: r.PromptTokens,
		MaxTokens: r.MaxTokens, Ceiling: r.Ceiling, Prefixes: r.Prefixes, Zone: r.Zone, Exclude: r.Exclude, Waited: waited,
		Charge: r.Charge, Rate: r.Rate, Burst: r.Burst,
	}
}

// asker names this instance to dispatchers that ask instances what they hold.
func (p *Placer) asker() string {
	if p.Hub.Peers == nil {
		return ""
	}
	return p.Self
}

// ask calls a dispatcher, directly if it is this instance's own.
func (p *Placer) ask(ctx context.Context, m fleet.Member, id ID, ask PlaceRequest) (PlaceReply, error) {
	args := PlaceArgs{Cell: id, Ask: ask}
	if m.Name == p.Self {
		return p.note(id, p.Hub.Place(ctx, args)), nil
	}
	ctx, stop := context.WithTimeout(ctx, answerTimeout)
	defer stop()
	var reply PlaceReply
	if err := p.Call(ctx, m.Peer, RPCName+".Place", args, &reply); err != nil {
		return reply, err
	}
	return p.note(id, reply), nil
}

func (p *Placer) note(id ID, r PlaceReply) PlaceReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads[id] = load{r.Waiting, p.Hub.Now().Add(loadLife)}
	return r
}

// chooseCell returns the less loaded of two random cells of a model's pools.
func (p *Placer) chooseCell(r Request) ID {
	id := ID{Prefill: r.Model.Prefill, Decode: r.Model.Decode}
	n := shares(len(p.directory.pool(p.Hub.Rules(), id.Decode)))
	if n == 1 {
		return id
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Hub.Now()
	id.Share = chooseTwo(n, p.Random, func(share int) float64 {
		l := p.loads[ID{id.Prefill, id.Decode, share}]
		if now.After(l.until) {
			return 0
		}
		return float64(l.waiting)
	})
	return id
}

// dispatchers lists the instances that may have a cell, the one that should have it first.
func (p *Placer) dispatchers(id ID) []fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Hub.Now()
	r, ok := p.ranks[id]
	if !ok || now.After(r.until) {
		r = rank{p.rankHeard(now, id, shares(len(p.directory.pool(p.Hub.Rules(), id.Decode)))), now.Add(rankLife)}
		p.ranks[id] = r
	}
	return r.members
}

// rankHeard ranks the live instances that answered last time; the caller holds the lock.
func (p *Placer) rankHeard(now time.Time, id ID, cells int) []fleet.Member {
	for name, until := range p.silent {
		if now.After(until) {
			delete(p.silent, name)
		}
	}
	return rankMembers(slices.DeleteFunc(p.Live(), func(m fleet.Member) bool {
		_, silent := p.silent[m.Name]
		return silent && m.Name != p.Self
	}), id, cells)
}

// passOver asks an instance that did not answer no more for a while.
func (p *Placer) passOver(m fleet.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent[m.Name] = p.Hub.Now().Add(silentLife)
	clear(p.ranks)
}

// tellNew tells the instance that should have a cell of a place that another one gave, while views of the fleet differ.
func (p *Placer) tellNew(m fleet.Member, id ID, h Holding) {
	ranked := p.dispatchers(id)
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

// rankMembers ranks instances by rendezvous hashing. As many as there are cells go ahead, those that started first: so a
// cell moves when its dispatcher ends, and not when another instance starts.
func rankMembers(members []fleet.Member, id ID, cells int) []fleet.Member {
	weights := make(map[string]uint64, len(members))
	for _, m := range members {
		weights[m.Name] = weightOf(id.Prefill, id.Decode, string(rune('0'+id.Share)), m.Name)
	}
	slices.SortFunc(members, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(unheard(a), unheard(b)), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Name, b.Name))
	})
	byWeight := func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(weights[b.Name], weights[a.Name]), cmp.Compare(a.Name, b.Name))
	}
	slices.SortFunc(members[:min(cells, len(members))], byWeight)
	return members[:min(len(members), maxDispatchers)]
}

// unheard is 1 for an instance that is known from the platform's list only: it may be gone for long.
func unheard(m fleet.Member) int {
	if m.Heartbeat == 0 {
		return 1
	}
	return 0
}

// giveBack returns a place. A report to another instance is sent in the background; one that is
// lost is made up for by the place's deadline.
func (p *Placer) giveBack(m fleet.Member, id ID, r Released) {
	if ranked := p.dispatchers(id); len(ranked) > 0 && ranked[0].Name != m.Name {
		p.giveBackTo(ranked[0], id, r)
	}
	p.giveBackTo(m, id, r)
}

func (p *Placer) giveBackTo(m fleet.Member, id ID, r Released) {
	if m.Name == p.Self {
		p.Hub.Release(ReleaseArgs{Cell: id, Places: []Released{r}})
		return
	}
	select {
	case p.releases <- releaseTo{m.Peer, id, r}:
	default:
	}
}

// Serve sends places back to other instances, those that came together in one call, until the
// context ends.
func (p *Placer) Serve(ctx context.Context) error {
	defer p.sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-p.releases:
			p.send(ctx, first)
		}
	}
}

type releaseKey struct {
	address string
	cell    ID
}

func (p *Placer) send(ctx context.Context, first releaseTo) {
	groups := map[releaseKey][]Released{{first.address, first.cell}: {first.place}}
	for len(p.releases) > 0 {
		r := <-p.releases
		key := releaseKey{r.address, r.cell}
		groups[key] = append(groups[key], r.place)
	}
	for key, places := range groups {
		p.sending.Go(func() {
			ctx, stop := context.WithTimeout(ctx, releaseTimeout)
			defer stop()
			_ = p.Call(ctx, key.address, RPCName+".Release", ReleaseArgs{key.cell, places}, &ReleaseReply{})
		})
	}
}
