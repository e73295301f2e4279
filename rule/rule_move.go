package rule

// WithServers returns a copy of the set in which each server is replaced. All else is shared.
func (s *Set) WithServers(replace func(Server) Server) *Set {
	changed := *s
	changed.servers = make([]Server, len(s.servers))
	for n, server := range s.servers {
		changed.servers[n] = replace(server)
	}
	return &changed
}

// AllServers returns the servers of all pools.
func (s *Set) AllServers() []Server { return s.servers }
