// Package fault lets tests make a stand-in fail at a named step of a call.
package fault

import (
	"net/http"
	"sync"
)

// Step is a point that a call has reached at a stand-in.
type Step struct {
	Name    string
	Subject string // or the name of the object, or the call's key
	Index   int    // of a token
}

// Action is what the stand-in does at a step.
type Action int

// The actions. Cross, Duplicate and Skip concern one token or answer.
const (
	Pass Action = iota
	Reject
	Abort     // close the connection
	Hang      // never answer
	WrongAttempt     // carry the id of another attempt
	Duplicate // send the token twice
	Skip      // leave the token out
)

// Hook decides at each step. Its zero value passes all.
type Hook struct {
	mu     sync.Mutex
	decide func(Step) Action
}

// Set replaces the decision; nil passes all.
func (h *Hook) Set(decide func(Step) Action) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.decide = decide
}

// Decide returns the action at a step.
func (h *Hook) Decide(s Step) Action {
	h.mu.Lock()
	decide := h.decide
	h.mu.Unlock()
	if decide == nil {
		return Pass
	}
	return decide(s)
}

// Apply carries out the action of a step and returns it. After Refuse the call has its answer;
// Break and Hang do not return.
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
