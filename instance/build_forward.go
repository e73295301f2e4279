package instance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"teaselgate/cell"
	"teaselgate/engine"
	"teaselgate/forward"
	"teaselgate/metric"
	"teaselgate/outcome"
	"teaselgate/platform"
	"teaselgate/registry"
	"teaselgate/throttle"
	"teaselgate/upstream"
)

// The retry settings limit all instances together, but each instance enforces its part by its own counts. These factors
// keep the total within the settings, apart from the burst of at least one retry that each instance has.
const (
	retryShareFactor = 0.7 // applied to retry.share, since instances may count requests differently
	// sharedRetryShare is the part of retry.share that the keeper of a service's slots gives out where slots are shared. It is
	// taken from that of the instances.
	sharedRetryShare = 0.4
	retryBurstFactor = 0.6 // applied to retry.extra, which is divided among the instances
)

const connectionPruneInterval = time.Second // between checks for idle connections to close

// buildForward builds the handler that forwards callers' requests.
func (i *Instance) buildForward(supervisor *suture.Supervisor) error {
	i.connectionPool = upstream.NewPool()
	i.connectionPool.KeepAliveTimeout, i.connectionPool.RequestID = platform.KeepAliveTimeout, platform.ResponseAttemptID
	i.debitReporter = cell.NewDebitReporter(i.placer)
	i.debitReporter.Record = i.events.Record
	i.retryBudgets = &retryBudgets{instance: i, byService: make(map[string]*outcome.RetryBudget)}
	handler := forward.NewHandler()
	handler.Zone, handler.Regions = i.Options.Zone, i.Options.RegionOf()
	handler.View, handler.ViewChanged, handler.SettledAt = i.registry.Current, i.registry.Changed, i.registry.SettledAt
	handler.Place = i.placer.Place
	handler.PickServer, handler.UnpickServer, handler.ReportServerResult = i.slots.Pick, i.slots.Unpick, i.slots.Done
	handler.Charge = func(a platform.Account, tokens int64) (time.Time, error) {
		return i.debitReporter.Charge(cell.Debit{Account: a.Name, Tokens: tokens, Rate: a.Rate, Burst: a.Burst})
	}
	handler.RetryBudget = i.retryBudgets.forService
	handler.Servers = i.connectionPool
	handler.Engines = i.newEngineClient()
	handler.Backoff, handler.Observe = i.backoff, i.observeResponse
	handler.Quarantine, handler.Limits, handler.Memory = i.quarantine, i.throttle, i.memory
	handler.Record = i.events.Record
	handler.Shutdown, handler.Accepting = i.shutdownPlan.Load, i.accepting
	handler.ObserveResult = func(kind platform.RouteKind, result forward.RequestResult) {
		i.metrics.CountRequestResult(routeKindTag(kind), string(result))
	}
	handler.ObserveStage = func(stage metric.Stage, took time.Duration) { i.metrics.ObserveStage(stage, took) }
	i.handler = handler
	supervisor.Add(i.debitReporter)
	supervisor.Add(&connectionPruner{i.connectionPool})
	return nil
}

// engineIdleTimeout is how long an idle connection to an engine is kept: longer than the usual time between reports.
const engineIdleTimeout = 10 * time.Second

// retryBudgets holds this instance's part of each service's retry budget.
type retryBudgets struct {
	instance  *Instance
	mu        sync.Mutex
	byService map[string]*outcome.RetryBudget
}

// forService returns the retry budget of a service, with limits from the current settings and number of instances.
func (b *retryBudgets) forService(service string) *outcome.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, known := b.instance.fleet.CountReachable()
	retry := b.instance.settings().Retry
	factor := retryShareFactor
	if b.instance.sharesSlots(service) {
		factor -= sharedRetryShare
	}
	share, burst := factor*retry.Share, max(retryBurstFactor*float64(retry.Extra)/float64(known), 1)
	budget, ok := b.byService[service]
	if !ok {
		budget = outcome.NewRetryBudget(share, burst)
		b.byService[service] = budget
	}
	budget.SetLimits(share, burst)
	return budget
}

// remaining returns the number of retries left in each budget, by service.
func (b *retryBudgets) remaining() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.byService))
	for service, budget := range b.byService {
		out[service] = budget.Remaining()
	}
	return out
}

// routeKindTag returns the value of the metric tag kind for a route.
func routeKindTag(kind platform.RouteKind) string {
	switch kind {
	case platform.Idempotent:
		return "idempotent"
	case platform.NonIdempotent:
		return "once"
	case platform.Streaming:
		return "streaming"
	default:
		return "none"
	}
}

// connectionPruner closes connections that have been idle for too long.
type connectionPruner struct{ pool *upstream.Pool }

// Serve closes idle connections at intervals until the context ends.
func (p *connectionPruner) Serve(ctx context.Context) error {
	ticker := time.NewTicker(connectionPruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			p.pool.Prune()
		}
	}
}

// engineReportCalls returns calls that read engines' platform reports and convert them for the dispatchers. The reports
// contain no cache events, so that Events only checks that the engine responds.
func (i *Instance) engineReportCalls() cell.EngineCalls {
	engines := i.newEngineClient()
	return cell.EngineCalls{
		Load: func(ctx context.Context, address string) (engine.LoadReport, error) {
			r, err := engines.Report(ctx, address)
			err = pollError(err)
			return engine.LoadReport{
				Slots: r.Running, QueueDepth: r.Waiting, Pieces: r.KVUsedTokens / registry.BlockTokens,
			}, err
		},
		Events: func(ctx context.Context, address string, _ uint64) ([]engine.CacheEvent, error) {
			_, err := engines.Report(ctx, address)
			return nil, pollError(err)
		},
	}
}

// pollError returns the error of a report. One that was not asked for, since its engine has reached its limit or is
// evacuated, is not a failure of the engine.
func pollError(err error) error {
	if errors.Is(err, throttle.ErrLimit) || errors.Is(err, errServerEvacuated) {
		return fmt.Errorf("%w: %w", cell.ErrNotPolled, err)
	}
	return err
}

// storeRouteName returns the name of a path's route in the metrics, or "" if there is none. The configuration must come
// from the platform store. Only its routes have names, so that callers can't add names by requesting other paths.
func (i *Instance) storeRouteName(path string) string {
	view := i.registry.Current()
	if view == nil {
		return ""
	}
	return view.RouteName(path)
}
