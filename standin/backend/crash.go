package backend

import (
	"net/http"
	"slices"
	"strings"
	"time"
)

// isDeadly reports whether one of the parts of a prompt crashes the engine. The last part belongs to the request itself
// and never does.
func (s *Server) isDeadly(r *http.Request) bool {
	parts := strings.Split(r.Header.Get(headerPrefix), ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool {
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		return slices.Contains(s.DeadlyParts, id)
	})
}

// DeadlyRequest describes requests that crash a server that runs them. A plain service never answers them, and an engine
// serves them until it crashes.
type DeadlyRequest struct {
	Text    string        // in the path or the body
	After   time.Duration // time from the beginning of the run to the crash, also if the caller has gone meanwhile
	Prefill bool          // whether prefills crash; otherwise plain requests and decodes do
}

// findDeadly returns the description of a request that crashes the server, or nil.
func (s *Server) findDeadly(received ReceivedRequest) *DeadlyRequest {
	for n, d := range s.DeadlyRequests {
		if d.Prefill == received.Prefill && strings.Contains(received.Path+" "+received.Body, d.Text) {
			return &s.DeadlyRequests[n]
		}
	}
	return nil
}

// scheduleCrash has a deadly request crash the server later, unless the server has crashed by then.
func (s *Server) scheduleCrash(received ReceivedRequest) {
	d := s.findDeadly(received)
	if d == nil {
		return
	}
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	time.AfterFunc(d.After, func() {
		select {
		case <-crashed:
		default:
			s.crash(received.Path)
		}
	})
}

// crash ends all running requests, as one with the given path crashes the server. It refuses connections until it is back.
func (s *Server) crash(path string) {
	s.mu.Lock()
	s.crashes = append(s.crashes, time.Now())
	s.crashPaths = append(s.crashPaths, path)
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.mu.Unlock()
	if s.OnCrash != nil {
		s.OnCrash()
	}
}

// Crashes returns when the server crashed.
func (s *Server) Crashes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashes)
}

// CrashesUnder returns when requests with a path crashed the server.
func (s *Server) CrashesUnder(path string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []time.Time
	for n, at := range s.crashes {
		if s.crashPaths[n] == path {
			out = append(out, at)
		}
	}
	return out
}

// Down reports whether the server has crashed and is not back.
func (s *Server) Down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes) > 0 && time.Since(s.crashes[len(s.crashes)-1]) < s.RestartTime
}

// sleepOrCrash waits for d. It returns false if the caller closes the connection before, or the server crashes.
func (s *Server) sleepOrCrash(r *http.Request, d time.Duration) bool {
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-crashed:
		return false
	case <-r.Context().Done():
		return false
	}
}
