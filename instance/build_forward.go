package instance

import (
	"context"
	"net/http"
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
	"teaselgate/socket"
	"teaselgate/upstream"
)

// Shares of the retry budget of all instances that one instance uses on its own count.
const (
	retryShareFactor = 0.7 // of the share of requests, as requests are not counted alike everywhere
	retryBurstFactor = 0.6 // of the extra requests, divided among the instances
)

const connectionPruneInterval = time.Second // between looks at idle connections

// buildForward makes the part that passes requests on.
func (i *Instance) buildForward(supervisor *suture.Supervisor) error {
	i.connectionPool = upstream.NewPool()
	i.connectionPool.KeepAliveTimeout, i.connectionPool.RequestID = platform.KeepAliveTimeout, platform.ResponseAttemptID
	i.debitReporter = cell.NewDebitReporter(i.placer)
	i.debitReporter.Record = i.events.Record
	i.retryBudgets = &retryBudgets{instance: i, byService: make(map[string]*outcome.RetryBudget)}
	handler := forward.NewHandler()
	handler.Zone = i.Options.Zone
	handler.View = i.registry.Current
	handler.Place = i.placer.Place
	handler.PickServer, handler.ReportServerResult = i.placer.Plain.Pick, i.placer.Plain.RecordResult
	handler.Charge = func(a platform.Account, tokens int64) (time.Time, error) {
		return i.debitReporter.Charge(cell.Debit{Account: a.Name, Tokens: tokens, Rate: a.Rate, Burst: a.Burst})
	}
	handler.RetryBudget = i.retryBudgets.forService
	handler.Servers = i.connectionPool
	handler.Engines = newEngineClient()
	handler.Record = i.events.Record
	handler.ObserveResult = func(kind platform.RouteKind, result forward.RequestResult) {
		i.metrics.CountResponse(routeKindLabel(kind), string(result))
	}
	handler.ObserveStage = func(stage metric.Stage, took time.Duration) { i.metrics.ObserveStage(stage, took) }
	i.handler = handler
	supervisor.Add(i.debitReporter)
	supervisor.Add(&connectionPruner{i.connectionPool})
	return nil
}

func newEngineClient() *platform.EngineClient {
	transport := &http.Transport{DialContext: socket.NewDialer().DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: engineIdleTimeout}
	return &platform.EngineClient{HTTP: &http.Client{Transport: transport}}
}

// engineIdleTimeout is how long a connection for reports is kept: longer than the time between two reports.
const engineIdleTimeout = 10 * time.Second

// retryBudgets holds this instance's part of the retry budget of each service.
type retryBudgets struct {
	instance  *Instance
	mu        sync.Mutex
	byService map[string]*outcome.RetryBudget
}

func (b *retryBudgets) forService(service string) *outcome.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, known := b.instance.fleet.CountReachable()
	retry := b.instance.settings().Retry
	share, burst := retryShareFactor*retry.Share, max(retryBurstFactor*float64(retry.Extra)/float64(known), 1)
	budget, ok := b.byService[service]
	if !ok {
		budget = outcome.NewRetryBudget(share, burst)
		b.byService[service] = budget
	}
	budget.SetLimits(share, burst)
	return budget
}

// remaining returns what is left of each budget.
func (b *retryBudgets) remaining() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.byService))
	for service, budget := range b.byService {
		out[service] = budget.Remaining()
	}
	return out
}

// routeKindLabel names the kind of a route for the metrics.
func routeKindLabel(kind platform.RouteKind) string {
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

// connectionPruner closes idle connections.
type connectionPruner struct{ pool *upstream.Pool }

// Serve closes idle connections until the context ends.
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

// engineReportCalls asks engines for their reports, in the terms of placement.
func (i *Instance) engineReportCalls() cell.EngineCalls {
	engines := newEngineClient()
	return cell.EngineCalls{
		Load: func(ctx context.Context, address string) (engine.LoadReport, error) {
			r, err := engines.Report(ctx, address)
			return engine.LoadReport{Slots: r.Running, QueueDepth: r.Waiting, Pieces: r.KVUsedTokens / registry.BlockTokens}, err
		},
		Events: func(ctx context.Context, address string, _ uint64) ([]engine.CacheEvent, error) {
			_, err := engines.Report(ctx, address)
			return nil, err
		},
	}
}

// storeRouteName names the route of a path for the metrics; the names are bounded by the configuration.
func (i *Instance) storeRouteName(path string) string {
	view := i.registry.Current()
	if view == nil {
		return ""
	}
	return view.RouteName(path)
}
