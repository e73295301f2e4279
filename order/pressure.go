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

// Bounds of pressure, in parts of what a pool's servers carry at once.
const (
	pressureHigh = 0.85 // a pool above wants another engine
	pressureLow  = 0.50 // a pool below may give one
	pressureCap  = 0.70 // a pool that gave one must stay below
)

// Times of a role change.
const (
	holdTime       = 30 * time.Second // for which the pressure must last
	cooldown       = 2 * time.Minute  // between two role changes in a group
	smoothingTime  = 10 * time.Second
	reportTimeout  = time.Second
	sampledServers = 32 // of a pool, in each measurement
	measureSteps   = 2  // steps of a holder between two measurements
)

// pressure is the load of a pool.
type pressure struct {
	servers int     // live ones
	mean    float64 // load of a server: 1 is full, more has a queue
	ok      bool    // whether at least half of the asked servers answered
}

// report is one server's load.
type report struct {
	server rule.Server
	load   float64
	ok     bool
}

// measure asks some of a pool's live servers, chosen at random, for their load. It reorders the servers.
func measure(ctx context.Context, servers []rule.Server, load func(context.Context, string) (engine.LoadReport, error)) (pressure, []report) {
	live := slices.DeleteFunc(servers, func(s rule.Server) bool { return s.State != rule.ServerLive })
	reports := make([]report, min(len(live), sampledServers))
	for n := range reports {
		other := n + rand.IntN(len(live)-n)
		live[n], live[other] = live[other], live[n]
	}
	ctx, stop := context.WithTimeout(ctx, reportTimeout)
	defer stop()
	var asking sync.WaitGroup
	for n := range reports {
		asking.Go(func() {
			l, err := load(ctx, live[n].At)
			reports[n] = report{server: live[n], load: loadOf(l), ok: err == nil && l.SlotsMax > 0}
		})
	}
	asking.Wait()
	reports = slices.DeleteFunc(reports, func(r report) bool { return !r.ok })
	p := pressure{servers: len(live), ok: len(reports) > 0 && 2*len(reports) >= min(len(live), sampledServers)}
	for _, r := range reports {
		p.mean += r.load / float64(len(reports))
	}
	slices.SortFunc(reports, func(a, b report) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.server.Server, b.server.Server))
	})
	return p, reports
}

// loadOf is the scarcer of slots and memory, with the queue.
func loadOf(l engine.LoadReport) float64 {
	if l.SlotsMax <= 0 {
		return 0
	}
	used := float64(l.Slots) / float64(l.SlotsMax)
	if l.PiecesMax > 0 {
		used = max(used, float64(l.Pieces)/float64(l.PiecesMax))
	}
	return used + float64(l.QueueDepth)/float64(l.SlotsMax)
}

// allows tells whether a pool may give an engine to another.
func allows(from, to pressure) bool {
	if !from.ok || !to.ok || from.servers < 2 {
		return false
	}
	left := from.mean * float64(from.servers) / float64(from.servers-1)
	return to.mean >= pressureHigh && from.mean <= pressureLow && left <= pressureCap
}

// trend follows the pressure of a model's two pools.
type trend struct {
	at     time.Time
	pools  [2]pressure  // smoothed: prefill, decode
	wanted [2]time.Time // since when an engine should go from prefill to decode, and back; zero if it should not
}

// add takes a measurement in.
func (t *trend) add(now time.Time, pools [2]pressure) {
	weight := 1.0
	if !t.at.IsZero() {
		weight = min(now.Sub(t.at).Seconds()/smoothingTime.Seconds(), 1)
	}
	for n := range pools {
		mean := t.pools[n].mean + weight*(pools[n].mean-t.pools[n].mean)
		if !pools[n].ok {
			mean = t.pools[n].mean
		}
		t.pools[n] = pressure{servers: pools[n].servers, mean: mean, ok: pools[n].ok}
	}
	t.at = now
	t.want(now, 0, allows(t.pools[0], t.pools[1]))
	t.want(now, 1, allows(t.pools[1], t.pools[0]))
}

func (t *trend) want(now time.Time, direction int, wanted bool) {
	switch {
	case !wanted:
		t.wanted[direction] = time.Time{}
	case t.wanted[direction].IsZero():
		t.wanted[direction] = now
	}
}

// due returns the direction in which an engine should go now: 0 from prefill to decode, 1 back, -1 none.
func (t *trend) due(now time.Time) int {
	for direction, since := range t.wanted {
		if !since.IsZero() && now.Sub(since) >= holdTime {
			return direction
		}
	}
	return -1
}
