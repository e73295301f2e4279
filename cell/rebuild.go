package cell

import (
	"slices"
	"time"

	"teaselgate/engine"
)

// reportLimit is how long a new dispatcher that knows the places waits for the servers' reports, which show what
// requests of ended instances still hold.
const reportLimit = 200 * time.Millisecond

// ready tells whether the core may place: the servers told what they hold, or took too long.
func (c *Core) ready(now instant) bool {
	if now.Sub(c.started) >= rebuildLimit {
		return true
	}
	if c.complete {
		return now.Sub(c.started) >= reportLimit || !slices.ContainsFunc(c.decodes, func(d *decodeServer) bool { return !d.polled })
	}
	for _, d := range c.decodes {
		if !d.told && d.health.usable(now) {
			return false
		}
	}
	return true
}

// Held takes in what a decode server holds. Requests that this core did not place keep their slots
// until a later list does not name them.
func (c *Core) Held(now instant, server string, held []engine.Holding) {
	d := c.decode(server)
	if d == nil {
		return
	}
	d.advance(now)
	d.told = true
	listed := make(map[string]bool, len(held))
	for _, h := range held {
		listed[h.Attempt] = true
		if _, ok := c.placed[h.Attempt]; ok {
			continue
		}
		r := &reservation{key: h.Attempt, decode: d, pieces: h.Pieces, maxTokens: heldTokens, placed: now, held: true}
		r.deadline = now.Add(placeLife)
		d.add(r, 0)
		c.placed[h.Attempt] = r
	}
	for _, r := range append([]*reservation(nil), d.streams...) {
		if r.held && !listed[r.key] {
			c.Release(now, r.key, Report{})
		}
	}
}

// heldTokens stands for the unknown rest of a request found at a server.
const heldTokens = 1 << 20

// needsHeld tells whether a decode server should list what it holds.
func (c *Core) needsHeld(d *decodeServer) bool {
	if c.complete {
		return false
	}
	if !d.told {
		return true
	}
	for _, r := range d.streams {
		if r.held {
			return true
		}
	}
	return false
}

// Load takes in a load report of a decode server.
func (c *Core) Load(now instant, server string, l engine.LoadReport) {
	if d := c.decode(server); d != nil {
		d.health.polled()
		d.report(now, l)
	}
}

// RecordCacheEvents takes in cache events of a prefill server.
func (c *Core) RecordCacheEvents(now instant, server string, events []engine.CacheEvent) {
	for _, p := range c.prefills {
		if p.server.Server == server {
			p.health.polled()
			prefill, _ := c.rates()
			p.recover(now, prefill)
			c.hints.events(now, p, events)
		}
	}
}

// RecordPollFailure notes a server that did not answer a poll.
func (c *Core) RecordPollFailure(now instant, server string) {
	if d := c.decode(server); d != nil {
		d.health.pollFailed(now)
	}
	for _, p := range c.prefills {
		if p.server.Server == server {
			p.health.pollFailed(now)
		}
	}
}

func (c *Core) decode(server string) *decodeServer {
	for _, d := range c.decodes {
		if d.server.Server == server {
			return d
		}
	}
	return nil
}
