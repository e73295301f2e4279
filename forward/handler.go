// Package forward forwards callers' requests to backend servers and returns their complete responses unchanged.
package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"teaselgate/cell"
	"teaselgate/event"
	"teaselgate/limit"
	"teaselgate/metric"
	"teaselgate/outcome"
	"teaselgate/platform"
	"teaselgate/quarantine"
	"teaselgate/registry"
	"teaselgate/rule"
	"teaselgate/shutdown"
	"teaselgate/slot"
	"teaselgate/throttle"
	"teaselgate/upstream"
)

// Retry-After times of responses that the router sends itself.
const (
	startupRetryAfter  = 300 * time.Millisecond // an instance receives its configuration about this long after its start
	noServerRetryAfter = 500 * time.Millisecond // the service has no usable server, and none is expected
	failureRetryAfter  = 100 * time.Millisecond // no attempt ran the request; a server may soon be able to
	deadlineMargin     = 30 * time.Millisecond  // reserved before the caller's deadline for returning the response; unused
)

// Handler serves callers' requests. Its exported fields are set before it serves.
type Handler struct {
	Zone        string
	Regions     map[string]string      // region of each availability zone, as far as the settings name it
	View        func() *registry.View  // returns nil until the instance has a configuration
	ViewChanged func() <-chan struct{} // returns a channel that is closed when View returns another view
	SettledAt   func() time.Time       // returns the time until which entries of live servers may be missing
	Place       func(context.Context, cell.Request) (*cell.Placement, error)
	PickServer  func(ctx context.Context, pool string, ask slot.Ask) (rule.Server, error)
	// ReportServerResult is called once for each PickServer, with the key of its ask, or UnpickServer if the request was not
	// sent.
	ReportServerResult func(key, server string, took time.Duration, result slot.Result)
	UnpickServer       func(key, server string)
	// Charge takes tokens from the rate of a client account. With an error it returns the time from which to retry.
	Charge      func(a platform.Account, tokens int64) (time.Time, error)
	RetryBudget func(service string) *outcome.RetryBudget
	Servers     *upstream.Pool
	Backoff     *upstream.Backoff // servers that want no requests
	Limits      *throttle.List    // limits of requests that servers name
	Memory      *limit.Memory     // for responses that are read before they are written
	Quarantine  *quarantine.List  // requests, and parts of prompts, that crash servers
	// Observe is called with each response of a backend server and the time when its request was sent.
	Observe       func(key upstream.ServerKey, sent time.Time, resp *http.Response)
	Engines       *platform.EngineClient
	Record        func(event.Event)
	ObserveResult func(platform.RouteKind, RequestResult)  // called once for each request
	ObserveStage  func(s metric.Stage, took time.Duration) // called for each stage that succeeded
	// Shutdown returns the plan of the stop of this instance, or nil while it is not stopping.
	Shutdown func() *shutdown.Plan
	// Accepting ends when this instance, which is stopping, accepts no more connections.
	Accepting context.Context
	Now       func() time.Time
	Random    func() float64 // uniform in [0, 1)
}

// RequestResult is the final result of a request.
type RequestResult string

// The final results of requests.
const (
	Done      RequestResult = "done"
	OverRate  RequestResult = "over-rate"
	NotRun    RequestResult = "not-run"
	Failed    RequestResult = "failed"
	TimedOut  RequestResult = "late"
	Cancelled RequestResult = "cancelled"
)

