package cell

import (
	"context"
	"errors"
	"sync"
	"time"

	"teaselgate/rule"
	"teaselgate/throttle"
	"teaselgate/upstream"
)

// Timing of a dispatcher.
const (
	maxPlaceWait      = 250 * time.Millisecond // a Place call without a decision returns Waiting after this time
	decideInterval    = 5 * time.Millisecond   // interval of the decisions while requests are waiting
	pollCheckInterval = 100 * time.Millisecond // interval of the checks for due polls
	minPollInterval   = time.Second            // shortest interval of the polls of a server
	pollSpacing       = 40 * time.Millisecond  // a server's poll interval is at least this times the number of servers
	cellIdleTimeout   = 30 * time.Second       // an unused cell is removed after this time
	pollIdleTimeout   = 3 * time.Second        // an unused cell is not polled after this time, since polls are not free
	pollLimitShare    = 0.2                    // part of a server's limit that its polls may take
	minPollRate       = 0.02                   // polls per second of a server whose limit is low
)

// dispatcher runs the Core of one cell: it connects the core to the calls of the instances, the clock and the engines.
type dispatcher struct {
	id      ID
	started time.Time
	mu      sync.Mutex
	core    *Core
	limits  *throttle.List
	// limitShare is the part of the servers' limits that this dispatcher may grant.
	limitShare float64
	rules      *rule.Set // rules from which the core's servers come
	cells      int       // number of cells that share the pools
	// followers is the number of instances, this one included, that replied when all were last asked for their holdings and
	// follow no other dispatcher; 0 before the first time. It shows a partition of the fleet at once, unlike probes of a few
	// peers per second.
	followers int

	waiters  map[string]*waiter   // by request key
	nextPoll map[string]time.Time // time of the next poll, by server name
	lastUsed time.Time            // time of the last Place or Debit call
}

// waiter delivers the decision on a request to the instance that waits for it.
type waiter struct {
	decision chan Decision
	lastCall time.Time // last Place call for the request
}

func newDispatcher(id ID, now time.Time, limits *throttle.List) *dispatcher {
	d := &dispatcher{
		id:         id,
		started:    now,
		core:       NewCore(clockStart),
		limits:     limits,
		limitShare: 1,
		waiters:    make(map[string]*waiter),
		nextPoll:   make(map[string]time.Time),
		lastUsed:   now,
	}
	d.core.canRequest = func(s rule.Server) bool { return limits.CanTake(serverKey(s), d.limitShare) }
	d.core.countRequest = func(s rule.Server) { limits.Take(serverKey(s), d.limitShare) }
	return d
}

func serverKey(s rule.Server) upstream.ServerKey {
	return upstream.ServerKey{Server: s.Server, Address: s.At}
}

// coreTime converts a time to the core's clock.
func (d *dispatcher) coreTime(t time.Time) instant { return clockStart.Add(t.Sub(d.started)) }

// refreshServers passes the servers of changed rules to the core. The caller holds d.mu.
func (d *dispatcher) refreshServers(now time.Time, rules *rule.Set) {
	if rules == nil || rules == d.rules {
		return
	}
	d.rules = rules
	decodes := rules.Servers(d.id.Decode)
	n := cellCount(len(decodes))
	d.cells = n
	pool, _ := rules.Pool(d.id.Decode)
	d.core.SetServers(
		d.coreTime(now), serversOfShare(rules.Servers(d.id.Prefill), d.id.Share, n), serversOfShare(decodes, d.id.Share, n),
		pool, tightestTargets(rules, d.id),
	)
}

// tightestTargets returns the tightest targets of the models that use a cell's pools, or else the defaults.
func tightestTargets(rules *rule.Set, id ID) Targets {
	t := Targets{rule.DefaultFirstTokenTarget, rule.DefaultTokenIntervalTarget, rule.DefaultSummaryWait}
	found := false
	for _, m := range rules.Models() {
		if m.Prefill != id.Prefill || m.Decode != id.Decode {
			continue
		}
		if !found {
			t, found = Targets{m.First, m.Between, m.Wait}, true
		}
		t = Targets{min(t.FirstToken, m.First), min(t.TokenInterval, m.Between), min(t.MaxWait, m.Wait)}
	}
	return t
}

