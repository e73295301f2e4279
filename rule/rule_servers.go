package rule

// WithServers returns a copy of the set in which replace has been applied to each server. The copy shares all other
// rules with the set, and its lines keep the old servers.
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
