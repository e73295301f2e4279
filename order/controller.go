package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/platform"
	"teaselgate/rule"
)

// Timing of the work on a group.
const (
	stepInterval    = time.Second     // interval between steps
	propagationTime = 4 * time.Second // time within which all instances know that a server takes no new work
	drainTimeout    = time.Minute     // time after which a drain is cancelled
	// standbyInterval is the interval between lease attempts if not preferred, and the delay after a failed load order.
	standbyInterval = 30 * time.Second
)

// EngineClient makes the calls to engines.
type EngineClient struct {
	Order func(ctx context.Context, address string, order engine.Order) error
	Load  func(ctx context.Context, address string) (engine.LoadReport, error)
	// Requests returns what the attempts of an owner hold at an engine, or those of all owners if owner is empty.
	Requests func(ctx context.Context, address, owner string) ([]engine.Holding, error)
}

// GroupController loads models and changes the roles of engines in one group of pools while it holds the group's lease.
// Its exported fields are set before Run.
type GroupController struct {
	Group     string
	Lease     *Lease
	Engines   EngineClient
	Rules     func() *rule.Set // rules as written, without group records applied
	Preferred func() bool      // reports whether this instance is the first to try for the lease
	Record    func(event.Event)
	Now       func() time.Time

	wasHeld               bool // whether the lease was held at the last step
	nextLeaseAttempt      time.Time
	record                GroupRecord      // record as last read or written
	version               platform.Version // version of record
	recordCurrent         bool             // whether record and version are those of the store
	resolved              resolvedRules
	draining              drainState
	stepsSinceMeasurement int                  // steps since the last load measurement
	cooldownUntil         time.Time            // time before which no role change starts
	trends                map[string]*trend    // by model
	loadRetryAfter        map[string]time.Time // earliest next load order of each server whose last one failed
}

// resolvedRules caches what follows from the rules and the record, until one of them changes.
type resolvedRules struct {
	rules   *rule.Set
	version platform.Version // version of the record
	set     *rule.Set        // rules with the record applied
	group   Group
	found   bool // whether the rules have the group
}

// drainState is the server that this controller drains, and the start of its wait.
type drainState struct {
	server string
	since  time.Time
}

// Run works until the context ends and then releases the lease.
func (c *GroupController) Run(ctx context.Context) {
	c.trends = make(map[string]*trend)
	c.loadRetryAfter = make(map[string]time.Time)
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		c.step(ctx)
		select {
		case <-ctx.Done():
			c.releaseLease(context.WithoutCancel(ctx))
			return
		case <-tick.C:
		}
	}
}

func (c *GroupController) releaseLease(ctx context.Context) {
	if !c.Lease.Held() {
		return
	}
	if err := c.Lease.Release(ctx); err == nil {
		c.recordEvent(event.OrderLeaseReleased, "", c.Group)
	}
}

// step acquires or renews the lease when that is due, and then does the next piece of work as its holder.
func (c *GroupController) step(ctx context.Context) {
	if now := c.Now(); !now.Before(c.nextLeaseAttempt) {
		// A failure leaves the old deadline in place, and the next attempt decides.
		_ = c.Lease.AcquireOrRenew(ctx)
		c.nextLeaseAttempt = now.Add(c.leaseInterval())
	}
	c.recordLeaseChange()
	if !c.Lease.Held() {
		return
	}
	if !c.recordCurrent && !c.readRecord(ctx) {
		return
	}
	c.reconcile(ctx)
}

// leaseInterval returns the time until the next lease attempt.
func (c *GroupController) leaseInterval() time.Duration {
	if c.Lease.Held() || c.Preferred() {
		return renewInterval
	}
	return standbyInterval
}

// recordLeaseChange records when the lease is acquired or lost, and discards state that may have changed under another
// holder.
func (c *GroupController) recordLeaseChange() {
	held := c.Lease.Held()
	switch {
	case held && !c.wasHeld:
		c.recordCurrent, c.draining = false, drainState{}
		c.cooldownUntil = c.Now().Add(cooldown) // the previous holder may just have made a change
		c.recordEvent(event.OrderLeaseTaken, "", c.Group)
	case !held && c.wasHeld:
		c.recordEvent(event.OrderLeaseLost, "", c.Group)
	}
	c.wasHeld = held
}