// place queues a request, unless it is queued already, and waits up to maxPlaceWait for its decision. It calls wake if
// requests are waiting.
func (d *dispatcher) place(
	ctx context.Context, now func() time.Time, rules *rule.Set, request PlaceRequest, wake func(),
	reachable func() (int, int),
) PlaceReply {
	d.mu.Lock()
	at := now()
	if at.Sub(d.lastUsed) > pollIdleTimeout {
		d.core.limiter = newRateLimiter() // another dispatcher may have granted the rates meanwhile
	}
	d.lastUsed = at
	d.refreshServers(at, rules)
	d.updateShare(reachable)
	w, ok := d.waiters[request.Key]
	if !ok {
		w = &waiter{decision: make(chan Decision, 1)}
		d.waiters[request.Key] = w
	}
	if !ok || request.Stopping {
		d.core.Submit(d.coreTime(at), request)
	}
	w.lastCall = at
	d.decide(at)
	waiting := d.core.QueueLength()
	d.mu.Unlock()
	if waiting > 0 {
		wake()
	}
	timer := time.NewTimer(maxPlaceWait)
	defer timer.Stop()
	select {
	case decision := <-w.decision:
		reply := replyFromDecision(decision, waiting)
		reply.Level = d.level(now(), request.Account)
		return reply
	case <-timer.C:
	case <-ctx.Done():
	}
	return PlaceReply{Status: Waiting, Waiting: waiting}
}

// updateShare sets the parts of the accounts' rates and of the servers' limits that this dispatcher may grant. The caller holds d.mu.
func (d *dispatcher) updateShare(reachable func() (reached, known int)) {
	reached, known := reachable()
	if d.followers > 0 {
		reached = min(reached, d.followers)
	}
	d.core.limiter.setShare(reached, known, d.cells)
	d.limitShare = throttle.Share(reached, known)
}

// level returns the level of an account's bucket.
func (d *dispatcher) level(now time.Time, account string) Level {
	d.mu.Lock()
	defer d.mu.Unlock()
	tokens, ok := d.core.limiter.level(d.coreTime(now), account)
	return Level{ok, tokens}
}

// decide lets the core decide on waiting requests, and delivers the decisions. The caller holds d.mu.
func (d *dispatcher) decide(now time.Time) {
	for _, decision := range d.core.Decide(d.coreTime(now)) {
		w, ok := d.waiters[decision.Key]
		if !ok {
			d.core.Cancel(d.coreTime(now), decision.Key)
			continue
		}
		delete(d.waiters, decision.Key)
		w.decision <- decision
	}
}

func replyFromDecision(d Decision, waiting int) PlaceReply {
	r := PlaceReply{
		Status: Placed, Prefill: d.Prefill, Decode: d.Decode, Early: d.Early, RetryIn: d.RetryIn, Waiting: waiting,
		Inputs: d.Inputs,
	}
	if d.Err != nil {
		r.Reason = d.Err.Error()
	}
	switch {
	case errors.Is(d.Err, ErrShed):
		r.Status = Shed
	case errors.Is(d.Err, ErrOverRate):
		r.Status = OverRate
	case d.Err != nil:
		r.Status = NoServer
	}
	return r
}

// debit charges tokens to client accounts and returns how long each is in debt.
func (d *dispatcher) debit(now time.Time, debits []Debit) []time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastUsed = now
	debts := make([]time.Duration, len(debits))
	for n, debit := range debits {
		debts[n] = d.core.limiter.debit(d.coreTime(now), debit)
	}
	return debts
}

// release releases reservations, cancels requests that are still waiting, and records reports of progress.
func (d *dispatcher) release(now time.Time, released []Released) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range released {
		if p.Imported > 0 && p.Ended == 0 {
			d.core.RecordProgress(d.coreTime(now), p.Key, p.report())
			continue
		}
		if _, waits := d.waiters[p.Key]; waits {
			delete(d.waiters, p.Key)
			d.core.Cancel(d.coreTime(now), p.Key)
			continue
		}
		d.core.Release(d.coreTime(now), p.Key, p.report())
	}
	d.decide(now)
}

