package allowance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/clock"
	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/platform"
	"teaselgate/rule"
)

// Intervals of Serve and timeouts of calls.
const (
	managerInterval = 50 * time.Millisecond   // interval between ticks of the shard manager
	clientInterval  = 20 * time.Millisecond   // interval between requests for grants, unless Serve is woken
	takeTimeout     = 250 * time.Millisecond  // timeout of a request for grants
	peerTimeout     = 400 * time.Millisecond  // timeout of any other call to an instance
	leaveTimeout    = 1500 * time.Millisecond // timeout of the handover of all shards
)

// Limiter enforces the rates of client accounts at one instance. It runs the instance's shard manager and grant client.
// The exported fields are set before Serve.
type Limiter struct {
	Self     Instance
	Rules    func() *rule.Set // returns nil before the first revision
	Platform *platform.Client
	Members  func() []fleet.Member                                                    // returns the current membership
	Call     func(ctx context.Context, address, method string, args, reply any) error // calls a method of an instance
	Record   func(event.Event)                                                        // records an event
	Now      func() time.Time                                                         // clock for deadlines

	components  atomic.Pointer[components]
	ready       chan struct{}  // closed when components is set
	wakeups     chan struct{}  // makes Serve request grants at once
	calls       sync.WaitGroup // calls in flight
	activeRules atomic.Pointer[rule.Set]
	ranking     ranking
}

// components are created once the number of shards is known.
type components struct {
	manager *ShardManager
	client  *GrantClient
}

// NewLimiter returns a limiter that waits for the first rules.
func NewLimiter(self Instance) *Limiter {
	return &Limiter{
		Self:    self,
		Record:  func(event.Event) {},
		Now:     clock.New().Now,
		ready:   make(chan struct{}),
		wakeups: make(chan struct{}, 1),
	}
}

// Serve manages this instance's shards and requests grants until the context ends.
func (l *Limiter) Serve(ctx context.Context) error {
	defer l.calls.Wait()
	managerTicker := time.NewTicker(managerInterval)
	defer managerTicker.Stop()
	clientTicker := time.NewTicker(clientInterval)
	defer clientTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-managerTicker.C:
			if l.refreshRules(ctx) {
				l.runManager(ctx)
			}
		case <-clientTicker.C:
			l.requestGrants(ctx)
		case <-l.wakeups:
			l.requestGrants(ctx)
		}
	}
}

