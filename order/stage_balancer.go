package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"teaselgate/event"
	"teaselgate/platform"
)

// Timing of changes of the split between the stages.
const (
	balanceInterval     = 500 * time.Millisecond  // interval between steps
	leaseCheckInterval  = time.Second             // interval between attempts on a lease that another instance holds
	newHolderDelay      = 3 * time.Second         // time for which a new holder observes the load before a change
	newLoadDelay        = 1500 * time.Millisecond // time for which load must last before a change after an idle time
	changeCooldown      = 2 * time.Second         // shortest time between two orders of one holder
	maxFailureCooldown  = 2 * time.Minute         // longest such time after changes without effect
	reversalCooldown    = 12 * time.Second        // shortest time before a reversal: twice the duration of a stage change
	placementSettleTime = 250 * time.Millisecond  // time within which requests placed before the pause reach the engine
	stageChangeTimeout  = 15 * time.Second        // time after which a change without effect is given up
)

var (
	// ErrStaleFence reports that an engine has seen an order of a newer holder.
	ErrStaleFence = errors.New("order: engine has seen a higher fencing number")
	// ErrOrderRejected reports that an engine did not accept an order.
	ErrOrderRejected = errors.New("order: engine rejected the order")
)

// StageOrder is an order to an engine to change its stage.
type StageOrder struct {
	Server  string
	Address string
	Decode  bool // whether the new stage is decode; otherwise prefill
	Holder  string
	Fence   uint64
	Guard   func() bool // reports whether the order may still be sent
}

// Candidate is an engine that may change its stage.
type Candidate struct {
	Server  string
	Address string
}

// StageBalancer balances the numbers of prefill and decode engines of one service while it holds the service's lease.
// Its exported fields are set before Run.
type StageBalancer struct {
	Service string
	Lease   *Lease
	// IsDispatcher reports whether this instance is the dispatcher of the service.
	IsDispatcher func() bool
	// Load returns the load of the service, and whether it is known.
	Load func() (StageLoad, bool)
	// PickEngine returns the least loaded engine that is not yet in the stage, if there is one.
	PickEngine func(decode bool) (Candidate, bool)
	// PausePlacement keeps new work off an engine until a time; the zero time ends the pause.
	PausePlacement func(server string, until time.Time)
	// InStage reports whether the engine shows the stage, and whether it still exists.
	InStage func(server string, decode bool) (bool, bool)
	// Order sends an order. After any error but ErrStaleFence and ErrOrderRejected, the engine may have carried it out.
	Order  func(context.Context, StageOrder) error
	Record func(event.Event)
	Now    func() time.Time

	wasHeld          bool // whether the lease was held at the last step
	nextLeaseAttempt time.Time
	heldSince        time.Time                // start of the current hold of the lease
	lastIdle         time.Time                // last time without load
	cooldownUntil    time.Time                // time before which no order is sent
	failedChanges    int                      // changes without effect since the last one with effect
	lastChange       StageChange              // direction of the last order
	lastChangeAt     time.Time                // time of the last order
	pendingChanges   map[string]pendingChange // by server
}

// pendingChange is an order to change the stage of an engine that does not show the new stage yet.
type pendingChange struct {
	decode   bool      // whether the new stage is decode; otherwise prefill
	deadline time.Time // time after which the change is given up
}

// Run works until the context ends and then releases the lease.
func (b *StageBalancer) Run(ctx context.Context) {
	b.pendingChanges = make(map[string]pendingChange)
	tick := time.NewTicker(balanceInterval)
	defer tick.Stop()
	for {
		b.step(ctx)
		select {
		case <-ctx.Done():
			if err := b.Lease.Release(context.WithoutCancel(ctx)); err != nil {
				b.recordEvent(event.OrderFailed, "", err.Error())
			}
			return
		case <-tick.C:
		}
	}
}

// step maintains the lease and, as its holder, finishes pending changes and orders another if needed.
func (b *StageBalancer) step(ctx context.Context) {
	b.maintainLease(ctx)
	b.recordLeaseChange()
	if !b.Lease.Held() || !b.IsDispatcher() {
		return
	}
	b.finishChanges()
	load, ok := b.settledLoad()
	if !ok {
		return
	}
	load.ChangingEngines = len(b.pendingChanges)
	direction := Balance(load)
	if direction == NoChange ||
		b.lastChange != NoChange && direction != b.lastChange && b.Now().Sub(b.lastChangeAt) < reversalCooldown {
		return
	}
	b.changeStage(ctx, direction == ToDecode, load)
}

