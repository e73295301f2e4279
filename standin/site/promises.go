package site

import "fmt"

// BrokenPromises lists the promises that did not hold at the backend servers; confirmed names the
// orders that callers saw confirmed, refused those that they were told did not run. It is called
// once no request is in flight.
func (s *Site) BrokenPromises(confirmed, refused []string) []string {
	out := s.brokenOrders(confirmed, refused)
	for _, service := range s.services {
		for _, leak := range service.LeakedHeaders() {
			out = append(out, "a key reached a service in "+leak)
		}
	}
	for _, e := range s.engines {
		for _, leak := range e.LeakedHeaders() {
			out = append(out, "a key reached an engine in "+leak)
		}
		if n := e.UsedPieces(); n > 0 && !s.killed[e.Name] {
			out = append(out, fmt.Sprintf("engine %s still holds %d pieces", e.Name, n))
		}
	}
	return out
}

// brokenOrders compares the runs of each order with what callers were told.
func (s *Site) brokenOrders(confirmed, refused []string) []string {
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
	for _, key := range refused {
		if runs[key] > 0 {
			out = append(out, "order "+key+" ran although its refusal said not-run")
		}
	}
	return out
}

// PrefillTokens returns the prompt tokens that the engines computed or found in their caches.
func (s *Site) PrefillTokens() int {
	total := 0
	for _, e := range s.engines {
		total += e.Counters().PrefillTokens
	}
	return total
}
