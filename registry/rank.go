package registry

import (
	"slices"
	"time"

	"teaselgate/platform"
)

// ranksPerAccount is the number of ranks of an account's routes. Priorities from that on count as the lowest.
const ranksPerAccount = 16

// Rank returns the rank of a request among those that wait for the same room; 0 is the most urgent. The account's priority
// goes before the route's.
func Rank(route platform.Route, account platform.Account) int {
	clamp := func(priority int) int { return min(max(priority, 0), ranksPerAccount-1) }
	return clamp(account.Priority)*ranksPerAccount + clamp(route.Priority)
}

// Ordered reports whether the routes to a service differ in priority or in their targets for the first event, so that its
// requests differ in what waiting costs their callers.
func (v *View) Ordered(service string) bool { return v.ordered[service] }

// Targets returns a route's target for the time to the first event and the longest wait of a late request, or zeros if the
// route has no target.
func Targets(route platform.Route) (first, maxWait time.Duration) {
	return route.TargetLatency, time.Duration(float64(route.TargetLatency) * maxWaitFactor)
}

// EnginePriority returns the priority at the engines of a request to a service, and false if the engines need none, since all
// routes to the service have the same rank. The most urgent priority of the routes is the most urgent at the engines.
func (v *View) EnginePriority(service string, route platform.Route) (int, bool) {
	priorities := v.priorities[service]
	n, found := slices.BinarySearch(priorities, route.Priority)
	if len(priorities) < 2 || !found {
		return 0, false
	}
	return min(mostUrgentAtEngines+n, leastUrgentAtEngines), true
}

// Priorities at engines. Requests without one count as 5.
const (
	mostUrgentAtEngines  = 1
	leastUrgentAtEngines = 9
)

// indexRoutes notes for each service the priorities of its routes, and whether they differ in priority or target.
func (v *View) indexRoutes() {
	v.priorities, v.ordered = make(map[string][]int), make(map[string]bool)
	targets := make(map[string]time.Duration)
	for _, r := range v.Configuration.Routes {
		if !r.ForModels {
			continue
		}
		for _, t := range r.Targets {
			if first, known := targets[t.Service]; known && first != r.TargetLatency {
				v.ordered[t.Service] = true
			}
			targets[t.Service] = r.TargetLatency
			if n, found := slices.BinarySearch(v.priorities[t.Service], r.Priority); !found {
				v.priorities[t.Service] = slices.Insert(v.priorities[t.Service], n, r.Priority)
			}
			v.ordered[t.Service] = v.ordered[t.Service] || len(v.priorities[t.Service]) > 1
		}
	}
}