// maintainLease acquires or renews the lease when that is due and this instance is the dispatcher.
func (b *StageBalancer) maintainLease(ctx context.Context) {
	now := b.Now()
	if !b.IsDispatcher() || now.Before(b.nextLeaseAttempt) {
		return
	}
	// A conflict means that another instance has just acquired the lease.
	if err := b.Lease.AcquireOrRenew(ctx); err != nil && !errors.Is(err, platform.ErrConflict) {
		b.recordEvent(event.OrderFailed, "", err.Error())
	}
	b.nextLeaseAttempt = now.Add(leaseCheckInterval)
	if b.Lease.Held() {
		b.nextLeaseAttempt = now.Add(renewInterval)
	}
}

// settledLoad returns the load, and whether it has lasted long enough for an order.
func (b *StageBalancer) settledLoad() (StageLoad, bool) {
	load, ok := b.Load()
	now := b.Now()
	if !ok || load.Prefill+load.Decode == 0 {
		b.lastIdle = now
		return load, false
	}
	tooEarly := now.Before(b.cooldownUntil) || now.Sub(b.heldSince) < newHolderDelay || now.Sub(b.lastIdle) < newLoadDelay
	return load, !tooEarly
}

// recordLeaseChange records when the lease is acquired or lost.
func (b *StageBalancer) recordLeaseChange() {
	held := b.Lease.Held()
	switch {
	case held && !b.wasHeld:
		b.heldSince = b.Now()
		b.recordEvent(event.OrderLeaseTaken, "", b.Service)
	case !held && b.wasHeld:
		b.recordEvent(event.OrderLeaseLost, "", b.Service)
	}
	b.wasHeld = held
}

// finishChanges ends the changes of engines that show their new stage, no longer exist, or took too long.
func (b *StageBalancer) finishChanges() {
	now := b.Now()
	for server, c := range b.pendingChanges {
		inStage, exists := b.InStage(server, c.decode)
		switch {
		case inStage:
			b.recordEvent(event.RoleChanged, server, stageName(c.decode))
			b.failedChanges = 0
		case !exists || now.After(c.deadline):
			b.recordEvent(event.RoleChangeCancelled, server, stageName(c.decode))
			b.delayAfterFailure(now)
		default:
			continue
		}
		delete(b.pendingChanges, server)
		b.PausePlacement(server, time.Time{})
	}
}

// delayAfterFailure delays the next order, longer with each change without effect: orders may end the engines that get them.
func (b *StageBalancer) delayAfterFailure(now time.Time) {
	b.failedChanges++
	cooldown := min(changeCooldown<<min(b.failedChanges, 8), maxFailureCooldown)
	if until := now.Add(cooldown); until.After(b.cooldownUntil) {
		b.cooldownUntil = until
	}
}

// changeStage pauses placement on one engine, waits until requests placed before have reached it, and orders it to
// change its stage. The lease is checked just before the order, since the process may have been paused.
func (b *StageBalancer) changeStage(ctx context.Context, decode bool, load StageLoad) {
	engine, ok := b.PickEngine(decode)
	if !ok {
		return
	}
	deadline := b.Now().Add(stageChangeTimeout)
	b.PausePlacement(engine.Server, deadline)
	timer := time.NewTimer(placementSettleTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	fence, ok := b.Lease.Fence()
	if !ok {
		b.PausePlacement(engine.Server, time.Time{})
		return
	}
	b.recordEvent(event.RoleChangeStarted, engine.Server, fmt.Sprintf("to %s; prefill %.1f of %d, decode %.1f of %d",
		stageName(decode), load.Prefill, load.PrefillEngines, load.Decode, load.DecodeEngines))
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	err := b.Order(ctx, StageOrder{
		Server: engine.Server, Address: engine.Address, Decode: decode, Holder: b.Lease.Holder, Fence: fence,
		Guard: b.Lease.Guard(),
	})
	b.cooldownUntil = b.Now().Add(changeCooldown)
	switch {
	case errors.Is(err, ErrStaleFence):
		b.Lease.Abandon()
		b.recordEvent(event.OrderStale, engine.Server, err.Error())
		b.PausePlacement(engine.Server, time.Time{})
		return
	case errors.Is(err, ErrOrderRejected):
		b.recordEvent(event.OrderFailed, engine.Server, err.Error())
		b.PausePlacement(engine.Server, time.Time{})
		return
	case err != nil:
		// The engine may have carried out the order, so it gets no work until it shows its stage.
		b.recordEvent(event.OrderFailed, engine.Server, err.Error())
	}
	b.pendingChanges[engine.Server] = pendingChange{decode: decode, deadline: deadline}
	b.lastChange, b.lastChangeAt = ToPrefill, b.Now()
	if decode {
		b.lastChange = ToDecode
	}
}

func (b *StageBalancer) recordEvent(code event.Code, server, detail string) {
	b.Record(event.Event{Code: code, Server: server, Detail: detail})
}

func stageName(decode bool) string {
	if decode {
		return "decode"
	}
	return "prefill"
}
