package site

import "fmt"

// Violations compares what the backend servers recorded with what callers were told, and describes each violated
// guarantee: each contradiction, each credential header that reached a backend server, and each engine that still holds
// memory, killed engines excepted. The parameter confirmed lists the keys of orders that callers saw confirmed, and
// rejected the keys of orders that callers were told did not run. No request may be in flight.
func (s *Site) Violations(confirmed, rejected []string) []string {
	out := s.orderViolations(confirmed, rejected)
	for _, service := range s.services {
		for _, header := range service.LeakedHeaders() {
			out = append(out, "a credential header reached a service: "+header)
		}
	}
	for _, e := range s.engines {
		for _, header := range e.LeakedHeaders() {
			out = append(out, "a credential header reached an engine: "+header)
		}
		if n := e.UsedPieces(); n > 0 && !s.killed[e.Name] {
			out = append(out, fmt.Sprintf("engine %s still holds %d pieces", e.Name, n))
		}
	}
	return out
}

// orderViolations describes each order that ran more than once or contradicts what its caller was told.
func (s *Site) orderViolations(confirmed, rejected []string) []string {
	var out []string
	runs := make(map[string]int)
	for _, service := range s.services {
		for key, n := range service.Runs() {
			runs[key] += n
		}
	}
	for key, n := range runs {
		if n > 1 {
			out = append(out, fmt.Sprintf("order %s ran %d times", key, n))
		}
	}
	for _, key := range confirmed {
		if runs[key] == 0 {
			out = append(out, "order "+key+" was confirmed but never ran")
		}
	}
	for _, key := range rejected {
		if runs[key] > 0 {
			out = append(out, "order "+key+" ran although it was rejected as not-run")
		}
	}
	return out
}

// PrefillTokens returns the number of prompt tokens that the engines computed or found in their prefix caches.
func (s *Site) PrefillTokens() int {
	total := 0
	for _, e := range s.engines {
		total += e.Counters().PrefillTokens
	}
	return total
}
