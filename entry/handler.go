// Package entry answers callers: it authenticates, admits, places and streams their requests.
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
	"teaselgate/rule"
	"teaselgate/service"
)

// RequestIDHeader carries the request's id in every answer.
const RequestIDHeader = "Teaselgate-Request"

const (
	requestIDBytes = 12
	retryDelay     = 2 * time.Second // after a failure that names no time
)

// Handler answers callers. Its exported fields are set before it serves.
type Handler struct {
	Incarnation        string // names this run of the instance at engines
	Zone               string
	Rules              func() *config.Revision
	Connected          func() bool // whether a withdrawal of a key would reach the instance; nil means always
	Admit              func(context.Context, rule.Account, int64) (*allowance.Charge, time.Time, error)
	Place              func(context.Context, cell.Request) (*cell.Placement, error)
	PickServer         func(pool string, exclude []string) (rule.Server, error)
	ReportServerResult func(server string, took time.Duration, result cell.Result) // follows each PickPlain
	Engines            *engine.Client
	Services           *service.Client
	Claims             *outcome.ClaimStore
	RetryBudget        *outcome.RetryBudget
	CancelAttempt      func(at, attempt string, uncertain bool) // releases an attempt at an engine
	Record             func(event.Event)
	Now                func() time.Time

	WriteTimeout time.Duration // for one chunk to a slow caller; zero means the usual one

	running sync.Map // ids of the attempts in progress
}

// Running tells whether an attempt is in progress.
func (h *Handler) Running(attempt string) bool {
	_, ok := h.running.Load(attempt)
	return ok
}

// call is one caller's request on its way through the instance.
type call struct {
	id      string
	route   rule.Route
	rules   *rule.Set
	account rule.Account // empty on open routes
	keyHash string       // of the key that came with the request
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{id: newRequestID()}
	w.Header().Set(RequestIDHeader, c.id)
	if err := h.authorize(c, r); err != nil {
		h.refuse(w, c, err)
		return
	}
	if c.route.Model != "" {
		h.serveModel(w, r, c)
		return
	}
	h.servePlain(w, r, c)
}

// admit charges tokens to the client account.
func (h *Handler) admit(ctx context.Context, c *call, tokens int64) (*allowance.Charge, error) {
	if c.account.Account == "" {
		return &allowance.Charge{}, nil
	}
	charge, retryAt, err := h.Admit(ctx, c.account, tokens)
	if errors.Is(err, allowance.ErrExhausted) {
		refusal := outcome.NewRefusal(http.StatusTooManyRequests, "over-rate", "the client account is over its rate")
		return nil, refusal.WithRetryAt(retryAt)
	}
	if err != nil {
		return nil, outcome.NewRefusal(http.StatusServiceUnavailable, "no-allowance", "the client account's allowance can't be reached")
	}
	return charge, nil
}

// withRetry tells the caller of a failed request when to come back, unless a repeat might run a call twice.
func (h *Handler) withRetry(c *call, refusal *outcome.Refusal) *outcome.Refusal {
	mayRepeat := refusal.Outcome == outcome.NotRun || c.route.Calls == rule.Idempotent
	if !refusal.RetryAt.IsZero() || refusal.Status < http.StatusInternalServerError || !mayRepeat {
		return refusal
	}
	return refusal.WithRetryAt(h.Now().Add(retryDelay))
}

func (h *Handler) refuse(w http.ResponseWriter, c *call, err error) {
	refusal := h.withRetry(c, outcome.RefusalFromError(err))
	h.Record(event.Event{
		Code:    event.RequestRefused,
		Request: c.id,
		Account: c.account.Account,
		Detail:  refusal.Code + " " + string(refusal.Outcome),
	})
	refusal.Write(w, h.Now())
}

func newRequestID() string {
	raw := make([]byte, requestIDBytes)
	_, _ = rand.Read(raw)
	return hex.EncodeToString(raw)
}
