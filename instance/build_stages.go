package instance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/thejerf/suture/v4"

	"teaselgate/cell"
	"teaselgate/option"
	"teaselgate/order"
	"teaselgate/platform"
)

// stagesCheck is the time between looks for services that have a stager to come or to go.
const stagesCheck = time.Second

// buildStages makes the part that keeps the split between prefill and decode engines balanced.
func (i *Instance) buildStages(supervisor *suture.Supervisor) error {
	if i.Options.Engine.Stages == option.StagesKeep {
		return nil
	}
	supervisor.Add(&stages{instance: i, engines: newEngines(), running: make(map[string]context.CancelFunc)})
	return nil
}

// stages runs a stager for each service with model engines.
type stages struct {
	instance *Instance
	engines  *platform.EngineClient
	running  map[string]context.CancelFunc // by model
	work     sync.WaitGroup
}

// Serve follows the services until the context ends.
func (s *stages) Serve(ctx context.Context) error {
	defer s.work.Wait()
	tick := time.NewTicker(stagesCheck)
	defer tick.Stop()
	for {
		s.follow(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (s *stages) follow(ctx context.Context) {
	rules := s.instance.ruleSet()
	if rules == nil {
		return
	}
	for name := range rules.Models() {
		if _, ok := s.running[name]; ok {
			continue
		}
		own, stop := context.WithCancel(ctx)
		s.running[name] = stop
		stager := s.newStager(name)
		s.work.Go(func() { stager.Run(own) })
	}
	for name, stop := range s.running {
		if _, ok := rules.Model(name); !ok {
			stop()
			delete(s.running, name)
		}
	}
}

func (s *stages) newStager(name string) *order.StageBalancer {
	i := s.instance
	id := func() cell.ID {
		rules := i.ruleSet()
		if rules == nil {
			return cell.ID{}
		}
		m, _ := rules.Model(name)
		return cell.ID{Prefill: m.Prefill, Decode: m.Decode}
	}
	return &order.StageBalancer{
		Service: name,
		Lease: &order.Lease{
			Name: "stage-" + name, Holder: i.owner(), Get: i.platform.Get, Update: i.platform.Update,
			FirstOrderDelay: s.firstWait, NewClaim: uuid.NewString, Now: time.Now,
		},
		IsDispatcher: func() bool { return !i.leaving.Load() && i.placer.Dispatches(id()) },
		Load: func() (order.StageLoad, bool) {
			d, ok := i.placer.Hub.Demand(id())
			return order.StageLoad{Prefill: d.Prefill, Decode: d.Decode, PrefillEngines: d.PrefillServers, DecodeEngines: d.DecodeServers}, ok
		},
		PickEngine: func(decode bool) (order.Candidate, bool) {
			server, ok := i.placer.Hub.LeastLoaded(id(), decode)
			return order.Candidate{Server: server.Server, Address: server.At}, ok
		},
		PausePlacement: func(server string, until time.Time) { i.placer.Hub.PausePlacement(id(), server, until) },
		InStage:        s.shows,
		Order:          s.order,
		Record:         i.events.Record,
		Now:            time.Now,
	}
}

// firstWait is how long a new holder waits where engines don't check fencing numbers: the lease and the time of an
// order of the one before.
func (s *stages) firstWait() time.Duration {
	if s.instance.settings().Engine.Fenced {
		return 0
	}
	return order.UnfencedOrderDelay
}

// shows tells whether an engine's entry shows a stage, and whether there is one.
func (s *stages) shows(server string, decode bool) (shows, exists bool) {
	view := s.instance.registry.Current()
	if view == nil {
		return false, true
	}
	entry, ok := view.Server(server)
	return ok && entry.Stage == stageOf(decode), ok
}

func stageOf(decode bool) platform.Stage {
	if decode {
		return platform.Decode
	}
	return platform.Prefill
}

func (s *stages) order(ctx context.Context, o order.StageOrder) error {
	err := s.engines.Order(ctx, platform.Order{
		Server: o.Server, Address: o.Address, Stage: stageOf(o.Decode), Holder: o.Holder, Fence: o.Fence,
	})
	switch {
	case errors.Is(err, platform.ErrOrderStale):
		return fmt.Errorf("%w: %w", order.ErrStaleFence, err)
	case errors.Is(err, platform.ErrOrderRefused):
		return fmt.Errorf("%w: %w", order.ErrOrderRejected, err)
	default:
		return err
	}
}
