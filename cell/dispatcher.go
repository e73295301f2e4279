package cell

import (
	"context"
	"errors"
	"sync"
	"time"

	"teaselgate/rule"
)

// Timing of a dispatcher.
const (
	askWait      = 250 * time.Millisecond // a Place call answers "waiting" after this time
	stepInterval = 5 * time.Millisecond   // between steps while requests wait
	pollCheck    = 100 * time.Millisecond
	minPoll      = time.Second
	pollSpacing  = 40 * time.Millisecond // a dispatcher polls each server once in this time per server
	cellLife     = 30 * time.Second      // an unused cell is dropped after this time
	pollLife     = 3 * time.Second       // servers are not polled for a cell that is not used any more; each poll is priced
)

// dispatcher gives out the places of one cell.
type dispatcher struct {
	id      ID
	started time.Time
	mu      sync.Mutex
	core    *Core
	set     *rule.Set // that the core's servers are of
	cells   int       // that share the pools
	// answered is the number of instances, this one included, that answered last when all were asked what they hold.
	// It shows at once that a fleet is divided, which probes of a few peers a second show late; 0 before the first time.
	answered int

	waiters map[string]*waiter
	polls   map[string]time.Time // when a server is polled next
	used    time.Time
}

// waiter stands for the instance that waits for a decision.
type waiter struct {
	answer chan Decision
	seen   time.Time
}

func newDispatcher(id ID, now time.Time) *dispatcher {
	return &dispatcher{
		id:      id,
		started: now,
		core:    NewCore(clockStart),
		waiters: make(map[string]*waiter),
		polls:   make(map[string]time.Time),
		used:    now,
	}
}

// clock returns a time on the core's clock.
func (d *dispatcher) clock(t time.Time) instant { return clockStart.Add(t.Sub(d.started)) }

// refresh takes the servers of the rules in force; the caller holds the lock.
func (d *dispatcher) refresh(now time.Time, set *rule.Set) {
	if set == nil || set == d.set {
		return
	}
	d.set = set
	decodes := set.Servers(d.id.Decode)
	n := shares(len(decodes))
	d.cells = n
	pool, _ := set.Pool(d.id.Decode)
	d.core.SetServers(d.clock(now), shareOf(set.Servers(d.id.Prefill), d.id.Share, n), shareOf(decodes, d.id.Share, n), pool, targetsOf(set, d.id))
}

// targetsOf returns the tightest targets of the models that share a cell's pools.
func targetsOf(set *rule.Set, id ID) Targets {
	t := Targets{rule.DefaultFirstTokenTarget, rule.DefaultTokenIntervalTarget, rule.DefaultSummaryWait}
	found := false
	for _, m := range set.Models() {
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

// place queues an ask, or finds it again, and waits a while for the decision.
func (d *dispatcher) place(ctx context.Context, now func() time.Time, set *rule.Set, ask PlaceRequest, nudge func(), heard func() (int, int)) PlaceReply {
	d.mu.Lock()
	at := now()
	if at.Sub(d.used) > pollLife {
		d.core.meters = newMeters() // another one has given the rates out meanwhile
	}
	d.used = at
	d.refresh(at, set)
	hears, known := heard()
	if d.answered > 0 {
		hears = min(hears, d.answered)
	}
	d.core.meters.hear(hears, known, d.cells)
	w, ok := d.waiters[ask.Key]
	if !ok {
		w = &waiter{answer: make(chan Decision, 1)}
		d.waiters[ask.Key] = w
		d.core.Submit(d.clock(at), ask)
	}
	w.seen = at
	d.step(at)
	waiting := d.core.QueueLength()
	d.mu.Unlock()
	if waiting > 0 {
		nudge()
	}
	timer := time.NewTimer(askWait)
	defer timer.Stop()
	select {
	case decision := <-w.answer:
		return replyOf(decision, waiting)
	case <-timer.C:
	case <-ctx.Done():
	}
	return PlaceReply{Status: Waiting, Waiting: waiting}
}

// step runs the core and hands its decisions over; the caller holds the lock.
func (d *dispatcher) step(now time.Time) {
	for _, decision := range d.core.Step(d.clock(now)) {
		w, ok := d.waiters[decision.Key]
		if !ok {
			d.core.Cancel(d.clock(now), decision.Key)
			continue
		}
		delete(d.waiters, decision.Key)
		w.answer <- decision
	}
}

func replyOf(d Decision, waiting int) PlaceReply {
	r := PlaceReply{Status: Placed, Prefill: d.Prefill, Decode: d.Decode, Early: d.Early, RetryIn: d.RetryIn, Waiting: waiting, Inputs: d.Inputs}
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

// debit takes tokens from accounts and tells for how long these are in debt.
func (d *dispatcher) debit(now time.Time, debits []Debit) []time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.used = now
	debts := make([]time.Duration, len(debits))
	for n, debit := range debits {
		debts[n] = d.core.meters.debit(d.clock(now), debit)
	}
	return debts
}

// release takes places back.
func (d *dispatcher) release(now time.Time, places []Released) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range places {
		if p.Imported > 0 && p.Ended == 0 {
			d.core.RecordProgress(d.clock(now), p.Key, p.report())
			continue
		}
		if _, waits := d.waiters[p.Key]; waits {
			delete(d.waiters, p.Key)
			d.core.Cancel(d.clock(now), p.Key)
			continue
		}
		d.core.Release(d.clock(now), p.Key, p.report())
	}
	d.step(now)
}

// tick steps the core and withdraws requests whose instance is gone; it tells whether any wait.
func (d *dispatcher) tick(now time.Time, set *rule.Set) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(now, set)
	for key, w := range d.waiters {
		if now.Sub(w.seen) > withdrawAfter {
			delete(d.waiters, key)
			d.core.Cancel(d.clock(now), key)
		}
	}
	d.step(now)
	return d.core.QueueLength() > 0
}

