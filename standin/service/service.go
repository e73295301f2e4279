// Package service is a small stand-in for a plain service whose calls must not run twice.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"teaselgate/standin/fault"
)

// KeyHeader is the request header that identifies a call which must run at most once.
const KeyHeader = "Idempotency-Key"

const maxBodyBytes = 64 << 20

// Service is the stand-in. It runs every call that reaches it, duplicates too, and counts the runs.
type Service struct {
	Hook fault.Hook // injects faults at the steps of a call

	mu            sync.Mutex
	runs          map[string]int // by idempotency key, or by body for calls without a key
	leakedHeaders []string       // names of credential headers, of calls that ran
	faults        Faults
}

// Steps of calls at which Hook is called. The step's subject is the call's key.
const (
	StepReceived   = "received"  // the call has arrived and has not run
	StepRan        = "ran"       // the call has run, the response has not been sent
	StepResponding = "answering" // the header and half of the body have been sent
)

// Faults are the faults to inject.
type Faults struct {
	Delay         time.Duration // delay before each response
	LoseResponses int           // number of upcoming calls that run but get no response
	Silent        bool          // calls do not run and get no response
	Fail          bool          // calls get a 500 response without running
}

// Response is the JSON body of a response.
type Response struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Run    int    `json:"run"` // how often the call has run, this run included
	Body   string `json:"body"`
}

// NewService returns a service that has run no calls.
func NewService() *Service {
	return &Service{runs: make(map[string]int)}
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each call ran, by idempotency key, or by body for calls without a key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		out[key] = n
	}
	return out
}

// LeakedHeaders returns the names of the credential headers of all calls that ran.
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

// writeResponse sends the response in two parts, with a fault step between them.
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

// consumeFaults returns the faults of a call and counts down LoseResponses.
func (s *Service) consumeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.LoseResponses > 0 {
		s.faults.LoseResponses--
	}
	return f
}

// callKey returns the idempotency key of a call, or its body if it has none.
func callKey(r *http.Request, body string) string {
	if key := r.Header.Get(KeyHeader); key != "" {
		return key
	}
	return body
}

// recordRun records a run and any credential headers of the call, and returns how often the call has run.
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