// tick cancels requests whose instance has stopped calling, decides on the others, and reports whether requests are
// waiting.
func (d *dispatcher) tick(now time.Time, rules *rule.Set) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshServers(now, rules)
	for key, w := range d.waiters {
		if now.Sub(w.lastCall) > abandonTimeout {
			delete(d.waiters, key)
			d.core.Cancel(d.coreTime(now), key)
		}
	}
	d.decide(now)
	return d.core.QueueLength() > 0
}

// idle reports whether the cell has been unused for cellIdleTimeout and no request is waiting.
func (d *dispatcher) idle(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.lastUsed) > cellIdleTimeout && d.core.QueueLength() == 0
}

// ErrNotPolled means that a server was not polled, since it has reached its limit of requests or is evacuated.
var ErrNotPolled = errors.New("cell: the server is not to be polled at present")

// poll is one poll of a server's state.
type poll struct {
	server     rule.Server
	duty       rule.Duty
	wantsHeld  bool        // also ask for the list of the server's requests
	after      uint64      // sequence number of the newest known cache event
	dispatcher *dispatcher // gets the results
}

// duePolls returns the polls to run now.
func (d *dispatcher) duePolls(now time.Time) []poll {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lastUsed) > pollIdleTimeout {
		return nil
	}
	interval := max(minPollInterval, time.Duration(len(d.core.prefills)+len(d.core.decodes))*pollSpacing)
	var out []poll
	for _, s := range d.core.decodes {
		if d.schedulePoll(now, s.server, interval) {
			out = append(out, poll{server: s.server, duty: rule.Decode, wantsHeld: d.core.needsHeld(s), dispatcher: d})
		}
	}
	for _, s := range d.core.prefills {
		if d.schedulePoll(now, s.server, interval) {
			out = append(out, poll{server: s.server, duty: rule.Prefill, after: s.lastCacheEvent, dispatcher: d})
		}
	}
	return out
}

// schedulePoll reports whether a server is due for a poll, and if so sets the time of the next one. A server that names a
// limit is polled less often, so that the polls take little of it.
func (d *dispatcher) schedulePoll(now time.Time, server rule.Server, interval time.Duration) bool {
	if now.Before(d.nextPoll[server.Server]) || server.State == rule.ServerEvacuated {
		return false
	}
	if rate, limited := d.limits.Rate(serverKey(server)); limited {
		interval = max(interval, seconds(1/max(pollLimitShare*rate, minPollRate)))
	}
	d.nextPoll[server.Server] = now.Add(interval)
	return true
}

// run polls the server and applies its reply to the core.
func (p poll) run(ctx context.Context, engines EngineCalls, now func() time.Time) error {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	apply, err := p.fetch(ctx, engines)
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if errors.Is(err, ErrNotPolled) {
		return err
	}
	if err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.core.RecordPollFailure(d.coreTime(now()), p.server.Server)
		}
		return err
	}
	apply(d.coreTime(now()))
	d.decide(now())
	return nil
}

// fetch calls the server and returns a function that applies its replies to the core. That function's caller
// holds the dispatcher's lock.
func (p poll) fetch(ctx context.Context, engines EngineCalls) (func(instant), error) {
	core, server := p.dispatcher.core, p.server.Server
	if p.duty == rule.Prefill {
		events, err := engines.Events(ctx, p.server.At, p.after)
		return func(now instant) { core.RecordCacheEvents(now, server, events) }, err
	}
	load, err := engines.Load(ctx, p.server.At)
	if err != nil || !p.wantsHeld || engines.Requests == nil {
		return func(now instant) { core.RecordLoad(now, server, load) }, err
	}
	held, err := engines.Requests(ctx, p.server.At, "")
	return func(now instant) {
		core.RecordHeld(now, server, held)
		core.RecordLoad(now, server, load)
	}, err
}