func (c *GroupController) recordEvent(code event.Code, server, detail string) {
	c.Record(event.Event{Code: code, Server: server, Detail: detail})
}

// readRecord reads the group's record from the store and reports whether that succeeded.
func (c *GroupController) readRecord(ctx context.Context) bool {
	object, err := c.Lease.Get(ctx, GroupRecordKind, c.Group)
	if errors.Is(err, platform.ErrNotFound) {
		c.record, c.version, c.recordCurrent = GroupRecord{}, 0, true
		return true
	}
	if err != nil {
		return false
	}
	var record GroupRecord
	if err := json.Unmarshal(object.Data, &record); err != nil {
		c.recordEvent(event.OrderFailed, "", fmt.Sprintf("order: unable to decode the record of group %s: %v", c.Group, err))
		return false
	}
	c.record, c.version, c.recordCurrent = record, object.Version, true
	return true
}

// storeRecord writes a changed record and reports whether that succeeded. After a failure the next step first reads the
// stored record again.
func (c *GroupController) storeRecord(ctx context.Context, next GroupRecord) bool {
	fence, ok := c.Lease.Fence()
	if !ok {
		return false
	}
	next.Fence = fence
	object, err := c.Lease.Update(ctx, GroupRecordKind, c.Group, c.version, next)
	if err != nil {
		c.recordCurrent = false
		return false
	}
	c.record, c.version = next, object.Version
	return true
}

// reconcile does one piece of work: it prunes the record, advances the role change under way, loads a model, or
// measures the load and starts a role change that is due.
func (c *GroupController) reconcile(ctx context.Context) {
	rules := c.Rules()
	if c.resolved.rules != rules || c.resolved.version != c.version {
		if c.pruneRecord(ctx, rules) {
			return
		}
		group, found := findGroup(rules, c.Group)
		c.resolved = resolvedRules{rules, c.version, rules.WithServers(c.record.apply), group, found}
	}
	if !c.resolved.found {
		return
	}
	if server, ok := c.record.movingServer(); ok {
		c.advanceMove(ctx, rules, c.resolved.group, server)
		return
	}
	if c.loadNextModel(ctx, c.resolved.set, c.resolved.group) {
		return
	}
	if c.stepsSinceMeasurement++; c.stepsSinceMeasurement >= stepsPerMeasurement {
		c.stepsSinceMeasurement = 0
		c.balancePools(ctx, c.resolved.set, c.resolved.group)
	}
}

// pruneRecord removes the loads of servers that no longer have a rule. It also removes the moves of such servers, and
// of those whose rule names another pool, unless their role change is under way. It reports whether it found any.
func (c *GroupController) pruneRecord(ctx context.Context, rules *rule.Set) bool {
	next, pruned := c.record.clone(), false
	for name, m := range c.record.Moves {
		if server, ok := findServer(rules, name); m.Step == StepNone && (!ok || server.Pool != m.From) {
			delete(next.Moves, name)
			pruned = true
		}
	}
	for name := range c.record.Loads {
		if _, ok := findServer(rules, name); !ok {
			delete(next.Loads, name)
			pruned = true
		}
	}
	if pruned {
		c.storeRecord(ctx, next)
	}
	return pruned
}

// sendOrder sends one order and reports whether the engine carried it out. The lease is checked just before, since the
// process may have been paused.
func (c *GroupController) sendOrder(ctx context.Context, server rule.Server, order engine.Order) bool {
	fence, ok := c.Lease.Fence()
	if !ok {
		return false
	}
	order.Fence = fence
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	err := c.Engines.Order(ctx, server.At, order)
	switch {
	case err == nil:
		return true
	case errors.Is(err, engine.ErrStaleFence):
		c.Lease.Abandon()
		c.recordEvent(event.OrderStale, server.Server, err.Error())
	default:
		c.recordEvent(event.OrderFailed, server.Server, err.Error())
	}
	return false
}
