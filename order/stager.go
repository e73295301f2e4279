package order

import (
	"context"
	"errors"
	"fmt"
	"time"

	"teaselgate/event"
	"teaselgate/platform"
)

// Times of the work on the split between the stages.
const (
	stagerInterval = 500 * time.Millisecond
	tryInterval    = time.Second             // between looks at a lease that another instance holds
	learnTime      = 3 * time.Second         // in which a new holder sees the load before it changes anything
	firstLoadTime  = 1500 * time.Millisecond // the same when load begins: a few answers
	changePause    = 2 * time.Second         // between two orders of a holder
	turnPause      = 12 * time.Second        // before a change back: two changes of stage
	stageSettle    = 250 * time.Millisecond  // in which requests that were placed before reach the engine
	changeTimeout  = 15 * time.Second        // after which an engine that does not show its new stage is asked again
)

var (
	// ErrStaleFence says that an engine knows a newer holder.
	ErrStaleFence = errors.New("order: the engine has seen a higher fencing number")
	// ErrOrderRejected says that an engine did not accept an order.
	ErrOrderRejected = errors.New("order: the engine did not accept the order")
)

// StageOrder changes the stage of an engine.
type StageOrder struct {
	Server  string
	Address string
	Decode  bool // the new stage: decode, or prefill
	Holder  string
	Fence   uint64
}

// Candidate is an engine that may change its stage.
type Candidate struct {
	Server  string
	Address string
}

// StageBalancer keeps the split between prefill and decode engines of one service balanced while it holds the service's lease.
// Its exported fields are set before Run.
type StageBalancer struct {
	Service        string
	Lease          *Lease
	IsDispatcher   func() bool                                   // whether this instance dispatches the service's work
	Load           func() (StageLoad, bool)                      // false if nothing is known
	PickEngine     func(decode bool) (Candidate, bool)           // the engine with the least work that is not in the stage yet
	PausePlacement func(server string, until time.Time)          // lets no new work be placed on an engine
	InStage        func(server string, decode bool) (bool, bool) // whether the engine shows the stage, and whether it still exists
	Order          func(context.Context, StageOrder) error
	Record         func(event.Event)
	Now            func() time.Time

	held     bool
	tryAt    time.Time
	since    time.Time // since when the lease is held
	loaded   time.Time // when there was last no load
	next     time.Time // no order before
	last     StageChange
	lastAt   time.Time
	changing map[string]change
}

// change is an engine that was ordered to change its stage.
type change struct {
	decode bool
	until  time.Time
}

// Run works until the context ends, then releases the lease.
func (s *StageBalancer) Run(ctx context.Context) {
	s.changing = make(map[string]change)
	tick := time.NewTicker(stagerInterval)
	defer tick.Stop()
	for {
		s.step(ctx)
		select {
		case <-ctx.Done():
			if err := s.Lease.Release(context.WithoutCancel(ctx)); err != nil {
				s.note(event.OrderFailed, "", err.Error())
			}
			return
		case <-tick.C:
		}
	}
}

func (s *StageBalancer) step(ctx context.Context) {
	s.tryLease(ctx)
	s.noteLease()
	if !s.Lease.Held() || !s.IsDispatcher() {
		return
	}
	s.forgetChanged()
	load, ok := s.settledLoad()
	if !ok {
		return
	}
	load.ChangingEngines = len(s.changing)
	direction := Balance(load)
	if direction == NoChange || s.last != NoChange && direction != s.last && s.Now().Sub(s.lastAt) < turnPause {
		return
	}
	s.change(ctx, direction == ToDecode, load)
}

// tryLease takes or renews the lease when that is due.
func (s *StageBalancer) tryLease(ctx context.Context) {
	now := s.Now()
	if !s.IsDispatcher() || now.Before(s.tryAt) {
		return
	}
	// A conflict says that another instance has just taken the lease.
	if err := s.Lease.AcquireOrRenew(ctx); err != nil && !errors.Is(err, platform.ErrConflict) {
		s.note(event.OrderFailed, "", err.Error())
	}
	s.tryAt = now.Add(tryInterval)
	if s.Lease.Held() {
		s.tryAt = now.Add(renewInterval)
	}
}

// settledLoad returns the load, false while an order would come too early.
func (s *StageBalancer) settledLoad() (StageLoad, bool) {
	load, ok := s.Load()
	now := s.Now()
	if !ok || load.Prefill+load.Decode == 0 {
		s.loaded = now
		return load, false
	}
	early := now.Before(s.next) || now.Sub(s.since) < learnTime || now.Sub(s.loaded) < firstLoadTime
	return load, !early
}

func (s *StageBalancer) noteLease() {
	held := s.Lease.Held()
	switch {
	case held && !s.held:
		s.since = s.Now()
		s.note(event.OrderLeaseTaken, "", s.Service)
	case !held && s.held:
		s.note(event.OrderLeaseLost, "", s.Service)
	}
	s.held = held
}

// forgetChanged ends the changes of engines that show their new stage, are gone, or took too long.
func (s *StageBalancer) forgetChanged() {
	now := s.Now()
	for server, c := range s.changing {
		shows, exists := s.InStage(server, c.decode)
		switch {
		case shows:
			s.note(event.RoleChanged, server, stageName(c.decode))
		case !exists || now.After(c.until):
			s.note(event.RoleChangeCancelled, server, stageName(c.decode))
		default:
			continue
		}
		delete(s.changing, server)
		s.PausePlacement(server, time.Time{})
	}
}

// change orders one engine to the other stage. The lease's right is checked just before, since the process may have
// been paused.
func (s *StageBalancer) change(ctx context.Context, decode bool, load StageLoad) {
	engine, ok := s.PickEngine(decode)
	if !ok {
		return
	}
	until := s.Now().Add(changeTimeout)
	s.PausePlacement(engine.Server, until)
	timer := time.NewTimer(stageSettle)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	fence, ok := s.Lease.Fence()
	if !ok {
		s.PausePlacement(engine.Server, time.Time{})
		return
	}
	s.note(event.RoleChangeStarted, engine.Server, fmt.Sprintf("to %s; prefill %.1f of %d, decode %.1f of %d",
		stageName(decode), load.Prefill, load.PrefillEngines, load.Decode, load.DecodeEngines))
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	err := s.Order(ctx, StageOrder{Server: engine.Server, Address: engine.Address, Decode: decode, Holder: s.Lease.Holder, Fence: fence})
	s.next = s.Now().Add(changePause)
	switch {
	case errors.Is(err, ErrStaleFence):
		s.Lease.Abandon()
		s.note(event.OrderStale, engine.Server, err.Error())
		s.PausePlacement(engine.Server, time.Time{})
		return
	case errors.Is(err, ErrOrderRejected):
		s.note(event.OrderFailed, engine.Server, err.Error())
		s.PausePlacement(engine.Server, time.Time{})
		return
	case err != nil:
		// The order may be carried out; the engine gets no work until it shows which.
		s.note(event.OrderFailed, engine.Server, err.Error())
	}
	s.changing[engine.Server] = change{decode: decode, until: until}
	s.last, s.lastAt = ToPrefill, s.Now()
	if decode {
		s.last = ToDecode
	}
}

func (s *StageBalancer) note(code event.Code, server, detail string) {
	s.Record(event.Event{Code: code, Server: server, Detail: detail})
}

func stageName(decode bool) string {
	if decode {
		return "decode"
	}
	return "prefill"
}
