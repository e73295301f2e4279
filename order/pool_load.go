package order

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"teaselgate/engine"
	"teaselgate/rule"
)

// Bounds on the mean load of two pools between which an engine may move; 1 is a full server.
const (
	minTargetLoad      = 0.85 // load of the target pool, which needs an engine
	maxSourceLoad      = 0.50 // load of the source pool, which can spare one
	maxSourceLoadAfter = 0.70 // load of the source pool with one engine fewer
)

// Timing and sampling of load measurements.
const (
	imbalanceTime       = 30 * time.Second // time for which an imbalance must last before a role change
	cooldown            = 2 * time.Minute  // shortest time between two role changes in a group
	smoothingTime       = 10 * time.Second // time constant of the moving average of the load
	reportTimeout       = time.Second      // timeout of one measurement of a pool
	maxSampledServers   = 32               // largest number of servers of a pool that are asked in one measurement
	stepsPerMeasurement = 2                // steps of a controller from one measurement to the next
)

// poolLoad is the measured load of a pool.
type poolLoad struct {
	servers  int     // number of live servers
	meanLoad float64 // mean load of the servers: 1 is full, above 1 requests are queued
	valid    bool    // whether at least half of the asked servers reported their load
}

// loadReport is the load that one server reported.
type loadReport struct {
	server rule.Server
	load   float64
	valid  bool
}

// measurePool asks a random sample of a pool's live servers for their load. It returns the load of the pool, and the
// valid reports with the least loaded server first. It modifies the slice of servers.
func measurePool(
	ctx context.Context, servers []rule.Server, load func(context.Context, string) (engine.LoadReport, error),
) (poolLoad, []loadReport) {
	live := slices.DeleteFunc(servers, func(s rule.Server) bool { return s.State != rule.ServerLive })
	reports := make([]loadReport, min(len(live), maxSampledServers))
	for n := range reports {
		swapped := n + rand.IntN(len(live)-n)
		live[n], live[swapped] = live[swapped], live[n]
	}
	ctx, stop := context.WithTimeout(ctx, reportTimeout)
	defer stop()
	var queries sync.WaitGroup
	for n := range reports {
		queries.Go(func() {
			reported, err := load(ctx, live[n].At)
			reports[n] = loadReport{server: live[n], load: serverLoad(reported), valid: err == nil && reported.SlotsMax > 0}
		})
	}
	queries.Wait()
	reports = slices.DeleteFunc(reports, func(r loadReport) bool { return !r.valid })
	p := poolLoad{servers: len(live), valid: len(reports) > 0 && 2*len(reports) >= min(len(live), maxSampledServers)}
	for _, r := range reports {
		p.meanLoad += r.load / float64(len(reports))
	}
	slices.SortFunc(reports, func(a, b loadReport) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.server.Server, b.server.Server))
	})
	return p, reports
}

// serverLoad returns the used share of slots or memory, whichever is greater, plus the queued requests per slot.
func serverLoad(l engine.LoadReport) float64 {
	if l.SlotsMax <= 0 {
		return 0
	}
	utilisation := float64(l.Slots) / float64(l.SlotsMax)
	if l.PiecesMax > 0 {
		utilisation = max(utilisation, float64(l.Pieces)/float64(l.PiecesMax))
	}
	return utilisation + float64(l.QueueDepth)/float64(l.SlotsMax)
}

// canMoveEngine reports whether an engine may move from the source pool to the target pool.
func canMoveEngine(source, target poolLoad) bool {
	if !source.valid || !target.valid || source.servers < 2 {
		return false
	}
	remaining := source.meanLoad * float64(source.servers) / float64(source.servers-1)
	return target.meanLoad >= minTargetLoad && source.meanLoad <= maxSourceLoad && remaining <= maxSourceLoadAfter
}

// trend is the smoothed load of a model's two pools over time.
type trend struct {
	updatedAt       time.Time    // time of the last measurement
	pools           [2]poolLoad  // smoothed load of prefill and of decode
	imbalancedSince [2]time.Time // start of the need to move an engine to decode, and to prefill; zero if none
}

// add smooths a new measurement into the trend.
func (t *trend) add(now time.Time, pools [2]poolLoad) {
	weight := 1.0
	if !t.updatedAt.IsZero() {
		weight = min(now.Sub(t.updatedAt).Seconds()/smoothingTime.Seconds(), 1)
	}
	for n := range pools {
		meanLoad := t.pools[n].meanLoad + weight*(pools[n].meanLoad-t.pools[n].meanLoad)
		if !pools[n].valid {
			meanLoad = t.pools[n].meanLoad
		}
		t.pools[n] = poolLoad{servers: pools[n].servers, meanLoad: meanLoad, valid: pools[n].valid}
	}
	t.updatedAt = now
	t.setImbalance(now, 0, canMoveEngine(t.pools[0], t.pools[1]))
	t.setImbalance(now, 1, canMoveEngine(t.pools[1], t.pools[0]))
}

// setImbalance records whether a direction is imbalanced, and keeps the start of an imbalance that lasts.
func (t *trend) setImbalance(now time.Time, direction int, imbalanced bool) {
	switch {
	case !imbalanced:
		t.imbalancedSince[direction] = time.Time{}
	case t.imbalancedSince[direction].IsZero():
		t.imbalancedSince[direction] = now
	}
}

// dueDirection returns the direction in which an engine should move: 0 for prefill to decode, 1 for decode to prefill,
// -1 for none.
func (t *trend) dueDirection(now time.Time) int {
	for direction, since := range t.imbalancedSince {
		if !since.IsZero() && now.Sub(since) >= imbalanceTime {
			return direction
		}
	}
	return -1
}
