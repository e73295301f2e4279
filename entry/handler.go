// Package entry serves callers' requests: it authenticates and charges them, sends them to backend servers and writes
// the responses.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"sync"
	"time"

	"teaselgate/allowance"
	"teaselgate/cell"
	"teaselgate/config"
	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/quarantine"
	"teaselgate/rule"
	"teaselgate/service"
	"teaselgate/shutdown"
	"teaselgate/slot"
)

// RequestIDHeader is the header of the request id in every response.
const RequestIDHeader = "Teaselgate-Request"

const (
	requestIDBytes    = 12
	defaultRetryAfter = 2 * time.Second // for errors without a retry time of their own
)

// Handler serves callers' requests. Its exported fields are set before it serves.
type Handler struct {
	Owner     string // identifies this run of the instance to engines
	Zone      string
	Rules     func() *config.Revision // returns nil until the instance has rules
	Connected func() bool             // reports whether the withdrawal of a key would reach the instance; nil means always
	// Admit charges tokens to a client account. With allowance.ErrExhausted it returns the time from which to retry.
	Admit              func(context.Context, rule.Account, int64) (*allowance.Charge, time.Time, error)
	Place              func(context.Context, cell.Request) (*cell.Placement, error)
	PickServer         func(pool string, exclude []string) (rule.Server, error)
	ReportServerResult func(server string, took time.Duration, result slot.Result) // called once for each PickServer
	Engines            *engine.Client
	Services           *service.Client
	Claims             *outcome.ClaimStore
	RetryBudget        *outcome.RetryBudget
	Quarantine         *quarantine.List                         // beginnings of prompts that crash engines
	CancelAttempt      func(at, attempt string, uncertain bool) // uncertain: a request of the attempt may still arrive
	// Shutdown returns the plan of the stop of this instance, or nil while it is not stopping; it may be nil.
	Shutdown func() *shutdown.Plan
	Record   func(event.Event)
	Now      func() time.Time

	WriteTimeout time.Duration // limit for one chunk to a slow caller; 0 means defaultWriteTimeout
	AbortDelay   time.Duration // for which sent requests of class once go on after the shutdown deadline; 0 means defaultAbortDelay

	runningAttempts sync.Map // keys are the ids of attempts in progress
}

// Running reports whether an attempt is in progress.
func (h *Handler) Running(attempt string) bool {
	_, ok := h.runningAttempts.Load(attempt)
	return ok
}

// request is the state of one caller's request while the instance serves it.
type request struct {
	id      string
	route   rule.Route
	rules   *rule.Set
	account rule.Account // empty on open routes
	keyHash string       // hash of the request's key; empty if it has no valid key
	part    string       // stands for the whole request in the quarantine
	trial   bool         // whether the request tries parts that are in quarantine, and so is not refused for them
	sent    *sentAttempt // nil if no attempt awaits its answer
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{id: newRequestID()}
	w.Header().Set(RequestIDHeader, q.id)
	if err := h.authorize(q, r); err != nil {
		h.refuse(w, q, err)
		return
	}
	if q.route.Model != "" {
		h.serveModel(w, r, q)
		return
	}
	h.servePlain(w, r, q)
}

// admit charges tokens to the client account, or returns a refusal. Requests without an account are not charged.
func (h *Handler) admit(ctx context.Context, q *request, tokens int64) (*allowance.Charge, error) {
	if q.account.Account == "" {
		return &allowance.Charge{}, nil
	}
	charge, retryAt, err := h.Admit(ctx, q.account, tokens)
	if errors.Is(err, allowance.ErrExhausted) {
		refusal := outcome.NewRefusal(http.StatusTooManyRequests, "over-rate", "the client account is over its rate")
		return nil, refusal.WithRetryAt(retryAt)
	}
	if err != nil {
		return nil, outcome.ErrorAtShutdown(ctx, outcome.NewRefusal(http.StatusServiceUnavailable, "no-allowance",
			"the client account's allowance can't be reached"), outcome.NotRun)
	}
	return charge, nil
}

// withRetry sets the default retry time on a server error that has none. A request that may have run gets one only if
// its route is idempotent.
func (h *Handler) withRetry(q *request, refusal *outcome.Refusal) *outcome.Refusal {
	canRetry := refusal.Outcome == outcome.NotRun || q.route.Calls == rule.Idempotent
	if !refusal.RetryAt.IsZero() || refusal.Status < http.StatusInternalServerError || !canRetry {
		return refusal
	}
	return refusal.WithRetryAt(h.Now().Add(defaultRetryAfter))
}

// refuse records a refusal and writes it to the caller.
func (h *Handler) refuse(w http.ResponseWriter, q *request, err error) {
	refusal := h.withRetry(q, outcome.RefusalFromError(err))
	h.Record(event.Event{
		Code:    event.RequestRefused,
		Request: q.id,
		Account: q.account.Account,
		Detail:  refusal.Code + " " + string(refusal.Outcome),
	})
	refusal.Write(w, h.Now())
}

func newRequestID() string {
	raw := make([]byte, requestIDBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
