package cell

import (
	"math"
	"time"

	"teaselgate/rule"
)

// demandWindow is the time constant of the averages of a cell's load: longer than one stream, shorter than a burst.
const demandWindow = 4 * time.Second

// meanTokensWeight is the weight of a new request in the mean of the expected output tokens.
const meanTokensWeight = 0.02

// Demand is the load of a cell's prefill and decode stages, in numbers of fully busy servers.
type Demand struct {
	Prefill        float64
	Decode         float64
	PrefillServers int // prefill servers that accept requests
	DecodeServers  int // decode servers that accept requests
}

// demand averages the load of a cell's stages. Both stages count a request when it is placed: at the start of a burst
// the memory in use shows less than the burst is going to need, while its prompts arrive at once.
type demand struct {
	prefillSeconds float64 // seconds of prefill work placed, decaying exponentially
	pieceSeconds   float64 // reserved pieces times the seconds of their reservation, decaying exponentially
	meanTokens     float64 // moving average of the output tokens expected of a request
	at             instant
}

// advance decays the averages to now.
func (d *demand) advance(now instant) {
	if !d.at.IsZero() {
		keep := math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
		d.prefillSeconds *= keep
		d.pieceSeconds *= keep
	}
	d.at = now
}

// add adds the work of a placed request whose stream is predicted to take the given time.
func (d *demand) add(now instant, r *reservation, stream time.Duration) {
	d.advance(now)
	if d.meanTokens == 0 {
		d.meanTokens = float64(r.maxTokens)
	}
	d.meanTokens += meanTokensWeight * (float64(r.maxTokens) - d.meanTokens)
	d.prefillSeconds += r.plan.end.Sub(r.plan.start).Seconds()
	d.pieceSeconds += float64(r.pieces) * (r.plan.linkEnd.Sub(now) + stream).Seconds()
}

// Demand returns the load of the cell's stages.
func (c *Core) Demand(now instant) Demand {
	c.demand.advance(now)
	out := Demand{Prefill: c.demand.prefillSeconds / demandWindow.Seconds()}
	if c.pool.Pieces > 0 {
		out.Decode = c.demand.pieceSeconds / demandWindow.Seconds() / float64(c.pool.Pieces)
	}
	for _, p := range c.prefills {
		if p.server.State == rule.ServerLive && !c.placementPaused(now, p.server.Server) {
			out.PrefillServers++
		}
	}
	for _, d := range c.decodes {
		if d.server.State == rule.ServerLive && !c.placementPaused(now, d.server.Server) {
			out.DecodeServers++
		}
	}
	return out
}

// placementPaused reports whether PausePlacement keeps new requests off a server now.
func (c *Core) placementPaused(now instant, server string) bool {
	until, ok := c.placementPausedUntil[server]
	return ok && now.Before(until)
}

// leastLoaded returns the server of a stage with the least work, and whether there is one.
func (c *Core) leastLoaded(now instant, prefill bool) (rule.Server, bool) {
	var best rule.Server
	least := math.Inf(1)
	consider := func(s rule.Server, work float64) {
		if s.State == rule.ServerLive && !c.placementPaused(now, s.Server) && work < least {
			best, least = s, work
		}
	}
	if prefill {
		for _, p := range c.prefills {
			consider(p.server, max(p.prompts.freeAt.Sub(now).Seconds(), 0))
		}
	} else {
		for _, d := range c.decodes {
			consider(d.server, float64(d.usedPieces))
		}
	}
	return best, !math.IsInf(least, 1)
}

// Demand returns the load of a cell's stages, and false if this instance does not run the cell's dispatcher.
func (h *Hub) Demand(id ID) (Demand, bool) {
	d, ok := h.lookup(id)
	if !ok {
		return Demand{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Demand(d.coreTime(h.Now())), true
}

// LeastLoaded returns the server of a cell's stage with the least work, and whether there is one.
func (h *Hub) LeastLoaded(id ID, prefill bool) (rule.Server, bool) {
	d, ok := h.lookup(id)
	if !ok {
		return rule.Server{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.leastLoaded(d.coreTime(h.Now()), prefill)
}

// PausePlacement keeps new requests off a server until a time. A time that has passed ends the pause.
func (h *Hub) PausePlacement(id ID, server string, until time.Time) {
	d, ok := h.lookup(id)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !until.After(h.Now()) {
		delete(d.core.placementPausedUntil, server)
		return
	}
	d.core.placementPausedUntil[server] = d.coreTime(until)
}

func (h *Hub) lookup(id ID) (*dispatcher, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.cells[id]
	return d, ok
}

// Dispatches reports whether this instance is the preferred dispatcher of a cell.
func (p *Placer) Dispatches(id ID) bool {
	ranked := p.rankedDispatchers(id)
	return len(ranked) > 0 && ranked[0].Name == p.Self
}
