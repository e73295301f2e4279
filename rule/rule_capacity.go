package rule

import (
	"maps"
	"slices"
)

// PoolCapacity is the number of servers of a pool that get new work, before and after a change of the rules.
type PoolCapacity struct {
	Pool   string
	Before int
	After  int
}

// CompareCapacity returns the capacity of each pool that a change of the rules alters, by the names of the pools.
func CompareCapacity(before, after *Set) []PoolCapacity {
	counts := make(map[string]*PoolCapacity)
	count := func(s *Set, add func(*PoolCapacity)) {
		for _, server := range s.servers {
			if counts[server.Pool] == nil {
				counts[server.Pool] = &PoolCapacity{Pool: server.Pool}
			}
			if server.State == ServerLive {
				add(counts[server.Pool])
			}
		}
	}
	count(before, func(c *PoolCapacity) { c.Before++ })
	count(after, func(c *PoolCapacity) { c.After++ })
	var out []PoolCapacity
	for _, pool := range slices.Sorted(maps.Keys(counts)) {
		if c := counts[pool]; c.Before != c.After {
			out = append(out, *c)
		}
	}
	return out
}

// Evacuated returns the availability zones that are evacuated, by name.
func (s *Set) Evacuated() []string { return slices.Sorted(maps.Keys(s.evacuated)) }
