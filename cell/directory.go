package cell

import (
	"slices"
	"sync"

	"teaselgate/rule"
)

// directory finds the servers of the rules in force by pool and by name without going through all of
// them for each request: at the largest sites that are 12,000.
type directory struct {
	mu    sync.Mutex
	set   *rule.Set // that the maps are of
	pools map[string][]rule.Server
	names map[string]rule.Server
}

// pool returns the servers of a pool; the caller does not change them.
func (d *directory) pool(set *rule.Set, name string) []rule.Server {
	if set == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh(set)
	servers, ok := d.pools[name]
	if !ok {
		servers = set.Servers(name)
		d.pools[name] = servers
		for _, s := range servers {
			d.names[s.Server] = s
		}
	}
	return servers
}

func (d *directory) refresh(set *rule.Set) {
	if d.set != set {
		d.set = set
		d.pools = make(map[string][]rule.Server)
		d.names = make(map[string]rule.Server)
	}
}

// live returns the servers of a pool that take new work.
func (d *directory) live(set *rule.Set, pool string, exclude []string) []rule.Server {
	servers := d.pool(set, pool)
	out := make([]rule.Server, 0, len(servers))
	for _, s := range servers {
		if s.State == rule.ServerLive && !slices.Contains(exclude, s.Server) {
			out = append(out, s)
		}
	}
	return out
}

// liveServer finds a server of a pool that takes new work.
func (d *directory) liveServer(set *rule.Set, pool, name string) (rule.Server, bool) {
	d.pool(set, pool)
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.names[name]
	return s, ok && s.Pool == pool && s.State == rule.ServerLive
}