// resultFromStatus returns the result of a request that the router refused with the given status.
func resultFromStatus(status int) RequestResult {
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

// NewHandler returns a handler with the system clock, the default random source and callbacks that do nothing.
func NewHandler() *Handler {
	return &Handler{
		Now: time.Now, Random: rand.Float64,
		Shutdown:      func() *shutdown.Plan { return nil },
		Accepting:     context.Background(),
		ViewChanged:   func() <-chan struct{} { return nil },
		SettledAt:     func() time.Time { return time.Time{} },
		Backoff:       upstream.NewBackoff(),
		Limits:        throttle.NewList(),
		Memory:        limit.NewMemory(0),
		Quarantine:    quarantine.NewList(),
		Observe:       func(upstream.ServerKey, time.Time, *http.Response) {},
		Record:        func(event.Event) {},
		ObserveResult: func(platform.RouteKind, RequestResult) {},
		ObserveStage:  func(metric.Stage, time.Duration) {},
	}
}

// request is the state of one caller's request while the instance serves it.
type request struct {
	platform.RequestHeaders
	handler  *Handler
	view     *registry.View
	route    platform.Route
	account  platform.Account // empty on open routes
	zones    []string         // availability zones whose servers may get the request; nil for all
	service  platform.Service
	body     []byte
	incoming *http.Request
	writer   http.ResponseWriter
	received time.Time
	read     time.Time // when the head or, later, the body was read
	longest  time.Time // end of the longest response to a model request at the pace of its engine; zero if unknown
	deadline time.Time
	runs     int          // number of backend servers that may have run the request
	picks    int          // number of servers asked for
	unpaid   bool         // the next attempt is to be paid from the retry budget that the instances share
	part     string       // stands for the whole request in the quarantine
	trial    bool         // whether the request tries parts that are in quarantine, and so is not refused for them
	held     int64        // bytes of responses for which memory is reserved
	sent     *sentAttempt // nil if no attempt awaits its answer
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{handler: h, incoming: r, writer: w, received: h.Now()}
	defer q.releaseMemory()
	q.RequestHeaders = platform.ReadRequestHeaders(r, q.received)
	if !q.admit() || q.refusedByShutdown() || !q.readBody() || q.refusedByShutdown() {
		return
	}
	q.setPart()
	if refusal := q.checkQuarantine(); refusal != nil {
		q.refuseQuarantined(refusal)
		return
	}
	ctx, stop := context.WithDeadline(r.Context(), q.deadline)
	defer stop()
	if q.isModelRequest() {
		model, _ := q.view.Rules.Model(q.service.Name)
		q.awaitServers(ctx, model.Prefill, model.Decode)
		q.serveModel(ctx)
		return
	}
	q.awaitServers(ctx, q.service.Name)
	q.servePlain(ctx)
}

// admit looks up the route, the client account and the service, and sets the deadline. It returns false after it has
// refused the request.
func (q *request) admit() bool {
	if q.view = q.awaitView(); q.view == nil {
		q.refuse(http.StatusServiceUnavailable, startupRetryAfter, "no configuration yet")
		return false
	}
	var ok bool
	if q.route, ok = q.view.Route(q.incoming.Host, q.incoming.URL.Path); !ok {
		q.refuse(http.StatusNotFound, 0, "no route")
		return false
	}
	if q.view.HasAccounts() && !q.route.Public {
		if q.account, ok = q.view.Account(q.Secret); !ok {
			q.refuse(http.StatusUnauthorized, 0, "unknown key")
			return false
		}
	}
	if !q.setHomes() {
		return false
	}
	q.deadline = q.Deadline
	if limit := q.received.Add(q.route.Timeout); q.route.Timeout > 0 && (q.deadline.IsZero() || limit.Before(q.deadline)) {
		q.deadline = limit
	}
	if q.deadline.IsZero() {
		q.deadline = q.received.Add(defaultRequestTimeout)
	}
	if q.service, ok = q.view.Service(q.chooseService()); !ok {
		q.refuse(http.StatusServiceUnavailable, noServerRetryAfter, "no service")
		return false
	}
	return true
}

// defaultRequestTimeout applies to requests for which neither the caller nor the route sets a deadline.
const defaultRequestTimeout = time.Minute

// chooseService picks one of the route's services at random, in proportion to their weights.
func (q *request) chooseService() string {
	total := 0.0
	for _, t := range q.route.Targets {
		total += t.Weight
	}
	point := q.handler.Random() * total
	for _, t := range q.route.Targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	if n := len(q.route.Targets); n > 0 {
		return q.route.Targets[n-1].Service
	}
	return ""
}

// readBody reads the complete body, so that the request can be retried where the route allows it. It returns false
// after it has refused the request.
func (q *request) readBody() bool {
	var tooLarge *http.MaxBytesError
	maxBytes := q.view.Configuration.Limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if q.incoming.ContentLength > maxBytes {
		q.writer.Header().Set("Connection", "close") // the body is not read
		q.refuse(http.StatusRequestEntityTooLarge, 0, "body too large")
		return false
	}
	bounded := http.MaxBytesReader(q.writer, q.incoming.Body, maxBytes)
	ctx, stop := context.WithDeadline(q.incoming.Context(), q.deadline)
	defer stop()
	ctx, stopReading := q.endReadingAtShutdown(ctx)
	defer stopReading()
	content, err := limit.ReadBody(ctx, bounded, maxBytes+1)
	var refusal *outcome.Refusal
	switch {
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && q.incoming.Context().Err() == nil:
		q.writer.Header().Set("Connection", "close")
		q.refuse(http.StatusRequestTimeout, 0, "the body has not come in time")
	case errors.As(err, &tooLarge):
		q.refuse(http.StatusRequestEntityTooLarge, 0, "body too large")
	case errors.As(err, &refusal):
		q.writer.Header().Set("Connection", "close")
		q.refuse(refusal.Status, refusal.RetryAt.Sub(q.handler.Now()), refusal.Message)
	case err != nil:
		q.abort("unable to read the request body: " + err.Error())
	}
	q.body = content
	return err == nil
}

// defaultMaxBodyBytes limits request bodies if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// cost returns how much of its account's rate the request takes: tokens, or 1 if the rate counts requests.
func (q *request) cost() int64 {
	switch {
	case !q.account.RateInTokens:
		return 1
	case q.HasTokenCounts:
		return int64(q.PromptTokens + q.MaxOutputTokens)
	default:
		return int64(q.account.DefaultTokens)
	}
}

// rateLimited reports whether the request's account has a rate limit.
func (q *request) rateLimited() bool { return q.account.Rate > 0 }

// refuse answers the request with a status of the router's own. A positive retryAfter is sent to the caller.
func (q *request) refuse(status int, retryAfter time.Duration, reason string) {
	detail := fmt.Sprintf("status %d: %s", status, reason)
	if retryAfter > 0 {
		detail = fmt.Sprintf("status %d, retry after %v: %s", status, retryAfter.Round(time.Millisecond), reason)
	}
	q.record(event.RequestRefused, "", detail)
	q.handler.ObserveResult(q.route.Kind, resultFromStatus(status))
	platform.WriteRejection(q.writer, q.RequestHeaders, status, retryAfter)
}

// fail ends a request that failed: with 503 if it has not run, otherwise with 504 after its deadline or with 502. If
// the caller has disconnected, it aborts the request. At the shutdown deadline the callers are still there.
func (q *request) fail(ctx context.Context, reason string) {
	if outcome.EndedByCaller(q.incoming.Context()) {
		q.abort(reason)
		return
	}
	if outcome.EndedByShutdown(ctx) {
		reason = outcome.ErrShuttingDown.Message + ": " + reason
	}
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	if q.runs == 0 {
		q.refuse(http.StatusServiceUnavailable, failureRetryAfter, reason)
		return
	}
	q.refuse(status, 0, reason)
}

// abort records the request as cancelled and closes the caller's connection. It panics with http.ErrAbortHandler.
func (q *request) abort(reason string) {
	q.record(event.RequestCancelled, "", reason)
	q.handler.ObserveResult(q.route.Kind, Cancelled)
	panic(http.ErrAbortHandler)
}

// finish records a request whose response was sent completely.
func (q *request) finish(server, detail string) {
	q.record(event.RequestCompleted, server, detail)
	q.handler.ObserveResult(q.route.Kind, Done)
}

func (q *request) record(code event.Code, server, detail string) {
	q.handler.Record(event.Event{Code: code, Request: q.ID, Account: q.account.Name, Server: server, Detail: detail})
}
