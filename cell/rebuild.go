package cell

import (
	"slices"
	"time"

	"teaselgate/engine"
)

// maxLoadReportWait is how long a new dispatcher that knows the holdings waits for the servers' load reports, which
// show what requests of ended instances still occupy.
const maxLoadReportWait = 200 * time.Millisecond

// readyToPlace reports whether the core may place requests. If the holdings are known, it waits for the load reports of
// all decode servers, up to maxLoadReportWait; otherwise for the request lists of those that are not paused, up to
// maxRebuildTime.
func (c *Core) readyToPlace(now instant) bool {
	if now.Sub(c.started) >= maxRebuildTime {
		return true
	}
	if c.holdingsKnown {
		return now.Sub(c.started) >= maxLoadReportWait ||
			!slices.ContainsFunc(c.decodes, func(d *decodeServer) bool { return !d.loadKnown })
	}
	for _, d := range c.decodes {
		if !d.heldKnown && d.health.usable(now) {
			return false
		}
	}
	return true
}

// RecordHeld records the requests that a decode server holds. Requests that this core did not place keep their slots
// until a later list no longer contains them.
func (c *Core) RecordHeld(now instant, server string, held []engine.Holding) {
	d := c.findDecode(server)
	if d == nil {
		return
	}
	d.advance(now)
	d.heldKnown = true
	listed := make(map[string]bool, len(held))
	for _, h := range held {
		listed[h.Attempt] = true
		if _, ok := c.reservations[h.Attempt]; ok {
			continue
		}
		r := &reservation{
			key: h.Attempt, decode: d, pieces: h.Pieces, maxTokens: unknownOutputTokens, placedAt: now, discovered: true,
		}
		r.deadline = now.Add(reservationGrace)
		d.add(r, 0)
		c.reservations[h.Attempt] = r
	}
	for _, r := range append([]*reservation(nil), d.streams...) {
		if r.discovered && !listed[r.key] {
			c.Release(now, r.key, Report{})
		}
	}
}

// unknownOutputTokens stands for the unknown remaining output of a request found at a server.
const unknownOutputTokens = 1 << 20

// needsHeld reports whether a decode server should be asked for its requests.
func (c *Core) needsHeld(d *decodeServer) bool {
	if c.holdingsKnown {
		return false
	}
	if !d.heldKnown {
		return true
	}
	for _, r := range d.streams {
		if r.discovered {
			return true
		}
	}
	return false
}

// RecordLoad records a load report of a decode server.
func (c *Core) RecordLoad(now instant, server string, l engine.LoadReport) {
	if d := c.findDecode(server); d != nil {
		d.health.recordPoll()
		d.recordLoad(now, l)
	}
}

// RecordCacheEvents records cache events of a prefill server.
func (c *Core) RecordCacheEvents(now instant, server string, events []engine.CacheEvent) {
	for _, p := range c.prefills {
		if p.server.Server == server {
			p.health.recordPoll()
			prefill, _ := c.meanRates()
			p.resetStaleRate(now, prefill)
			c.hints.recordEvents(now, p, events)
		}
	}
}

// RecordPollFailure records that a server did not answer a poll.
func (c *Core) RecordPollFailure(now instant, server string) {
	if d := c.findDecode(server); d != nil {
		d.health.recordPollFailure(now)
	}
	for _, p := range c.prefills {
		if p.server.Server == server {
			p.health.recordPollFailure(now)
		}
	}
}

func (c *Core) findDecode(server string) *decodeServer {
	for _, d := range c.decodes {
		if d.server.Server == server {
			return d
		}
	}
	return nil
}
