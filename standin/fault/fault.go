// Package fault lets tests inject a fault into a stand-in at a named step of a call.
package fault

import (
	"net/http"
	"sync"
)

// Step is a point in the handling of a call by a stand-in.
type Step struct {
	Name    string
	Subject string // what the call concerns: an attempt id, a KV cache handle, an object kind or a call key
	Index   int    // token index, at steps of a single token
}

// Action is what a stand-in does at a step.
type Action int

// The actions. WrongAttempt, Duplicate and Skip have an effect only at steps of a single token.
const (
	Pass         Action = iota // continue without a fault
	Reject                     // respond with 503
	Abort                      // close the connection
	Hang                       // send no response, and wait until the caller closes the connection
	WrongAttempt               // send the token with the id of another attempt
	Duplicate                  // send the token twice
	Skip                       // omit the token
)

// Hook chooses the action at each step. Its zero value always chooses Pass.
type Hook struct {
	mu     sync.Mutex
	decide func(Step) Action
}

// Set replaces the function that chooses the action; with nil, every step passes.
func (h *Hook) Set(decide func(Step) Action) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decide = decide
}

// Decide returns the action for a step.
func (h *Hook) Decide(s Step) Action {
	h.mu.Lock()
	decide := h.decide
	h.mu.Unlock()
	if decide == nil {
		return Pass
	}
	return decide(s)
}

// Apply chooses the action for a step, carries out Reject, Abort and Hang, and returns the action. After Reject the
// response has been written; Abort and Hang panic with http.ErrAbortHandler instead of returning.
func (h *Hook) Apply(w http.ResponseWriter, r *http.Request, s Step) Action {
	action := h.Decide(s)
	switch action {
	case Reject:
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case Abort:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return action
}
