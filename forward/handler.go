// Package forward passes callers' requests on to backend servers and their answers back, unchanged and whole.
package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"teaselgate/cell"
	"teaselgate/event"
	"teaselgate/metric"
	"teaselgate/outcome"
	"teaselgate/platform"
	"teaselgate/registry"
	"teaselgate/rule"
	"teaselgate/upstream"
)

// Times of answers that the router makes itself.
const (
	startRetry   = 300 * time.Millisecond // an instance that starts knows its configuration after about that time
	serverRetry  = 500 * time.Millisecond // a service without a usable server
	failureRetry = 100 * time.Millisecond // a rejected request, when another server may have room
	answerMargin = 30 * time.Millisecond  // kept free of the caller's deadline for the way back
)

// Handler answers callers. Its exported fields are set before it serves.
type Handler struct {
	Zone               string
	View               func() *registry.View
	Place              func(context.Context, cell.Request) (*cell.Placement, error)
	PickServer         func(pool string, exclude []string) (rule.Server, error)
	ReportServerResult func(server string, took time.Duration, result cell.Result) // follows each Pick
	Charge             func(a platform.Account, tokens int64) (time.Time, error)
	RetryBudget        func(service string) *outcome.RetryBudget
	Servers            *upstream.Pool
	Engines            *platform.EngineClient
	Record             func(event.Event)
	ObserveResult      func(platform.RouteKind, RequestResult)     // told of each request that ended
	ObserveStage       func(s metric.Stage, took time.Duration) // told of each stage that went well
	Now                func() time.Time
	Random             func() float64 // in [0, 1)
}

// RequestResult is how a request ended.
type RequestResult string

// The ends of requests.
const (
	Done      RequestResult = "done"
	OverRate  RequestResult = "over-rate"
	NotRun    RequestResult = "not-run"
	Failed    RequestResult = "failed"
	TimedOut  RequestResult = "late"
	Cancelled RequestResult = "cancelled"
)

// endOf returns the end that a refusal's status stands for.
func endOf(status int) RequestResult {
	switch status {
	case http.StatusTooManyRequests:
		return OverRate
	case http.StatusBadGateway:
		return Failed
	case http.StatusGatewayTimeout:
		return TimedOut
	default:
		return NotRun
	}
}

// NewHandler returns a handler with the usual clock and randomness.
func NewHandler() *Handler {
	return &Handler{
		Now: time.Now, Random: rand.Float64,
		Record: func(event.Event) {}, ObserveResult: func(platform.RouteKind, RequestResult) {}, ObserveStage: func(metric.Stage, time.Duration) {},
	}
}

// request is one caller's request on its way through the instance.
type request struct {
	platform.RequestHeaders
	handler  *Handler
	view     *registry.View
	route    platform.Route
	account  platform.Account // empty on routes open to all
	service  platform.Service
	body     []byte
	in       *http.Request
	out      http.ResponseWriter
	received time.Time
	deadline time.Time
	ran      int // servers that may have run it
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{handler: h, in: r, out: w, received: h.Now()}
	q.RequestHeaders = platform.ReadRequestHeaders(r, q.received)
	if !q.admit() || !q.readBody() {
		return
	}
	ctx, stop := context.WithDeadline(r.Context(), q.deadline)
	defer stop()
	if q.service.Engine != nil && q.HasTokenCounts {
		q.serveModel(ctx)
		return
	}
	q.servePlain(ctx)
}

// admit finds the route, the client account and the service; it returns false if the request has its answer.
func (q *request) admit() bool {
	q.view = q.handler.View()
	if q.view == nil {
		q.refuse(http.StatusServiceUnavailable, startRetry, "no configuration yet")
		return false
	}
	var ok bool
	if q.route, ok = q.view.Route(q.in.Host, q.in.URL.Path); !ok {
		q.refuse(http.StatusNotFound, 0, "no route")
		return false
	}
	if q.view.HasAccounts() && !q.route.Public {
		if q.account, ok = q.view.Account(q.Secret); !ok {
			q.refuse(http.StatusUnauthorized, 0, "unknown key")
			return false
		}
	}
	q.deadline = q.Deadline
	if limit := q.received.Add(q.route.Timeout); q.route.Timeout > 0 && (q.deadline.IsZero() || limit.Before(q.deadline)) {
		q.deadline = limit
	}
	if q.deadline.IsZero() {
		q.deadline = q.received.Add(defaultTimeout)
	}
	if q.service, ok = q.view.Service(q.chooseService()); !ok {
		q.refuse(http.StatusServiceUnavailable, serverRetry, "no service")
		return false
	}
	return true
}

// defaultTimeout bounds a request for which neither its caller nor its route names a time.
const defaultTimeout = time.Minute

// chooseService picks one of the route's services by their weights.
func (q *request) chooseService() string {
	total := 0.0
	for _, t := range q.route.Targets {
		total += t.Weight
	}
	at := q.handler.Random() * total
	for _, t := range q.route.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	if n := len(q.route.Targets); n > 0 {
		return q.route.Targets[n-1].Service
	}
	return ""
}

// readBody reads the whole body, so that it can be sent again where that is allowed.
func (q *request) readBody() bool {
	var tooLarge *http.MaxBytesError
	limit := q.view.Configuration.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	text, err := io.ReadAll(http.MaxBytesReader(q.out, q.in.Body, limit))
	switch {
	case errors.As(err, &tooLarge):
		q.refuse(http.StatusRequestEntityTooLarge, 0, "body too large")
	case err != nil:
		q.cancelled("the body was not read: " + err.Error())
	}
	q.body = text
	return err == nil
}

// defaultBodyBytes bounds bodies where the configuration does not.
const defaultBodyBytes = 4 << 20

// tokens returns what the request counts as against its account's rate.
func (q *request) tokens() int64 {
	switch {
	case !q.account.RateInTokens:
		return 1
	case q.HasTokenCounts:
		return int64(q.PromptTokens + q.MaxOutputTokens)
	default:
		return int64(q.account.DefaultTokens)
	}
}

// limited tells whether the request's account has a rate.
func (q *request) limited() bool { return q.account.Rate > 0 }

func (q *request) refuse(status int, retry time.Duration, reason string) {
	detail := fmt.Sprintf("status %d: %s", status, reason)
	if retry > 0 {
		detail = fmt.Sprintf("status %d, back in %v: %s", status, retry.Round(time.Millisecond), reason)
	}
	q.note(event.RequestRefused, "", detail)
	q.handler.ObserveResult(q.route.Kind, endOf(status))
	platform.WriteRejection(q.out, q.RequestHeaders, status, retry)
}

// fail answers a request that may have run, or whose time is over.
func (q *request) fail(ctx context.Context, reason string) {
	if q.in.Context().Err() != nil {
		q.cancelled(reason)
		return
	}
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	if q.ran == 0 {
		q.refuse(http.StatusServiceUnavailable, failureRetry, reason)
		return
	}
	q.refuse(status, 0, reason)
}

// cancelled ends a request whose caller is gone.
func (q *request) cancelled(reason string) {
	q.note(event.RequestCancelled, "", reason)
	q.handler.ObserveResult(q.route.Kind, Cancelled)
	panic(http.ErrAbortHandler)
}

// done notes a request that was answered.
func (q *request) done(server, detail string) {
	q.note(event.RequestCompleted, server, detail)
	q.handler.ObserveResult(q.route.Kind, Done)
}

func (q *request) note(code event.Code, server, detail string) {
	q.handler.Record(event.Event{Code: code, Request: q.ID, Account: q.account.Name, Server: server, Detail: detail})
}
