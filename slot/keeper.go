package slot

import (
	"context"
	"errors"
	"sync"
	"time"

	"teaselgate/queue"
	"teaselgate/rule"
)

// RPCName is the name under which the keeper's methods are registered.
const RPCName = "Slot"

// Timing of a keeper.
const (
	firstWait      = 10 * time.Millisecond  // a first Take call without a decision returns Waiting after this time
	pollWait       = 150 * time.Millisecond // a repeated one after this time
	decideInterval = 5 * time.Millisecond   // interval of the decisions while requests are waiting
	abandonTimeout = time.Second            // a waiting request whose instance has not called for this long is cancelled
	idleInterval   = 200 * time.Millisecond // interval at which leases that have ended are looked for
	keeperTTL      = 30 * time.Second       // a service without calls for this long is forgotten
)

// Status is the result of a Take call.
type Status uint8

// Results of a Take call.
const (
	Waiting Status = iota // call again with the same key
	Taken
	Full
	NoServer
	NoRetry
)

// TakeArgs asks the keeper of a service for a slot, and reports attempts that have ended.
type TakeArgs struct {
	Pool    string
	Ask     Ask
	Again   bool // the request waits already
	Reports []Report
}

// TakeReply is the reply to TakeArgs.
type TakeReply struct {
	Status  Status
	Server  string
	RetryIn time.Duration
	Reason  string
}

// ReportArgs reports attempts that have ended, and requests that are cancelled.
type ReportArgs struct {
	Pool    string
	Reports []Report
}

// ReportReply is the reply to ReportArgs.
type ReportReply struct{}

// Keeper runs the cores of the services whose slots this instance shares out. Its exported fields are set before Serve.
type Keeper struct {
	Rules      func() *rule.Set
	RetryShare func() float64 // shared retries for each request
	Now        func() time.Time

	mu    sync.Mutex
	pools map[string]*keptPool
	wake  chan struct{}
	start time.Time
}

// keptPool is a service whose slots are shared out.
type keptPool struct {
	core     *Core
	rules    *rule.Set
	waiters  map[string]*waiter
	lastUsed time.Time
}

type waiter struct {
	decision chan Decision
	lastCall time.Time
}

// NewKeeper returns a keeper without services.
func NewKeeper(rules func() *rule.Set) *Keeper {
	return &Keeper{
		Rules: rules, RetryShare: func() float64 { return 0 }, Now: time.Now,
		pools: make(map[string]*keptPool), wake: make(chan struct{}, 1), start: time.Now().Add(-time.Hour),
	}
}

// instant converts a time to the clock of the cores.
func (k *Keeper) instant(t time.Time) queue.Instant { return queue.Instant(t.Sub(k.start)) }

// pool returns a service with the servers of the rules in force. The caller holds the lock.
func (k *Keeper) pool(name string, now time.Time) *keptPool {
	p, ok := k.pools[name]
	if !ok {
		p = &keptPool{core: NewCore(), waiters: make(map[string]*waiter)}
		k.pools[name] = p
	}
	p.lastUsed = now
	k.refresh(name, p)
	return p
}

func (k *Keeper) refresh(name string, p *keptPool) {
	if rules := k.Rules(); rules != nil && rules != p.rules {
		p.rules = rules
		p.core.RetryShare = k.RetryShare()
		p.core.SetServers(rules.Servers(name))
	}
}

// decide lets the core decide, and delivers the decisions. The caller holds the lock.
func (k *Keeper) decide(p *keptPool, now time.Time) {
	for _, d := range p.core.Decide(k.instant(now)) {
		w, ok := p.waiters[d.Key]
		if !ok {
			p.core.Cancel(d.Key)
			continue
		}
		delete(p.waiters, d.Key)
		w.decision <- d
	}
}

// Take gives a request a slot, or replies that it is waiting.
func (k *Keeper) Take(ctx context.Context, args TakeArgs) TakeReply {
	now := k.Now()
	k.mu.Lock()
	p := k.pool(args.Pool, now)
	k.record(p, now, args.Reports)
	w, ok := p.waiters[args.Ask.Key]
	if !ok {
		w = &waiter{decision: make(chan Decision, 1)}
		p.waiters[args.Ask.Key] = w
		p.core.Submit(k.instant(now), args.Ask)
	}
	w.lastCall = now
	k.decide(p, now)
	waiting := p.core.queue.Len() > 0
	k.mu.Unlock()
	if waiting {
		k.wakeServe()
	}
	limit := firstWait
	if args.Again {
		limit = pollWait
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case d := <-w.decision:
		return replyFromDecision(d)
	case <-timer.C:
	case <-ctx.Done():
	}
	return TakeReply{Status: Waiting}
}

func replyFromDecision(d Decision) TakeReply {
	r := TakeReply{Status: Taken, Server: d.Server, RetryIn: d.RetryIn}
	if d.Err == nil {
		return r
	}
	r.Reason = d.Err.Error()
	switch {
	case errors.Is(d.Err, ErrNoServer):
		r.Status = NoServer
	case errors.Is(d.Err, ErrNoRetry):
		r.Status = NoRetry
	default:
		r.Status = Full
	}
	return r
}

// Report records attempts that have ended.
func (k *Keeper) Report(args ReportArgs) {
	now := k.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	p, ok := k.pools[args.Pool]
	if !ok {
		return
	}
	k.record(p, now, args.Reports)
	k.decide(p, now)
}

// record records reports. The caller holds the lock.
func (k *Keeper) record(p *keptPool, now time.Time, reports []Report) {
	for _, r := range reports {
		if _, waits := p.waiters[r.Key]; waits {
			delete(p.waiters, r.Key)
			p.core.Cancel(r.Key)
			continue
		}
		p.core.Record(k.instant(now), r)
	}
}

func (k *Keeper) wakeServe() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Serve decides while requests are waiting, until the context ends.
func (k *Keeper) Serve(ctx context.Context) error {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.wake:
		case <-timer.C:
		}
		if k.tick() {
			timer.Reset(decideInterval)
		} else {
			timer.Reset(idleInterval)
		}
	}
}

// tick decides for all services, and reports whether requests are waiting.
func (k *Keeper) tick() (waiting bool) {
	now := k.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for name, p := range k.pools {
		if now.Sub(p.lastUsed) > keeperTTL {
			delete(k.pools, name)
			continue
		}
		k.refresh(name, p)
		for key, w := range p.waiters {
			if now.Sub(w.lastCall) > abandonTimeout {
				delete(p.waiters, key)
				p.core.Cancel(key)
			}
		}
		k.decide(p, now)
		waiting = waiting || p.core.queue.Len() > 0
	}
	return waiting
}

// States returns the states of the services, by pool.
func (k *Keeper) States() map[string]State {
	now := k.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[string]State, len(k.pools))
	for name, p := range k.pools {
		out[name] = p.core.State(k.instant(now))
	}
	return out
}

// Receiver serves the RPC methods of a Keeper.
type Receiver struct{ keeper *Keeper }

// Receiver returns the net/rpc receiver to register under RPCName.
func (k *Keeper) Receiver() *Receiver { return &Receiver{k} }

// Take gives a request a slot, or replies that it is waiting.
func (r *Receiver) Take(args TakeArgs, reply *TakeReply) error {
	*reply = r.keeper.Take(context.Background(), args)
	return nil
}

// Report records attempts that have ended.
func (r *Receiver) Report(args ReportArgs, _ *ReportReply) error {
	r.keeper.Report(args)
	return nil
}