// refreshRules applies a new revision of the rules, and the current membership. It returns false until there are rules
// that set the number of shards.
func (l *Limiter) refreshRules(ctx context.Context) bool {
	set, old := l.Rules(), l.activeRules.Load()
	if set == nil || set.Fleet().Shards == 0 {
		return false
	}
	c := l.components.Load()
	if c == nil {
		l.activeRules.Store(set)
		l.start(ctx, set.Fleet().Shards)
		return true
	}
	l.ranking.update(l.Members(), c.manager.Shards())
	if set == old {
		return true
	}
	c.manager.ApplyRateChanges(l.Now(), rateChanges(old, set))
	l.activeRules.Store(set)
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

// start creates the components. The number of shards is fixed until the instance restarts.
func (l *Limiter) start(ctx context.Context, shards int) {
	manager := NewShardManager(l.Self, shards, l.Now())
	manager.Account = func(name string) (rule.Account, bool) { return l.activeRules.Load().Account(name) }
	manager.Rank = l.ranking.forShard
	manager.IsLive = l.ranking.isLive
	manager.OnRoleChange = l.recordRoleChange
	l.ranking.update(l.Members(), shards)
	l.components.Store(&components{manager, NewGrantClient(shards, manager.Assignment)})
	close(l.ready)
	l.calls.Go(func() { l.watchAssignments(ctx, manager) })
}

// Ready reports whether the assignments of all shards are known, so that requests of any account can be admitted.
func (l *Limiter) Ready() bool {
	c := l.components.Load()
	return c != nil && c.manager.Ready()
}

// Take charges tokens to an account. If it returns ErrExhausted or ErrUnavailable, the returned time is the earliest at
// which to retry.
func (l *Limiter) Take(ctx context.Context, a rule.Account, tokens int64) (*Charge, time.Time, error) {
	select {
	case <-l.ready:
	case <-ctx.Done():
		return nil, time.Time{}, unavailable.Wrap(ctx.Err(), "allowance: the caller is gone")
	case <-time.After(maxGrantWait):
		return nil, time.Now().Add(maxGrantWait), ErrUnavailable
	}
	client := l.components.Load().client
	result, w := client.take(l.Now(), a.Account, tokens)
	if w != nil {
		l.wake()
		select {
		case result = <-w.result:
		case <-ctx.Done():
			if client.cancel(a.Account, w) {
				return nil, time.Time{}, unavailable.Wrap(ctx.Err(), "allowance: the caller is gone")
			}
			result = <-w.result
		}
	}
	if result.err != nil {
		return nil, time.Now().Add(result.retryAt.Sub(l.Now())), result.err
	}
	settle := func(used int64) { client.settle(l.Now(), result.debits, tokens-used) }
	return &Charge{settle: settle}, time.Time{}, nil
}

func (l *Limiter) wake() {
	select {
	case l.wakeups <- struct{}{}:
	default:
	}
}

// runManager carries out the actions that the shard manager plans.
func (l *Limiter) runManager(ctx context.Context) {
	manager := l.components.Load().manager
	l.markGoneByMembership(manager)
	plan := manager.Tick(l.Now())
	for _, shard := range plan.Reads {
		l.calls.Go(func() { l.readAssignment(ctx, manager, shard) })
	}
	for _, w := range plan.Writes {
		l.calls.Go(func() { l.writeAssignment(ctx, manager, w) })
	}
	for _, renewal := range plan.Renewals {
		l.calls.Go(func() { l.sendRenewal(ctx, manager, renewal) })
	}
	for _, resignation := range plan.Resignations {
		l.calls.Go(func() { l.sendResignation(ctx, resignation) })
	}
	for _, instance := range plan.Probes {
		l.calls.Go(func() { l.probe(ctx, manager, instance) })
	}
}

// markGoneByMembership marks the incarnations gone that are older than those in the membership.
func (l *Limiter) markGoneByMembership(manager *ShardManager) {
	for _, m := range l.Members() {
		if m.Incarnation > 0 && m.Name != l.Self.Name {
			manager.MarkGone(l.Now(), Instance{Name: m.Name, Incarnation: m.Incarnation - 1})
		}
	}
}

// requestGrants sends the requests that the grant client plans.
func (l *Limiter) requestGrants(ctx context.Context) {
	c := l.components.Load()
	if c == nil {
		return
	}
	for _, request := range c.client.planRequests(l.Now()) {
		l.calls.Go(func() { l.sendTake(ctx, c, request) })
	}
}

func (l *Limiter) sendTake(ctx context.Context, c *components, request TakeRequest) {
	sent := l.Now()
	var reply TakeReply
	var err error
	if request.To.Name == l.Self.Name {
		reply = c.manager.HandleTake(sent, request.Args)
	} else {
		ctx, stop := context.WithTimeout(ctx, takeTimeout)
		defer stop()
		err = l.Call(ctx, request.To.Peer, RPCName+".Take", request.Args, &reply)
	}
	c.client.handleReply(l.Now(), sent, request, reply, err)
	l.wake()
}

// Leave hands over all shards. It returns when that is done, or after leaveTimeout.
func (l *Limiter) Leave(ctx context.Context) {
	c := l.components.Load()
	if c == nil {
		return
	}
	c.manager.Leave()
	ctx, stop := context.WithTimeout(ctx, leaveTimeout)
	defer stop()
	tick := time.NewTicker(managerInterval)
	defer tick.Stop()
	for !c.manager.Idle() {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (l *Limiter) recordRoleChange(change RoleChange) {
	l.Record(event.Event{Code: event.ShardRoleChanged, Detail: change.String()})
}
