package order

import (
	"maps"
	"slices"
	"time"

	"teaselgate/rule"
)

// Group is a set of pools that are linked by shared models, so that engines can move between them. One lease covers the
// group: an engine that changes its pool then gets orders from one holder, whose fencing numbers stay comparable.
type Group struct {
	Name   string       // name of the first of its pools
	Pools  []string     // sorted
	Models []rule.Model // sorted by name
}

// fenced reports whether the engines of all pools reject stale fencing numbers.
func (g Group) fenced(set *rule.Set) bool {
	for _, name := range g.Pools {
		if pool, ok := set.Pool(name); ok && !pool.Fenced {
			return false
		}
	}
	return true
}

// Groups returns the groups of pools, joining the two pools of each model.
func Groups(set *rule.Set) []Group {
	parent := make(map[string]string)
	var root func(string) string
	root = func(pool string) string {
		if p, ok := parent[pool]; ok && p != pool {
			return root(p)
		}
		return pool
	}
	models := slices.Sorted(maps.Keys(set.Models()))
	for _, name := range models {
		m, _ := set.Model(name)
		for _, pool := range []string{m.Prefill, m.Decode} {
			if _, ok := parent[pool]; !ok {
				parent[pool] = pool
			}
		}
		a, b := root(m.Prefill), root(m.Decode)
		parent[max(a, b)] = min(a, b)
	}
	groups := make(map[string]*Group)
	for _, pool := range slices.Sorted(maps.Keys(parent)) {
		name := root(pool)
		if groups[name] == nil {
			groups[name] = &Group{Name: name}
		}
		groups[name].Pools = append(groups[name].Pools, pool)
	}
	for _, name := range models {
		m, _ := set.Model(name)
		g := groups[root(m.Prefill)]
		g.Models = append(g.Models, m)
	}
	out := make([]Group, 0, len(groups))
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		out = append(out, *groups[name])
	}
	return out
}

// findGroup returns a group by name.
func findGroup(set *rule.Set, name string) (Group, bool) {
	for _, g := range Groups(set) {
		if g.Name == name {
			return g, true
		}
	}
	return Group{}, false
}

// FirstOrderDelay returns how long a new holder of a group's lease waits before its first order. Where engines don't
// check fencing numbers, it waits until the previous lease, and any order sent under it, must have ended.
func FirstOrderDelay(set *rule.Set, name string) time.Duration {
	group, ok := findGroup(set, name)
	if ok && group.fenced(set) {
		return 0
	}
	return UnfencedOrderDelay
}

// UnfencedOrderDelay is the longest time from the last renewal of a lease until it, and any order sent under it, has
// ended.
const UnfencedOrderDelay = leaseDuration + orderTimeout
