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

// modelCheckInterval is the time between checks for added and removed models.
const modelCheckInterval = time.Second

// buildStageBalancers builds the service that balances the split between prefill and decode engines.
func (i *Instance) buildStageBalancers(supervisor *suture.Supervisor) error {
	if i.Options.Engine.Stages == option.StagesKeep {
		return nil
	}
	supervisor.Add(&stageBalancers{instance: i, engines: i.newEngineClient(), cancels: make(map[string]context.CancelFunc)})
	return nil
}

// stageBalancers runs a stage balancer for each model.
type stageBalancers struct {
	instance *Instance
	engines  *platform.EngineClient
	cancels  map[string]context.CancelFunc // cancel functions of the running balancers, by model
	running  sync.WaitGroup
}

// Serve starts and stops stage balancers as models are added and removed, until the context ends.
func (s *stageBalancers) Serve(ctx context.Context) error {
	defer s.running.Wait()
	ticker := time.NewTicker(modelCheckInterval)
	defer ticker.Stop()
	for {
		s.update(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// update starts the balancers of new models, and stops those of removed ones.
func (s *stageBalancers) update(ctx context.Context) {
	rules := s.instance.ruleSet()
	if rules == nil {
		return
	}
	for model := range rules.Models() {
		if _, ok := s.cancels[model]; ok {
			continue
		}
		balancerCtx, stop := context.WithCancel(ctx)
		s.cancels[model] = stop
		balancer := s.newBalancer(model)
		s.running.Go(func() { balancer.Run(balancerCtx) })
	}
	for model, stop := range s.cancels {
		if _, ok := rules.Model(model); !ok {
			stop()
			delete(s.cancels, model)
		}
	}
}

func (s *stageBalancers) newBalancer(model string) *order.StageBalancer {
	i := s.instance
	cellID := func() cell.ID {
		rules := i.ruleSet()
		if rules == nil {
			return cell.ID{}
		}
		m, _ := rules.Model(model)
		return cell.ID{Prefill: m.Prefill, Decode: m.Decode}
	}
	return &order.StageBalancer{
		Service: model,
		Lease: &order.Lease{
			Name: "stage-" + model, Holder: i.owner(), Get: i.platform.Get, Update: i.platform.Update,
			FirstOrderDelay: s.firstOrderDelay, NewClaim: uuid.NewString, Era: i.platform.Era, Now: time.Now,
			HoldNow: i.leaseClock.Now,
		},
		IsDispatcher: func() bool { return !i.leaving.Load() && i.placer.Dispatches(cellID()) },
		Load: func() (order.StageLoad, bool) {
			demand, ok := i.placer.Hub.Demand(cellID())
			return order.StageLoad{
				Prefill: demand.Prefill, Decode: demand.Decode,
				PrefillEngines: demand.PrefillServers, DecodeEngines: demand.DecodeServers,
			}, ok
		},
		PickEngine: func(decode bool) (order.Candidate, bool) {
			server, ok := i.placer.Hub.LeastLoaded(cellID(), decode)
			return order.Candidate{Server: server.Server, Address: server.At}, ok
		},
		PausePlacement: func(server string, until time.Time) { i.placer.Hub.PausePlacement(cellID(), server, until) },
		InStage:        s.isInStage,
		Order:          s.sendOrder,
		Record:         i.events.Record,
		Now:            time.Now,
	}
}

// firstOrderDelay returns how long a new lease holder waits before its first order. Where engines don't check fencing
// numbers, the previous holder's lease and any order sent under it must have ended.
func (s *stageBalancers) firstOrderDelay() time.Duration {
	if s.instance.settings().Engine.Fenced {
		return 0
	}
	return order.UnfencedOrderDelay
}

// isInStage reports whether an engine's entry in the platform store shows a stage, and whether the entry exists. The
// entry counts as existing while the instance has read no configuration.
func (s *stageBalancers) isInStage(server string, decode bool) (inStage, exists bool) {
	view := s.instance.registry.Current()
	if view == nil {
		return false, true
	}
	entry, ok := view.Server(server)
	return ok && entry.Stage == engineStage(decode), ok
}

func engineStage(decode bool) platform.Stage {
	if decode {
		return platform.Decode
	}
	return platform.Prefill
}

func (s *stageBalancers) sendOrder(ctx context.Context, request order.StageOrder) error {
	err := s.engines.Order(ctx, platform.Order{
		Server: request.Server, Address: request.Address, Stage: engineStage(request.Decode),
		Holder: request.Holder, Fence: request.Fence, Guard: request.Guard,
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
