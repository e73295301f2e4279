package backend

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The users' rule on limits: in each window, a server gets at most limitFactor times what its limit allows and limitSlack
// requests more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// namedLimit is a limit that the server names in its answers.
type namedLimit struct {
	rate    float64   // requests per second; below 0 if the server names none
	namedAt time.Time // when the first answer named it; zero before
	endedAt time.Time // when another took its place; zero while it holds
}

// SetLimit has the server name a limit of requests per second in its answers from now on, or none if the rate is negative.
func (s *Server) SetLimit(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.limits); n > 0 {
		s.limits[n-1].endedAt = time.Now()
	}
	s.limits = append(s.limits, namedLimit{rate: rate})
}

// nameLimit adds the limit in force to a response.
func (s *Server) nameLimit(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.limits)
	if n == 0 || s.limits[n-1].rate < 0 {
		return
	}
	if s.limits[n-1].namedAt.IsZero() {
		s.limits[n-1].namedAt = time.Now()
	}
	w.Header().Set(headerLimit, strconv.FormatFloat(s.limits[n-1].rate, 'g', -1, 64))
}

// recordArrival records that a request or a call came in.
func (s *Server) recordArrival(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{time.Now(), r.Method + " " + r.URL.Path, r.Header.Get(headerID)})
}

// arrival is a request or a call that came in.
type arrival struct {
	at   time.Time
	path string // method and path
	id   string // id of the request; empty for calls
}

// ArrivalsSince returns the number of requests and calls that came in from a time on.
func (s *Server) ArrivalsSince(from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.arrivals {
		if !a.at.Before(from) {
			n++
		}
	}
	return n
}

// LimitViolations describes each limit beyond which the server got requests, reports and orders included, later than a
// time after it first named the limit. Requests that excused reports do not count; it may be nil.
func (s *Server) LimitViolations(contact time.Duration, excused func(id string, at time.Time) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, limit := range s.limits {
		if limit.rate < 0 || limit.namedAt.IsZero() {
			continue
		}
		from, to := limit.namedAt.Add(contact), limit.endedAt
		if to.IsZero() {
			to = time.Now()
		}
		inForce := slices.DeleteFunc(slices.Clone(s.arrivals), func(a arrival) bool {
			return a.at.Before(from) || a.at.After(to) || a.id != "" && excused != nil && excused(a.id, a.at)
		})
		allowed := limitFactor*limit.rate*limitWindow.Seconds() + limitSlack
		if worst := fullestWindow(inForce); float64(len(worst)) > allowed {
			out = append(out, fmt.Sprintf("%s named a limit of %g/s and got %d requests in %v, allowed %.0f, from %v on: %s",
				s.ID, limit.rate, len(worst), limitWindow, allowed, worst[0].at.Sub(limit.namedAt), summarize(worst)))
		}
	}
	return out
}

// fullestWindow returns the arrivals in the window with the most of them.
func fullestWindow(arrivals []arrival) []arrival {
	var worst []arrival
	first := 0
	for n, a := range arrivals {
		for a.at.Sub(arrivals[first].at) > limitWindow {
			first++
		}
		if n+1-first > len(worst) {
			worst = arrivals[first : n+1]
		}
	}
	return worst
}

// summarize counts arrivals by method and path.
func summarize(arrivals []arrival) string {
	counts := make(map[string]int)
	for _, a := range arrivals {
		counts[a.path]++
	}
	parts := make([]string, 0, len(counts))
	for path, n := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", n, path))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
