package soak

import (
	"context"
	"math/rand/v2"
	"time"
)

// Limits that servers name during a run, and the time that the instances have to learn of them.
const (
	limitedServers  = 3               // servers that name limits at a time, at most
	minLimitLength  = 5 * time.Second // shortest time for which a server names a limit, unless the run ends
	limitLengthSpan = 6 * time.Second
	limitPauseSpan  = 3 * time.Second // longest time between two limits of a server
	contactTime     = 3 * time.Second
)

// limitRates are the limits that servers name, in requests per second.
var limitRates = []float64{0.4, 1, 2.5, 5.8, 12}

// nameLimits lets some servers name limits, one after the other, until the context ends.
func (s *Soak) nameLimits(ctx context.Context, env *environment, n int) {
	random := rand.New(rand.NewPCG(s.Seed, uint64(10+n))) // streams 10 to 89 are for limits
	for ctx.Err() == nil {
		server := env.servers[random.IntN(len(env.servers))]
		length := minLimitLength + time.Duration(random.Int64N(int64(limitLengthSpan)))
		server.backend.SetLimit(limitRates[random.IntN(len(limitRates))])
		wait(ctx, length)
		server.backend.SetLimit(-1)
		wait(ctx, time.Duration(random.Int64N(int64(limitPauseSpan))))
	}
}

// isDisturbed reports whether the instance at an address was restarted or paused at a time or shortly before. The users'
// rule on limits excuses such an instance.
func (e *environment) isDisturbed(address string, at time.Time) bool {
	for n, other := range e.addresses {
		if other == address {
			return e.processes[n].disturbedWithin(at.Add(-contactTime), at)
		}
	}
	return false
}

// checkLimits checks that servers got no more requests than the limits that they named.
func (c *clients) checkLimits(results []result) {
	addresses := make(map[string]string, len(results))
	for _, res := range results {
		addresses[res.id] = res.address
	}
	excused := func(id string, at time.Time) bool { return c.env.isDisturbed(addresses[id], at) }
	for _, b := range c.env.servers {
		for _, violation := range b.backend.LimitViolations(contactTime, excused) {
			c.addViolation("%s", violation)
		}
	}
}