// idle tells whether the cell has not been used for long and holds nothing.
func (d *dispatcher) idle(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.used) > cellLife && d.core.QueueLength() == 0
}

// poll is one server to ask for its state.
type poll struct {
	server  rule.Server
	duty    rule.Duty
	held    bool   // ask for what it holds
	after   uint64 // newest known cache event
	results *dispatcher
}

// due lists the servers to poll now.
func (d *dispatcher) due(now time.Time) []poll {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.used) > pollLife {
		return nil
	}
	interval := max(minPoll, time.Duration(len(d.core.prefills)+len(d.core.decodes))*pollSpacing)
	var out []poll
	for _, s := range d.core.decodes {
		if d.dueServer(now, s.server.Server, interval) {
			out = append(out, poll{server: s.server, duty: rule.Decode, held: d.core.needsHeld(s), results: d})
		}
	}
	for _, s := range d.core.prefills {
		if d.dueServer(now, s.server.Server, interval) {
			out = append(out, poll{server: s.server, duty: rule.Prefill, after: s.prefixes, results: d})
		}
	}
	return out
}

func (d *dispatcher) dueServer(now time.Time, server string, interval time.Duration) bool {
	if now.Before(d.polls[server]) {
		return false
	}
	d.polls[server] = now.Add(interval)
	return true
}

// run asks the server and takes in what it says.
func (p poll) run(ctx context.Context, polls EngineCalls, now func() time.Time) error {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	take, err := p.ask(ctx, polls)
	d := p.results
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		if ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
			d.core.RecordPollFailure(d.clock(now()), p.server.Server)
		}
		return err
	}
	take(d.clock(now()))
	d.step(now())
	return nil
}

// ask returns what is to be done with the server's answers, under the dispatcher's lock.
func (p poll) ask(ctx context.Context, polls EngineCalls) (func(instant), error) {
	core, server := p.results.core, p.server.Server
	if p.duty == rule.Prefill {
		events, err := polls.Events(ctx, p.server.At, p.after)
		return func(now instant) { core.RecordCacheEvents(now, server, events) }, err
	}
	load, err := polls.Load(ctx, p.server.At)
	if err != nil || !p.held || polls.Requests == nil {
		return func(now instant) { core.Load(now, server, load) }, err
	}
	held, err := polls.Requests(ctx, p.server.At, "")
	return func(now instant) {
		core.Held(now, server, held)
		core.Load(now, server, load)
	}, err
}
