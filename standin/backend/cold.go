package backend

import (
	"slices"
	"time"
)

// The users' rule on cold servers: in each window, one gets at most coldFactor times what its rate allows and coldSlack requests
// more. Above that it crashes.
const (
	coldWindow = time.Second
	coldFactor = 1.5
	coldSlack  = 5
)

// coldPeriod is a time in which the server takes only a few requests.
type coldPeriod struct {
	rate     float64 // requests per second
	until    time.Time
	requests []time.Time // in the window that ends now
}

// SetCold makes the server cold until a time: it crashes if it gets more requests per second than a cold server takes.
func (s *Server) SetCold(rate float64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold = coldPeriod{rate: rate, until: until}
}

// takesRequest counts a request, and reports whether the server bears it.
func (s *Server) takesRequest(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.cold
	if !now.Before(c.until) {
		return true
	}
	c.requests = append(slices.DeleteFunc(c.requests, func(at time.Time) bool { return now.Sub(at) > coldWindow }), now)
	if float64(len(c.requests)) <= coldFactor*c.rate*coldWindow.Seconds()+coldSlack {
		return true
	}
	s.coldCrashes++
	return false
}

// Entry returns the server's entry in the platform store. The number of starts tells one start from the next.
func (s *Server) Entry(service, address, zone string, starts int64) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"service": service, "address": address, "zone": zone, "slots": s.Slots, "state": "ready", "stage": s.Stage, "born": starts,
		"coldLeftMs": max(time.Until(s.cold.until), 0).Milliseconds(),
	}
}

// ColdCrashes returns how often the server crashed since it got more requests than a cold one takes.
func (s *Server) ColdCrashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coldCrashes
}
