package cell

import (
	"slices"
	"sync"

	"teaselgate/rule"
)

// directory indexes the servers of the rules in force by pool and by name, so that a request does not scan all of them:
// the largest sites have 12,000.
type directory struct {
	mu     sync.Mutex
	rules  *rule.Set // rules from which the maps were built
	byPool map[string][]rule.Server
	byName map[string]rule.Server
}

// pool returns the servers of a pool. The caller must not modify the slice.
func (d *directory) pool(rules *rule.Set, name string) []rule.Server {
	if rules == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(rules)
	servers, ok := d.byPool[name]
	if !ok {
		servers = rules.Servers(name)
		d.byPool[name] = servers
		for _, s := range servers {
			d.byName[s.Server] = s
		}
	}
	return servers
}

func (d *directory) refresh(rules *rule.Set) {
	if d.rules != rules {
		d.rules = rules
		d.byPool = make(map[string][]rule.Server)
		d.byName = make(map[string]rule.Server)
	}
}

// live returns the live servers of a pool that are not excluded.
func (d *directory) live(rules *rule.Set, pool string, exclude []string) []rule.Server {
	servers := d.pool(rules, pool)
	out := make([]rule.Server, 0, len(servers))
	for _, s := range servers {
		if s.State == rule.ServerLive && !slices.Contains(exclude, s.Server) {
			out = append(out, s)
		}
	}
	return out
}

// liveServer returns a server of a pool by name, and reports whether it is live.
func (d *directory) liveServer(rules *rule.Set, pool, name string) (rule.Server, bool) {
	d.pool(rules, pool)
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.byName[name]
	return s, ok && s.Pool == pool && s.State == rule.ServerLive
}
