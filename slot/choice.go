package slot

import (
	"slices"

	"teaselgate/queue"
	"teaselgate/rule"
)

// rejection is why a server is not chosen; empty if it may be.
type rejection string

// The rejections.
const (
	eligible     rejection = ""
	notLive      rejection = "not live"
	failedBefore rejection = "failed the request before, or is at a limit that it names"
	elsewhere    rejection = "in another availability zone than the request may use"
	paused       rejection = "paused after failures, or on trial with a request"
	noSlot       rejection = "no free slot"
	unsound      rejection = "fails more requests than a short wait for another server costs"
)

// rejectionOf returns why a server may not get a request, regardless of its load.
func (a *Ask) rejectionOf(s rule.Server) rejection {
	switch {
	case s.State != rule.ServerLive:
		return notLive
	case slices.Contains(a.Exclude, s.Server):
		return failedBefore
	case len(a.Zones) > 0 && !slices.Contains(a.Zones, s.Zone):
		return elsewhere
	default:
		return eligible
	}
}

func (a *Ask) allows(s rule.Server) bool { return a.rejectionOf(s) == eligible }

// choice holds what the choice among the servers for one request depends on.
type choice struct {
	ask         *Ask
	allPaused   bool    // all servers are paused: they are used all the same, as the fault has probably passed
	leastErrors float64 // share of failed requests at the soundest server
	wait        float64 // seconds until the next slot is free
}

func (c *Core) newChoice(now queue.Instant, a *Ask) choice {
	out := choice{ask: a, allPaused: true, leastErrors: 1, wait: float64(max(c.queue.Len(), 1)) / c.rate(now, a)}
	for _, s := range c.servers {
		if a.allows(s.Server) && s.usable(now) {
			out.allPaused = false
			out.leastErrors = min(out.leastErrors, s.errors.current(timeOf(now)))
		}
	}
	return out
}

// choose returns the server with a free slot at which the request is predicted to be done first, or nil if there is none, or
// none that is worth its failures: a request waits for a sounder server if that takes no longer than a request does, and costs
// its caller less. Longer waits would make more requests late in a burst than the failures cost.
func (c *Core) choose(now queue.Instant, a *Ask) *sharedServer {
	choice := c.newChoice(now, a)
	var best *sharedServer
	bestScore := 0.0
	for _, s := range c.servers {
		score, why := c.weigh(now, choice, s)
		if why == eligible && (best == nil || score < bestScore) {
			best, bestScore = s, score
		}
	}
	return best
}

// weigh returns the predicted cost of a request at a server in seconds, or why the server is not chosen.
func (c *Core) weigh(now queue.Instant, choice choice, s *sharedServer) (score float64, why rejection) {
	if why := choice.ask.rejectionOf(s.Server); why != eligible {
		return 0, why
	}
	if !choice.allPaused && !s.usable(now) {
		return 0, paused
	}
	if !c.hasSlot(s) {
		return 0, noSlot
	}
	latency, capacity := c.latencyOf(s), c.capacity(s)
	excess := max(s.errors.current(timeOf(now))-choice.leastErrors, 0)
	failures := errorCost.Seconds() * excess
	if excess > unsoundShare && choice.wait <= latency && failures > choice.wait+latency {
		return 0, unsound
	}
	score = latency*(1+fullPenalty*float64(s.inUse)/float64(capacity)) + failures
	if s.inUse >= capacity {
		score += latency // the request waits at the server for a slot
	}
	if s.Zone != choice.ask.Zone {
		score += zonePenalty.Seconds()
	}
	return score, eligible
}
