package order

import (
	"context"
	"fmt"
	"slices"

	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/rule"
)

// move carries the role change of a server one step on.
func (h *GroupController) move(ctx context.Context, rules *rule.Set, group Group, name string) {
	m := h.record.Moves[name]
	server, ok := findServer(rules, name)
	if !ok || server.Pool != m.From {
		h.end(ctx, name, Move{}, event.RoleChangeCancelled, "the server's rule changed")
		return
	}
	if m.Step == StepDrain {
		h.drain(ctx, server, m)
		return
	}
	order := engine.Order{Role: dutyOf(rules, m.To)}
	if model, ok := modelOf(group, m.To); ok {
		order.Model, order.Version, order.Adapter = model.Model, model.Version, model.Adapter
	}
	if !h.send(ctx, server, order) {
		return
	}
	h.end(ctx, name, Move{From: m.From, Pool: m.To}, event.RoleChanged, m.Pool+" to "+m.To)
}

// drain waits until the server holds no request.
func (h *GroupController) drain(ctx context.Context, server rule.Server, m Move) {
	now := h.Now()
	if h.drained.server != server.Server {
		h.drained = drain{server.Server, now}
	}
	waited := now.Sub(h.drained.since)
	if waited < settleTime {
		return
	}
	held, err := h.Engines.Requests(ctx, server.At, "")
	switch {
	case err == nil && len(held) == 0:
		m.Step = StepOrder
		next := h.record.clone()
		next.Moves[server.Server] = m
		h.store(ctx, next)
	case waited >= drainTimeout:
		h.end(ctx, server.Server, Move{From: m.From, Pool: m.Pool}, event.RoleChangeCancelled, "requests are still running")
	}
}

// end puts a server to rest: in a pool, or as its rule says.
func (h *GroupController) end(ctx context.Context, name string, at Move, code event.Code, detail string) {
	next := h.record.clone()
	next.Moves[name] = at
	if at.Pool == at.From {
		delete(next.Moves, name)
	}
	if !h.store(ctx, next) {
		return
	}
	h.drained = drain{}
	h.rest = h.Now().Add(cooldown)
	h.trends = make(map[string]*trend)
	h.note(code, name, detail)
}

// balance measures the pressure of each model's pools and starts a role change if one is due.
func (h *GroupController) balance(ctx context.Context, set *rule.Set, group Group) {
	for _, model := range group.Models {
		if model.Roles == rule.RolesKeep {
			continue
		}
		names := [2]string{model.Prefill, model.Decode}
		var pools [2]pressure
		var reports [2][]report
		for n, name := range names {
			pools[n], reports[n] = measure(ctx, set.Servers(name), h.Engines.Load)
		}
		t := h.trends[model.Model]
		if t == nil {
			t = &trend{}
			h.trends[model.Model] = t
		}
		now := h.Now()
		t.add(now, pools)
		direction := t.due(now)
		if direction < 0 || now.Before(h.rest) {
			continue
		}
		h.start(ctx, reports[direction], names[1-direction], fmt.Sprintf("%s %.2f, %s %.2f",
			names[0], t.pools[0].mean, names[1], t.pools[1].mean))
		return
	}
}

// start begins to drain a server: one whose rule names the other pool, else the least loaded.
func (h *GroupController) start(ctx context.Context, reports []report, to, detail string) {
	if len(reports) == 0 {
		return
	}
	chosen := reports[0].server
	for _, r := range reports {
		if h.record.Moves[r.server.Server].From == to {
			chosen = r.server
			break
		}
	}
	m, moved := h.record.Moves[chosen.Server]
	if !moved {
		m = Move{From: chosen.Pool, Pool: chosen.Pool}
	}
	m.To, m.Step = to, StepDrain
	next := h.record.clone()
	next.Moves[chosen.Server] = m
	if h.store(ctx, next) {
		h.note(event.RoleChangeStarted, chosen.Server, chosen.Pool+" to "+to+": "+detail)
	}
}

// loadNext orders one server to load what its model's rule names; it returns false if all have it.
func (h *GroupController) loadNext(ctx context.Context, set *rule.Set, group Group) bool {
	now := h.Now()
	for _, pool := range group.Pools {
		model, ok := modelOf(group, pool)
		if !ok || model.Version == "" && model.Adapter == "" {
			continue
		}
		want := model.Model + " " + model.Version + " " + model.Adapter
		for _, server := range set.Servers(pool) {
			if server.State != rule.ServerLive || h.record.Loads[server.Server] == want || now.Before(h.skip[server.Server]) {
				continue
			}
			h.load(ctx, server, model, want)
			return true
		}
	}
	return false
}

func (h *GroupController) load(ctx context.Context, server rule.Server, model rule.Model, want string) {
	if _, ok := h.Lease.Fence(); !ok {
		return
	}
	if !h.send(ctx, server, engine.Order{Model: model.Model, Version: model.Version, Adapter: model.Adapter}) {
		h.skip[server.Server] = h.Now().Add(standbyInterval)
		return
	}
	next := h.record.clone()
	next.Loads[server.Server] = want
	if h.store(ctx, next) {
		h.note(event.ModelLoaded, server.Server, want)
	}
}

// modelOf returns the model that a pool's engines serve; of several, the first by name.
func modelOf(group Group, pool string) (rule.Model, bool) {
	n := slices.IndexFunc(group.Models, func(m rule.Model) bool { return m.Prefill == pool || m.Decode == pool })
	if n < 0 {
		return rule.Model{}, false
	}
	return group.Models[n], true
}

func dutyOf(set *rule.Set, pool string) string {
	p, _ := set.Pool(pool)
	return string(p.Duty)
}

func findServer(set *rule.Set, name string) (rule.Server, bool) {
	servers := set.AllServers()
	n := slices.IndexFunc(servers, func(s rule.Server) bool { return s.Server == name })
	if n < 0 {
		return rule.Server{}, false
	}
	return servers[n], true
}
