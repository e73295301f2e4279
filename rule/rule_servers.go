package rule

// WithServers returns a copy of the set in which each server is replaced. All else is shared.
func (s *Set) WithServers(replace func(Server) Server) *Set {
	updated := *s
	updated.servers = make([]Server, len(s.servers))
	for i, server := range s.servers {
		updated.servers[i] = replace(server)
	}
	return &updated
}

// AllServers returns the servers of all pools.
func (s *Set) AllServers() []Server { return s.servers }
