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

// Times of the work on a group.
const (
	stepInterval    = time.Second
	standbyInterval = 30 * time.Second // at which instances that are not chosen look at a lease
	settleTime      = 4 * time.Second  // in which all instances learn that a server takes no new work
	drainTimeout    = time.Minute
)

// EngineClient are the calls to engines.
type EngineClient struct {
	Order    func(ctx context.Context, at string, m engine.Order) error
	Load     func(ctx context.Context, at string) (engine.LoadReport, error)
	Requests func(ctx context.Context, at, owner string) ([]engine.Holding, error)
}

// GroupController works for one group of pools while it holds the group's lease. Its exported fields are set before Run.
type GroupController struct {
	Group     string
	Lease     *Lease
	Engines   EngineClient
	Rules     func() *rule.Set // as written, without records
	Preferred func() bool      // whether this instance is the one to take the lease first
	Record    func(event.Event)
	Now       func() time.Time

	held    bool
	tryAt   time.Time
	record  GroupRecord
	version uint64
	known   bool // whether record and version are the platform's
	stand   standing
	drained drain
	steps   int       // since the last measurement
	rest    time.Time // no role change before
	trends  map[string]*trend
	skip    map[string]time.Time // servers whose load order failed, until when
}

// standing is what follows from the rules and the record; it is kept until one of them changes.
type standing struct {
	rules   *rule.Set
	version uint64
	set     *rule.Set // with the record applied
	group   Group
	found   bool
}

// drain remembers when this holder began to wait for a server.
type drain struct {
	server string
	since  time.Time
}

// Run works until the context ends, then releases the lease.
func (h *GroupController) Run(ctx context.Context) {
	h.trends = make(map[string]*trend)
	h.skip = make(map[string]time.Time)
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		h.step(ctx)
		select {
		case <-ctx.Done():
			h.release(context.WithoutCancel(ctx))
			return
		case <-tick.C:
		}
	}
}

func (h *GroupController) release(ctx context.Context) {
	if !h.Lease.Held() {
		return
	}
	if err := h.Lease.Release(ctx); err == nil {
		h.note(event.OrderLeaseReleased, "", h.Group)
	}
}

// step renews the lease when it is time, then does the next piece of work.
func (h *GroupController) step(ctx context.Context) {
	if now := h.Now(); !now.Before(h.tryAt) {
		// A failure leaves the old deadline in place, and the next try decides.
		_ = h.Lease.AcquireOrRenew(ctx)
		h.tryAt = now.Add(h.interval())
	}
	h.noteLease()
	if !h.Lease.Held() {
		return
	}
	if !h.known && !h.read(ctx) {
		return
	}
	h.work(ctx)
}

func (h *GroupController) interval() time.Duration {
	if h.Lease.Held() || h.Preferred() {
		return renewInterval
	}
	return standbyInterval
}

func (h *GroupController) noteLease() {
	held := h.Lease.Held()
	switch {
	case held && !h.held:
		h.known, h.drained = false, drain{}
		h.rest = h.Now().Add(cooldown) // the last change may have been just now
		h.note(event.OrderLeaseTaken, "", h.Group)
	case !held && h.held:
		h.note(event.OrderLeaseLost, "", h.Group)
	}
	h.held = held
}

func (h *GroupController) note(code event.Code, server, detail string) {
	h.Record(event.Event{Code: code, Server: server, Detail: detail})
}

// read fetches the group's record.
func (h *GroupController) read(ctx context.Context) bool {
	object, err := h.Lease.Get(ctx, GroupRecordKind, h.Group)
	if errors.Is(err, platform.ErrNotFound) {
		h.record, h.version, h.known = GroupRecord{}, 0, true
		return true
	}
	if err != nil {
		return false
	}
	var record GroupRecord
	if err := json.Unmarshal(object.Data, &record); err != nil {
		h.note(event.OrderFailed, "", fmt.Sprintf("order: unable to decode the record of %s: %v", h.Group, err))
		return false
	}
	h.record, h.version, h.known = record, object.Version, true
	return true
}

// store writes a changed record. After any failure the platform's one is read again before the next step.
func (h *GroupController) store(ctx context.Context, next GroupRecord) bool {
	fence, ok := h.Lease.Fence()
	if !ok {
		return false
	}
	next.Fence = fence
	object, err := h.Lease.Update(ctx, GroupRecordKind, h.Group, h.version, next)
	if err != nil {
		h.known = false
		return false
	}
	h.record, h.version = next, object.Version
	return true
}

// work does one piece: the role change under way, a load, or a look at the pressure.
func (h *GroupController) work(ctx context.Context) {
	rules := h.Rules()
	if h.stand.rules != rules || h.stand.version != h.version {
		if h.prune(ctx, rules) {
			return
		}
		group, found := findGroup(rules, h.Group)
		h.stand = standing{rules, h.version, rules.WithServers(h.record.apply), group, found}
	}
	if !h.stand.found {
		return
	}
	if server, ok := h.record.moving(); ok {
		h.move(ctx, rules, h.stand.group, server)
		return
	}
	if h.loadNext(ctx, h.stand.set, h.stand.group) {
		return
	}
	if h.steps++; h.steps >= measureSteps {
		h.steps = 0
		h.balance(ctx, h.stand.set, h.stand.group)
	}
}

// prune forgets servers at rest whose rule is gone or names another pool; it returns true if there were some.
func (h *GroupController) prune(ctx context.Context, rules *rule.Set) bool {
	next, pruned := h.record.clone(), false
	for name, m := range h.record.Moves {
		if server, ok := findServer(rules, name); m.Step == StepNone && (!ok || server.Pool != m.From) {
			delete(next.Moves, name)
			pruned = true
		}
	}
	for name := range h.record.Loads {
		if _, ok := findServer(rules, name); !ok {
			delete(next.Loads, name)
			pruned = true
		}
	}
	if pruned {
		h.store(ctx, next)
	}
	return pruned
}

// send gives one order. The right is checked again just before, since the process may have been paused.
func (h *GroupController) send(ctx context.Context, server rule.Server, m engine.Order) bool {
	fence, ok := h.Lease.Fence()
	if !ok {
		return false
	}
	m.Fence = fence
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	err := h.Engines.Order(ctx, server.At, m)
	switch {
	case err == nil:
		return true
	case errors.Is(err, engine.ErrStaleFence):
		h.Lease.Abandon()
		h.note(event.OrderStale, server.Server, err.Error())
	default:
		h.note(event.OrderFailed, server.Server, err.Error())
	}
	return false
}
