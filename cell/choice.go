package cell

import (
	"slices"
	"time"

	"teaselgate/rule"
)

// rejection is why a server is not chosen; empty if it may be.
type rejection string

// The rejections.
const (
	eligible      rejection = ""
	notLive       rejection = "not live"
	elsewhere     rejection = "in another availability zone than the request may use"
	paused        rejection = "paused after failures, or on trial with a request"
	ordersPending rejection = "gets no requests while an order to it is pending"
	failedBefore  rejection = "failed the request before"
	wantsNone     rejection = "wants no requests from this instance"
	atLimit       rejection = "at the limit of requests that it names"
	backlogged    rejection = "still has prompts to compute"
	linkBusy      rejection = "its link would be free too late"
	tooSlow       rejection = "too slow for the length of the answer"
	endsTooLate   rejection = "the longest answer would end after the instance has shut down"
	noRoom        rejection = "no slot or memory free when the prompt is ready"
	roomLater     rejection = "would reject the request: its room is not free yet"
)

// rejectionOf returns why a server may not get a request, regardless of its load. The caller passes in whether the server is usable.
func (c *Core) rejectionOf(now instant, request *PlaceRequest, s rule.Server, usable bool) rejection {
	switch {
	case s.State != rule.ServerLive:
		return notLive
	case !request.allows(s):
		return elsewhere
	case !usable:
		return paused
	case c.placementPaused(now, s.Server):
		return ordersPending
	case slices.Contains(request.Exclude, s.Server):
		return failedBefore
	case slices.Contains(request.Avoid, s.Server):
		return wantsNone
	case !c.canRequest(s):
		return atLimit
	default:
		return eligible
	}
}

// prefillChoice is a prefill server that may get a request.
type prefillChoice struct {
	server *prefillServer
	plan   prefillPlan
	end    instant // predicted end of the transfer, with what is added for another availability zone
	cached int     // prompt tokens that are expected in the server's prefix cache
}

// choosePrefill returns the prefill server at which the transfer of a prompt's KV cache is predicted to end first. Servers in the
// availability zone of the calling instance, which also gets the decode server, are preferred as long as that delays the first
// token little: a transfer between zones takes twice as long and fills the links between them.
func (c *Core) choosePrefill(now instant, request *PlaceRequest) prefillChoice {
	hits := c.hints.find(now, request.Prefixes)
	allPaused := c.allPrefillsPaused(now)
	var best prefillChoice
	for _, p := range c.prefills {
		choice, why := c.weighPrefill(now, request, p, hits, allPaused)
		if why == eligible && (best.server == nil || choice.end.Before(best.end)) {
			best = choice
		}
	}
	return best
}

func (c *Core) allPrefillsPaused(now instant) bool {
	return !slices.ContainsFunc(c.prefills, func(p *prefillServer) bool { return available(now, p.server, p.health) })
}

// weighPrefill returns the plan of a request at a prefill server, or why the server is not chosen.
func (c *Core) weighPrefill(
	now instant, request *PlaceRequest, p *prefillServer, hits []cacheHit, allPaused bool,
) (prefillChoice, rejection) {
	if why := c.rejectionOf(now, request, p.server, p.usable(now) || allPaused); why != eligible {
		return prefillChoice{}, why
	}
	if p.prompts.freeAt.Sub(now) > maxPrefillBacklog {
		return prefillChoice{}, backlogged
	}
	choice := prefillChoice{server: p, cached: min(hitTokens(hits, p), request.PromptTokens)}
	choice.plan = p.plan(now, request.PromptTokens, choice.cached)
	if choice.plan.linkStart.Sub(choice.plan.end) > maxLinkWait {
		return prefillChoice{}, linkBusy
	}
	choice.end = choice.plan.linkEnd
	if p.server.Zone != request.Zone {
		choice.end = choice.end.Add(time.Duration(prefillZoneShare * float64(c.targets.FirstToken)))
	}
	return choice, eligible
}

// usualTokens returns the mean length of the streams placed lately, or 0 before the first.
func (c *Core) usualTokens() float64 { return c.demand.meanTokens }

// decodeChoice is a decode server that may get a request.
type decodeChoice struct {
	server *decodeServer
	free   bool    // it has room now
	slow   bool    // it gets only what others have no room for
	score  float64 // predicted step in seconds, with what is added for a full batch and another availability zone
}

// better reports whether the choice goes before another one.
func (d decodeChoice) better(than decodeChoice) bool {
	switch {
	case than.server == nil:
		return true
	case d.free != than.free:
		return d.free
	case d.slow != than.slow:
		return than.slow
	default:
		return d.score < than.score
	}
}

// chooseDecode returns the decode server with the shortest predicted step among those that have room when the prompt's
// KV cache is ready. Servers that have room now precede those whose room is predicted. An idle server that has never
// had a request is preferred: otherwise a slow server would stay in use while the others are never tried. Of servers whose
// steps differ little the emptier one is preferred: when one fails, fewer streams break. In a strict pool, only servers
// that have room now are chosen. Slow servers are chosen only if no other one has room.
func (c *Core) chooseDecode(now instant, request *PlaceRequest, pieces int, wait time.Duration) *decodeServer {
	allPaused := c.allDecodesPaused(now)
	var best decodeChoice
	for _, d := range c.decodes {
		choice, why := c.weighDecode(now, request, d, pieces, wait, allPaused)
		if why == eligible && choice.better(best) {
			best = choice
		}
	}
	return best.server
}

func (c *Core) allDecodesPaused(now instant) bool {
	return !slices.ContainsFunc(c.decodes, func(d *decodeServer) bool { return available(now, d.server, d.health) })
}

// weighDecode returns what a request would find at a decode server, or why the server is not chosen.
func (c *Core) weighDecode(
	now instant, request *PlaceRequest, d *decodeServer, pieces int, wait time.Duration, allPaused bool,
) (decodeChoice, rejection) {
	if why := c.rejectionOf(now, request, d.server, d.usable(now) || allPaused); why != eligible {
		return decodeChoice{}, why
	}
	choice := decodeChoice{server: d, slow: d.isSlow(now)}
	if choice.slow && !d.mayTakeSlowly(request, c.usualTokens()) {
		return decodeChoice{}, tooSlow
	}
	if !d.endsInTime(now, request, wait) {
		return decodeChoice{}, endsTooLate
	}
	c.advance(now, d)
	fits, free := d.hasRoom(now, pieces, wait)
	if !fits {
		return decodeChoice{}, noRoom
	}
	if c.pool.Strict && !free {
		return decodeChoice{}, roomLater
	}
	choice.free = free
	batch := len(d.streams) + d.currentForeignSlots(now)
	choice.score = d.steps.step(batch+1) * (1 + fullBatchPenalty*float64(batch)/float64(max(d.slots, 1)))
	if batch == 0 && !d.hasServed {
		choice.score = 0
	}
	if d.server.Zone != request.Zone {
		choice.score += decodeZonePenalty.Seconds()
	}
	return choice, eligible
}
