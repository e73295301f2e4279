package allowance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/platform"
	"teaselgate/rule"
)

// Timing of an instance's loops.
const (
	keeperTick   = 50 * time.Millisecond
	entryTick    = 20 * time.Millisecond
	takeTimeout  = 250 * time.Millisecond
	peerTimeout  = 400 * time.Millisecond
	leaveTimeout = 1500 * time.Millisecond
)

// Limiter runs the keeper and the entry of one instance. Its exported fields are set before Serve.
type Limiter struct {
	Self     Instance
	Rules    func() *rule.Set // nil before the first revision
	Platform *platform.Client
	Members  func() []fleet.Member
	Call     func(ctx context.Context, address, method string, args, reply any) error
	Record   func(event.Event)
	Now      func() time.Time // for deadlines only

	core  atomic.Pointer[core]
	ready chan struct{} // closed when core is set
	kick  chan struct{}
	calls sync.WaitGroup
	rules atomic.Pointer[rule.Set]
	ranks ranking
}

// core is what exists once the number of shards is known.
type core struct {
	keeper *ShardManager
	entry  *GrantClient
}

// NewLimiter returns a node that waits for the first rules.
func NewLimiter(self Instance) *Limiter {
	return &Limiter{
		Self:   self,
		Record: func(event.Event) {},
		Now:    NewClock().Now,
		ready:  make(chan struct{}),
		kick:   make(chan struct{}, 1),
	}
}

// Serve keeps shards and asks for grants until the context ends.
func (n *Limiter) Serve(ctx context.Context) error {
	defer n.calls.Wait()
	keeper := time.NewTicker(keeperTick)
	defer keeper.Stop()
	entry := time.NewTicker(entryTick)
	defer entry.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-keeper.C:
			if n.followRules(ctx) {
				n.pumpKeeper(ctx)
			}
		case <-entry.C:
			n.pumpEntry(ctx)
		case <-n.kick:
			n.pumpEntry(ctx)
		}
	}
}

// followRules takes in a new revision; it returns false before the first.
func (n *Limiter) followRules(ctx context.Context) bool {
	set, old := n.Rules(), n.rules.Load()
	if set == nil || set.Fleet().Shards == 0 {
		return false
	}
	c := n.core.Load()
	if c == nil {
		n.rules.Store(set)
		n.open(ctx, set.Fleet().Shards)
		return true
	}
	n.ranks.follow(n.Members(), c.keeper.Shards())
	if set == old {
		return true
	}
	c.keeper.ApplyRateChanges(n.Now(), rateChanges(old, set))
	n.rules.Store(set)
	return true
}

func rateChanges(old, set *rule.Set) []RateChange {
	var out []RateChange
	for name, a := range set.Accounts() {
		b, ok := old.Account(name)
		if ok && (a.Rate != b.Rate || a.Burst != b.Burst) {
			out = append(out, RateChange{b, a})
		}
	}
	return out
}

// open makes the core; the number of shards stays until the instance is restarted.
func (n *Limiter) open(ctx context.Context, shards int) {
	k := NewShardManager(n.Self, shards, n.Now())
	k.Account = func(name string) (rule.Account, bool) { return n.rules.Load().Account(name) }
	k.Rank = n.ranks.rank
	k.IsLive = n.ranks.isLive
	k.OnRoleChange = n.note
	n.ranks.follow(n.Members(), shards)
	n.core.Store(&core{k, NewGrantClient(shards, k.Assignment)})
	close(n.ready)
	n.calls.Go(func() { n.followShards(ctx, k) })
}

// Ready tells whether the keepers of all shards are known, so that requests of any account can be admitted.
func (n *Limiter) Ready() bool {
	c := n.core.Load()
	return c != nil && c.keeper.Ready()
}

// Take charges tokens to an account. With ErrExhausted comes the time at which they may be there.
func (n *Limiter) Take(ctx context.Context, a rule.Account, tokens int64) (*Charge, time.Time, error) {
	select {
	case <-n.ready:
	case <-ctx.Done():
		return nil, time.Time{}, unavailable.Wrap(ctx.Err(), "allowance: the caller is gone")
	case <-time.After(maxWait):
		return nil, time.Now().Add(maxWait), ErrUnavailable
	}
	entry := n.core.Load().entry
	got, w := entry.take(n.Now(), a.Account, tokens)
	if w != nil {
		n.wake()
		select {
		case got = <-w.done:
		case <-ctx.Done():
			if entry.cancel(a.Account, w) {
				return nil, time.Time{}, unavailable.Wrap(ctx.Err(), "allowance: the caller is gone")
			}
			got = <-w.done
		}
	}
	if got.err != nil {
		return nil, time.Now().Add(got.retryAt.Sub(n.Now())), got.err
	}
	settle := func(used int64) { entry.settle(n.Now(), got.parts, tokens-used) }
	return &Charge{settle: settle}, time.Time{}, nil
}

func (n *Limiter) wake() {
	select {
	case n.kick <- struct{}{}:
	default:
	}
}

// pumpKeeper carries out what the keeper wants to do now.
func (n *Limiter) pumpKeeper(ctx context.Context) {
	k := n.core.Load().keeper
	n.proveByMembership(k)
	plan := k.Tick(n.Now())
	for _, shard := range plan.Reads {
		n.calls.Go(func() { n.read(ctx, k, shard) })
	}
	for _, w := range plan.Writes {
		n.calls.Go(func() { n.write(ctx, k, w) })
	}
	for _, r := range plan.Renewals {
		n.calls.Go(func() { n.renew(ctx, k, r) })
	}
	for _, r := range plan.Resignations {
		n.calls.Go(func() { n.resign(ctx, r) })
	}
	for _, h := range plan.Probes {
		n.calls.Go(func() { n.probe(ctx, k, h) })
	}
}

// proveByMembership takes newer incarnations as the proof that older ones are gone.
func (n *Limiter) proveByMembership(k *ShardManager) {
	for _, m := range n.Members() {
		if m.Incarnation > 0 && m.Name != n.Self.Name {
			k.MarkGone(n.Now(), Instance{Name: m.Name, Incarnation: m.Incarnation - 1})
		}
	}
}

// pumpEntry asks keepers for grants.
func (n *Limiter) pumpEntry(ctx context.Context) {
	c := n.core.Load()
	if c == nil {
		return
	}
	for _, a := range c.entry.plan(n.Now()) {
		n.calls.Go(func() { n.ask(ctx, c, a) })
	}
}

func (n *Limiter) ask(ctx context.Context, c *core, a TakeRequest) {
	sent := n.Now()
	var reply TakeReply
	var err error
	if a.To.Name == n.Self.Name {
		reply = c.keeper.HandleTake(sent, a.Args)
	} else {
		ctx, stop := context.WithTimeout(ctx, takeTimeout)
		defer stop()
		err = n.Call(ctx, a.To.Peer, RPCName+".Take", a.Args, &reply)
	}
	c.entry.answered(n.Now(), sent, a, reply, err)
	n.wake()
}

// Leave hands all shards over, as far as that is possible in a short time.
func (n *Limiter) Leave(ctx context.Context) {
	c := n.core.Load()
	if c == nil {
		return
	}
	c.keeper.Leave()
	ctx, stop := context.WithTimeout(ctx, leaveTimeout)
	defer stop()
	tick := time.NewTicker(keeperTick)
	defer tick.Stop()
	for !c.keeper.Idle() {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (n *Limiter) note(c RoleChange) {
	n.Record(event.Event{Code: event.ShardRoleChanged, Detail: c.String()})
}
