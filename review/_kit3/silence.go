package main

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"time"
)

// silence lets a store fall silent: what calls it has then, and those that come meanwhile, never get an answer, and their channels
// return nothing further.
type silence struct {
	next http.Handler

	mu    sync.Mutex
	down  bool
	count int         // number of times that the store fell silent
	polls []time.Time // arrivals of calls that ask for the newest version
}

// isPoll reports whether a call asks for the store's newest version.
func isPoll(q *http.Request) bool {
	return strings.HasPrefix(q.URL.Path, "/-/objects/config") && q.URL.Query().Has("after")
}

// ServeHTTP answers a call after it was carried out, unless the store has been silent meanwhile.
func (s *silence) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	count, down := s.count, s.down
	if isPoll(q) {
		s.polls = append(s.polls, time.Now())
	}
	s.mu.Unlock()
	out := &heldAnswer{header: make(http.Header), status: http.StatusOK}
	if !down {
		s.next.ServeHTTP(out, q)
	}
	s.mu.Lock()
	lost := down || count != s.count
	s.mu.Unlock()
	if lost {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for name, values := range out.header {
		w.Header()[name] = values
	}
	w.WriteHeader(out.status)
	_, _ = w.Write(out.body.Bytes())
}

// begin makes the store silent, end lets it answer again.
func (s *silence) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.count, s.polls = true, s.count+1, nil
}

func (s *silence) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
}

// pollsSince returns the number of polls that have come since a time.
func (s *silence) pollsSince(at time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, poll := range s.polls {
		if poll.After(at) {
			n++
		}
	}
	return n
}

// heldAnswer is an answer that is not sent yet.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (h *heldAnswer) Header() http.Header { return h.header }

// WriteHeader implements http.ResponseWriter.
func (h *heldAnswer) WriteHeader(status int) { h.status = status }

// Write implements http.ResponseWriter.
func (h *heldAnswer) Write(p []byte) (int, error) { return h.body.Write(p) }
