package rule

import (
	"slices"
	"sync"
)

// Directory indexes the servers of the rules in force by pool and by name, so that a request does not scan all of them:
// the largest sites have 12,000.
type Directory struct {
	mu     sync.Mutex
	rules  *Set // rules from which the maps were built
	byPool map[string][]Server
	byName map[string]Server
}

// Pool returns the servers of a pool. The caller must not modify the slice.
func (d *Directory) Pool(rules *Set, name string) []Server {
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

func (d *Directory) refresh(rules *Set) {
	if d.rules != rules {
		d.rules = rules
		d.byPool = make(map[string][]Server)
		d.byName = make(map[string]Server)
	}
}

// Live returns the live servers of a pool that are not excluded.
func (d *Directory) Live(rules *Set, pool string, exclude []string) []Server {
	servers := d.Pool(rules, pool)
	out := make([]Server, 0, len(servers))
	for _, s := range servers {
		if s.State == ServerLive && !slices.Contains(exclude, s.Server) {
			out = append(out, s)
		}
	}
	return out
}

// LiveServer returns a server of a pool by name, and reports whether it is live.
func (d *Directory) LiveServer(rules *Set, pool, name string) (Server, bool) {
	d.Pool(rules, pool)
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.byName[name]
	return s, ok && s.Pool == pool && s.State == ServerLive
}
