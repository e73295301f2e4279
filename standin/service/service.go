// Package service is a small stand-in for a plain service whose calls may not be repeated.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"teaselgate/standin/fault"
)

// KeyHeader is the request header that names a call which must run at most once.
const KeyHeader = "Idempotency-Key"

const maxBodyBytes = 64 << 20

// Service is the stand-in; it runs every call that reaches it and counts the runs.
type Service struct {
	Hook fault.Hook // decides at each step of a call

	mu            sync.Mutex
	runs          map[string]int // by idempotency key, or by body without one
	leakedHeaders []string
	faults        Faults
}

// Steps of calls at which the hook is asked.
const (
	StepReceived   = "received"  // the call has arrived and has not run
	StepRan        = "ran"       // the call has run, its answer not yet sent
	StepResponding = "answering" // the header and half of the body are sent
)

// Faults are the switches of the stand-in.
type Faults struct {
	Delay         time.Duration // before each answer
	LoseResponses int           // this many calls run and then lose their answer
	Silent        bool          // calls are neither run nor answered
	Fail          bool          // calls are answered with 500 without running
}

// Response is the service's JSON answer.
type Response struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Run    int    `json:"run"`
	Body   string `json:"body"`
}

// NewService returns a service that has run nothing.
func NewService() *Service {
	return &Service{runs: make(map[string]int)}
}

// SetFaults replaces the fault switches.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each call ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		out[key] = n
	}
	return out
}

// LeakedHeaders returns the names of credential headers that reached this service.
func (s *Service) LeakedHeaders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.leakedHeaders...)
}

// Handler serves every method and path.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil {
			return
		}
		faults := s.consumeFaults()
		if faults.Silent {
			<-r.Context().Done()
			return
		}
		if faults.Fail {
			http.Error(w, "failed", http.StatusInternalServerError)
			return
		}
		key := callKey(r, string(body))
		if s.Hook.Apply(w, r, fault.Step{Name: StepReceived, Subject: key}) == fault.Reject {
			return
		}
		run := s.recordRun(r, key)
		if s.Hook.Apply(w, r, fault.Step{Name: StepRan, Subject: key}) == fault.Reject {
			return
		}
		time.Sleep(faults.Delay)
		if faults.LoseResponses > 0 {
			panic(http.ErrAbortHandler)
		}
		s.writeResponse(w, r, run, body)
	})
}

func (s *Service) writeResponse(w http.ResponseWriter, r *http.Request, run int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Trailer", "Service-Check")
	text, _ := json.Marshal(Response{Method: r.Method, Path: r.URL.Path, Run: run, Body: string(body)})
	half := len(text) / 2
	_, _ = w.Write(text[:half])
	_ = http.NewResponseController(w).Flush()
	_ = s.Hook.Apply(w, r, fault.Step{Name: StepResponding, Subject: callKey(r, string(body))})
	_, _ = w.Write(text[half:])
	w.Header().Set("Service-Check", "whole")
}

func (s *Service) consumeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.LoseResponses > 0 {
		s.faults.LoseResponses--
	}
	return f
}

// callKey names a call: by its idempotency key, or by its body without one.
func callKey(r *http.Request, body string) string {
	if key := r.Header.Get(KeyHeader); key != "" {
		return key
	}
	return body
}

func (s *Service) recordRun(r *http.Request, key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range []string{"Authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization"} {
		if r.Header.Get(name) != "" {
			s.leakedHeaders = append(s.leakedHeaders, name)
		}
	}
	s.runs[key]++
	return s.runs[key]
}
