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
	budgetShare = 0.7 // of the share of requests, as requests are not counted alike everywhere
	budgetBurst = 0.6 // of the extra requests, divided among the instances
)

const pruneInterval = time.Second // between looks at idle connections

// buildForward makes the part that passes requests on.
func (i *Instance) buildForward(supervisor *suture.Supervisor) error {
	i.servers = upstream.NewPool()
	i.servers.KeepAliveTimeout, i.servers.RequestID = platform.KeepAliveTimeout, platform.ResponseAttemptID
	i.debits = cell.NewDebitReporter(i.placer)
	i.debits.Record = i.events.Record
	i.budgets = &budgets{instance: i, services: make(map[string]*outcome.RetryBudget)}
	handler := forward.NewHandler()
	handler.Zone = i.Options.Zone
	handler.View = i.registry.Current
	handler.Place = i.placer.Place
	handler.PickServer, handler.ReportServerResult = i.placer.Plain.Pick, i.placer.Plain.RecordResult
	handler.Charge = func(a platform.Account, tokens int64) (time.Time, error) {
		return i.debits.Charge(cell.Debit{Account: a.Name, Tokens: tokens, Rate: a.Rate, Burst: a.Burst})
	}
	handler.RetryBudget = i.budgets.of
	handler.Servers = i.servers
	handler.Engines = newEngines()
	handler.Record = i.events.Record
	handler.ObserveResult = func(kind platform.RouteKind, e forward.RequestResult) { i.metrics.CountResponse(kindName(kind), string(e)) }
	handler.ObserveStage = func(s metric.Stage, took time.Duration) { i.metrics.ObserveStage(s, took) }
	i.handler = handler
	supervisor.Add(i.debits)
	supervisor.Add(&pruner{i.servers})
	return nil
}

func newEngines() *platform.EngineClient {
	transport := &http.Transport{DialContext: socket.NewDialer().DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleReport}
	return &platform.EngineClient{HTTP: &http.Client{Transport: transport}}
}

// idleReport is how long a connection for reports is kept: longer than the time between two reports.
const idleReport = 10 * time.Second

// budgets holds this instance's part of the retry budget of each service.
type budgets struct {
	instance *Instance
	mu       sync.Mutex
	services map[string]*outcome.RetryBudget
}

func (b *budgets) of(service string) *outcome.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, known := b.instance.fleet.CountReachable()
	retry := b.instance.settings().Retry
	share, burst := budgetShare*retry.Share, max(budgetBurst*float64(retry.Extra)/float64(known), 1)
	budget, ok := b.services[service]
	if !ok {
		budget = outcome.NewRetryBudget(share, burst)
		b.services[service] = budget
	}
	budget.SetLimits(share, burst)
	return budget
}

// left returns what is left of each budget.
func (b *budgets) left() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.services))
	for service, budget := range b.services {
		out[service] = budget.Remaining()
	}
	return out
}

// kindName names the kind of a route for the metrics.
func kindName(kind platform.RouteKind) string {
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

// pruner closes idle connections.
type pruner struct{ pool *upstream.Pool }

// Serve closes idle connections until the context ends.
func (p *pruner) Serve(ctx context.Context) error {
	tick := time.NewTicker(pruneInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			p.pool.Prune()
		}
	}
}

// reportPolls asks engines for their reports, in the terms of placement.
func (i *Instance) reportPolls() cell.EngineCalls {
	engines := newEngines()
	return cell.EngineCalls{
		Load: func(ctx context.Context, at string) (engine.LoadReport, error) {
			r, err := engines.Report(ctx, at)
			return engine.LoadReport{Slots: r.Running, QueueDepth: r.Waiting, Pieces: r.KVUsedTokens / registry.BlockTokens}, err
		},
		Events: func(ctx context.Context, at string, _ uint64) ([]engine.CacheEvent, error) {
			_, err := engines.Report(ctx, at)
			return nil, err
		},
	}
}

// forwardedRoute names the route of a path for the metrics; the names are bounded by the configuration.
func (i *Instance) forwardedRoute(path string) string {
	view := i.registry.Current()
	if view == nil {
		return ""
	}
	return view.RouteName(path)
}
