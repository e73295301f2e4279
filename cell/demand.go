package cell

import (
	"math"
	"time"

	"teaselgate/rule"
)

// demandWindow is the time over which the load of a cell is averaged: longer than one answer, shorter than a burst.
const demandWindow = 4 * time.Second

// Demand is what the stages of a cell have to do, in servers that would be fully busy with it.
type Demand struct {
	Prefill        float64
	Decode         float64
	PrefillServers int // servers that take work
	DecodeServers  int
}

// demand averages the work of a core's stages. Both count with the placing of a request: at the beginning of a burst the
// memory in use would show less than the burst will need, while the prompts are there at once.
type demand struct {
	prefill float64 // seconds of prefill work placed, forgotten exponentially
	decode  float64 // pieces times the seconds for which they will be held, the same
	at      instant
}

// advance brings the averages up to now.
func (d *demand) advance(now instant) {
	if !d.at.IsZero() {
		keep := math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
		d.prefill *= keep
		d.decode *= keep
	}
	d.at = now
}

// add takes the work of a request in that was placed.
func (d *demand) add(now instant, r *reservation, stream time.Duration) {
	d.advance(now)
	d.prefill += r.work.end.Sub(r.work.start).Seconds()
	d.decode += float64(r.pieces) * (r.work.linkEnd.Sub(now) + stream).Seconds()
}

// Demand returns what the stages have to do.
func (c *Core) Demand(now instant) Demand {
	c.demand.advance(now)
	out := Demand{Prefill: c.demand.prefill / demandWindow.Seconds()}
	if c.pool.Pieces > 0 {
		out.Decode = c.demand.decode / demandWindow.Seconds() / float64(c.pool.Pieces)
	}
	for _, p := range c.prefills {
		if p.server.State == rule.ServerLive && !c.onHold(now, p.server.Server) {
			out.PrefillServers++
		}
	}
	for _, d := range c.decodes {
		if d.server.State == rule.ServerLive && !c.onHold(now, d.server.Server) {
			out.DecodeServers++
		}
	}
	return out
}

// onHold tells whether a server gets no new work for a while.
func (c *Core) onHold(now instant, server string) bool {
	until, ok := c.holds[server]
	return ok && now.Before(until)
}

// leastLoaded returns the live server of a stage with the least work.
func (c *Core) leastLoaded(now instant, prefill bool) (rule.Server, bool) {
	var best rule.Server
	least := math.Inf(1)
	consider := func(s rule.Server, work float64) {
		if s.State == rule.ServerLive && !c.onHold(now, s.Server) && work < least {
			best, least = s, work
		}
	}
	if prefill {
		for _, p := range c.prefills {
			consider(p.server, max(p.prompts.free.Sub(now).Seconds(), 0))
		}
	} else {
		for _, d := range c.decodes {
			consider(d.server, float64(d.used))
		}
	}
	return best, !math.IsInf(least, 1)
}

// Demand returns what the stages of a cell have to do, false if this instance does not dispatch it.
func (h *Hub) Demand(id ID) (Demand, bool) {
	d, ok := h.known(id)
	if !ok {
		return Demand{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Demand(d.clock(h.Now())), true
}

// LeastLoaded returns the live server of a cell's stage with the least work.
func (h *Hub) LeastLoaded(id ID, prefill bool) (rule.Server, bool) {
	d, ok := h.known(id)
	if !ok {
		return rule.Server{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.leastLoaded(d.clock(h.Now()), prefill)
}

// PausePlacement places nothing on a server until a time; a time that is past ends it.
func (h *Hub) PausePlacement(id ID, server string, until time.Time) {
	d, ok := h.known(id)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !until.After(h.Now()) {
		delete(d.core.holds, server)
		return
	}
	d.core.holds[server] = d.clock(until)
}

func (h *Hub) known(id ID) (*dispatcher, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.cells[id]
	return d, ok
}

// Dispatches tells whether this instance is the one to dispatch a cell.
func (p *Placer) Dispatches(id ID) bool {
	ranked := p.dispatchers(id)
	return len(ranked) > 0 && ranked[0].Name == p.Self
}
