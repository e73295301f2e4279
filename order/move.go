package order

import (
	"context"
	"fmt"
	"slices"

	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/rule"
)

// advanceMove takes the role change of a server one step further.
func (c *GroupController) advanceMove(ctx context.Context, rules *rule.Set, group Group, name string) {
	m := c.record.Moves[name]
	server, ok := findServer(rules, name)
	if !ok || server.Pool != m.From {
		c.finishMove(ctx, name, Move{}, event.RoleChangeCancelled, "the server's rule changed")
		return
	}
	if m.Step == StepDrain {
		c.waitForDrain(ctx, server, m)
		return
	}
	order := engine.Order{Role: poolDuty(rules, m.To)}
	if model, ok := poolModel(group, m.To); ok {
		order.Model, order.Version, order.Adapter = model.Model, model.Version, model.Adapter
	}
	if !c.sendOrder(ctx, server, order) {
		return
	}
	c.finishMove(ctx, name, Move{From: m.From, Pool: m.To}, event.RoleChanged, m.Pool+" to "+m.To)
}

// waitForDrain advances the move once the server holds no requests, and cancels it after drainTimeout. It first
// waits for propagationTime, since other instances may still place work on the server.
func (c *GroupController) waitForDrain(ctx context.Context, server rule.Server, m Move) {
	now := c.Now()
	if c.draining.server != server.Server {
		c.draining = drainState{server.Server, now}
	}
	waited := now.Sub(c.draining.since)
	if waited < propagationTime {
		return
	}
	held, err := c.Engines.Requests(ctx, server.At, "")
	switch {
	case err == nil && len(held) == 0:
		m.Step = StepOrder
		next := c.record.clone()
		next.Moves[server.Server] = m
		c.storeRecord(ctx, next)
	case waited >= drainTimeout:
		c.finishMove(ctx, server.Server, Move{From: m.From, Pool: m.Pool}, event.RoleChangeCancelled,
			"requests are still running")
	}
}

// finishMove ends a role change and stores the final move of the server. If that leaves the server in the pool of its
// rule, the record needs no move and the old one is deleted.
func (c *GroupController) finishMove(ctx context.Context, name string, final Move, code event.Code, detail string) {
	next := c.record.clone()
	next.Moves[name] = final
	if final.Pool == final.From {
		delete(next.Moves, name)
	}
	if !c.storeRecord(ctx, next) {
		return
	}
	c.draining = drainState{}
	c.cooldownUntil = c.Now().Add(cooldown)
	c.trends = make(map[string]*trend)
	c.recordEvent(code, name, detail)
}

// balancePools measures the load of each model's pools and starts at most one role change that is due.
func (c *GroupController) balancePools(ctx context.Context, set *rule.Set, group Group) {
	for _, model := range group.Models {
		if model.Roles == rule.RolesKeep {
			continue
		}
		names := [2]string{model.Prefill, model.Decode}
		var pools [2]poolLoad
		var reports [2][]loadReport
		for n, name := range names {
			pools[n], reports[n] = measurePool(ctx, set.Servers(name), c.Engines.Load)
		}
		t := c.trends[model.Model]
		if t == nil {
			t = &trend{}
			c.trends[model.Model] = t
		}
		now := c.Now()
		t.add(now, pools)
		direction := t.dueDirection(now)
		if direction < 0 || now.Before(c.cooldownUntil) {
			continue
		}
		c.startMove(ctx, reports[direction], names[1-direction], fmt.Sprintf("%s %.2f, %s %.2f",
			names[0], t.pools[0].meanLoad, names[1], t.pools[1].meanLoad))
		return
	}
}

// startMove begins to drain a server: one whose rule names the target pool, or else the least loaded.
func (c *GroupController) startMove(ctx context.Context, reports []loadReport, to, detail string) {
	if len(reports) == 0 {
		return
	}
	chosen := reports[0].server
	for _, r := range reports {
		if c.record.Moves[r.server.Server].From == to {
			chosen = r.server
			break
		}
	}
	m, moved := c.record.Moves[chosen.Server]
	if !moved {
		m = Move{From: chosen.Pool, Pool: chosen.Pool}
	}
	m.To, m.Step = to, StepDrain
	next := c.record.clone()
	next.Moves[chosen.Server] = m
	if c.storeRecord(ctx, next) {
		c.recordEvent(event.RoleChangeStarted, chosen.Server, chosen.Pool+" to "+to+": "+detail)
	}
}

// loadNextModel orders the first live server that lacks the version and adapter of its model's rule to load them, and
// reports whether there was one. It skips servers whose last load order has just failed.
func (c *GroupController) loadNextModel(ctx context.Context, set *rule.Set, group Group) bool {
	now := c.Now()
	for _, pool := range group.Pools {
		model, ok := poolModel(group, pool)
		if !ok || model.Version == "" && model.Adapter == "" {
			continue
		}
		want := model.Model + " " + model.Version + " " + model.Adapter
		for _, server := range set.Servers(pool) {
			if server.State != rule.ServerLive || c.record.Loads[server.Server] == want ||
				now.Before(c.loadRetryAfter[server.Server]) {
				continue
			}
			c.loadModel(ctx, server, model, want)
			return true
		}
	}
	return false
}

// loadModel orders a server to load its model, and records that in the group record. After a failure the server is not
// asked again for standbyInterval.
func (c *GroupController) loadModel(ctx context.Context, server rule.Server, model rule.Model, want string) {
	if _, ok := c.Lease.Fence(); !ok {
		return
	}
	if !c.sendOrder(ctx, server, engine.Order{Model: model.Model, Version: model.Version, Adapter: model.Adapter}) {
		c.loadRetryAfter[server.Server] = c.Now().Add(standbyInterval)
		return
	}
	next := c.record.clone()
	next.Loads[server.Server] = want
	if c.storeRecord(ctx, next) {
		c.recordEvent(event.ModelLoaded, server.Server, want)
	}
}

// poolModel returns the model that a pool's engines serve; of several, the first by name.
func poolModel(group Group, pool string) (rule.Model, bool) {
	n := slices.IndexFunc(group.Models, func(m rule.Model) bool { return m.Prefill == pool || m.Decode == pool })
	if n < 0 {
		return rule.Model{}, false
	}
	return group.Models[n], true
}

// poolDuty returns the duty of a pool, or an empty string if the pool does not exist.
func poolDuty(set *rule.Set, pool string) string {
	p, _ := set.Pool(pool)
	return string(p.Duty)
}

// findServer returns a server by name.
func findServer(set *rule.Set, name string) (rule.Server, bool) {
	servers := set.AllServers()
	n := slices.IndexFunc(servers, func(s rule.Server) bool { return s.Server == name })
	if n < 0 {
		return rule.Server{}, false
	}
	return servers[n], true
}
