package entry

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/rule"
	"teaselgate/service"
	"teaselgate/slot"
)

const (
	idempotencyKeyHeader = "Idempotency-Key"
	replayedHeader       = "Teaselgate-Replayed"

	maxIdempotencyKeyBytes = 255
	maxOnceBodyBytes       = 1 << 20   // limit of bodies with an idempotency key; without one, longer bodies are streamed
	maxStoredResponseBytes = 512 << 10 // limit of response bodies stored for replay
	onceTimeout            = 28 * time.Second
	defaultAbortDelay      = 300 * time.Millisecond
	maxConnAge             = time.Second // age limit of a connection when the request is sent
	replayedValue          = "yes"
	bodyTooLargeMessage    = "the body of a call with an idempotency key is too large"
)

var (
	errNoServer    = outcome.NewRefusal(http.StatusServiceUnavailable, "no-server", "no backend server is live")
	errUnreachable = outcome.NewRefusal(http.StatusBadGateway, "unreachable", "the backend server can't be reached")
	errNoAnswer    = outcome.NewRefusal(http.StatusBadGateway, "no-answer",
		"the call was sent and its answer did not come").WithOutcome(outcome.Unknown)
	errCallerGone = outcome.NewRefusal(http.StatusBadRequest, "caller-gone", "the caller closed the connection")
)

// onceRequest is the state of a request that must run at most once.
type onceRequest struct {
	*request
	incoming *http.Request
	body     requestBody
	claim    *outcome.Claim // nil if the request has no claim
}

// serveOnce sends a request to a service at most once. It continues if the caller disconnects, so that a retry by the
// caller finds the response. The shutdown deadline ends its waits, and AbortDelay later the wait for the response.
func (h *Handler) serveOnce(w http.ResponseWriter, r *http.Request, q *request) error {
	body, err := readBody(w, r, maxOnceBodyBytes)
	if err != nil {
		return err
	}
	q.setPart(r, body.head)
	waiting, stopWaiting := untilShutdown(r.Context(), 0)
	defer stopWaiting()
	ctx, stop := untilShutdown(r.Context(), cmp.Or(h.AbortDelay, defaultAbortDelay))
	defer stop()
	o := &onceRequest{request: q, incoming: r, body: body}
	stored, err := h.takeClaim(waiting, o)
	if err != nil {
		return err
	}
	if stored != nil {
		h.replay(w, q, stored)
		return nil
	}
	if refusal := h.checkQuarantine(q, nil, outcome.NotRun); refusal != nil {
		o.dropClaim(ctx)
		return refusal
	}
	resp, err := h.sendOnce(waiting, ctx, o)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if o.claim == nil {
		h.streamResponse(w, q, resp)
		return nil
	}
	return h.storeAndSend(ctx, w, o, resp)
}

// untilShutdown returns a context that outlasts the connection of a request's caller, up to onceTimeout. It ends a while after
// the shutdown deadline.
func untilShutdown(request context.Context, delay time.Duration) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(context.WithoutCancel(request))
	ctx, stop := context.WithTimeout(ctx, onceTimeout)
	detach := context.AfterFunc(request, func() {
		if outcome.EndedByShutdown(request) {
			time.AfterFunc(delay, func() { end(outcome.ErrShuttingDown) })
		}
	})
	return ctx, func() {
		detach()
		stop()
		end(nil)
	}
}

// takeClaim takes the claim of a request with an idempotency key, or returns the stored response of an earlier request
// with the same key.
func (h *Handler) takeClaim(ctx context.Context, o *onceRequest) (*outcome.StoredResponse, error) {
	keys := o.incoming.Header.Values(idempotencyKeyHeader)
	if len(keys) == 0 {
		return nil, nil
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxIdempotencyKeyBytes {
		return nil, badRequest(http.StatusBadRequest, "bad-key-header",
			"the idempotency key is empty, too long or given twice")
	}
	if o.body.rest != nil {
		return nil, badRequest(http.StatusRequestEntityTooLarge, "body-too-large", bodyTooLargeMessage)
	}
	claim, stored, err := h.Claims.Acquire(ctx, outcome.ClaimRequest{
		Account: o.account.Account,
		Route:   o.route.Route,
		Key:     keys[0],
		Digest:  outcome.Digest([]byte(o.incoming.Method), []byte(o.incoming.URL.RequestURI()), o.body.head),
	})
	if errors.Is(err, outcome.ErrPlatformDown) {
		if outcome.EndedByShutdown(ctx) {
			return nil, outcome.ErrShuttingDown.WithOutcome(outcome.NotRun)
		}
		if o.route.Outage != rule.OutagePass {
			return nil, outcome.PlatformDownRefusal()
		}
		h.Record(event.Event{Code: event.ClaimBypassed, Request: o.id, Account: o.account.Account})
		return nil, nil
	}
	o.claim = claim
	return stored, err
}

// serviceConn is an open connection to a server of a service, on which one request may be sent.
type serviceConn struct {
	*service.Conn
	server   rule.Server
	openedAt time.Time
}

// sendOnce opens a connection, marks the claim as sent, and sends the request. A connection that has become too old
// while the claim was marked is replaced. The context waiting ends the wait for a connection.
func (h *Handler) sendOnce(waiting, ctx context.Context, o *onceRequest) (*http.Response, error) {
	conn, err := h.openService(waiting, o)
	if err != nil {
		o.dropClaim(ctx)
		return nil, err
	}
	if err := o.markSent(ctx); err != nil {
		h.closeUnused(conn)
		return nil, err
	}
	if h.Now().Sub(conn.openedAt) > maxConnAge {
		h.closeUnused(conn)
		if conn, err = h.openService(waiting, o); err != nil {
			o.dropClaim(ctx)
			return nil, err
		}
	}
	if err := h.checkShutdown(outcome.NotRun); err != nil {
		h.closeUnused(conn)
		o.dropClaim(ctx)
		return nil, err
	}
	o.request.markSent(conn.server, h.Now())
	resp, err := conn.Send(ctx, newServiceRequest(o.incoming, conn.server, o.body.reader()))
	h.ReportServerResult(conn.server.Server, h.Now().Sub(conn.openedAt), slot.ResultFromResponse(resp, err))
	if err != nil {
		conn.Close()
		h.Record(event.Event{Code: event.AtMostOnceOutcomeUnknown, Request: o.id, Server: conn.server.Server, Detail: err.Error()})
		h.reportNoAnswer(ctx, o.request, false, nil)
		o.markLost(ctx)
		return nil, outcome.ErrorAtShutdown(ctx, errNoAnswer, outcome.Unknown)
	}
	return resp, nil
}

// closeUnused closes a connection on which nothing was sent.
func (h *Handler) closeUnused(conn *serviceConn) {
	conn.Close()
	h.ReportServerResult(conn.server.Server, h.Now().Sub(conn.openedAt), slot.Answered)
}

// openService connects to a live server of the request's pool. If it fails, the request has not run.
func (h *Handler) openService(ctx context.Context, o *onceRequest) (*serviceConn, error) {
	var tried []string
	for {
		if err := contextRefusal(o.incoming.Context()); err != nil {
			return nil, err
		}
		if err := h.recheckAuthorization(o.request); err != nil {
			return nil, err
		}
		if err := h.checkShutdown(outcome.NotRun); err != nil {
			return nil, err
		}
		if len(tried) == maxPlainAttempts {
			return nil, errUnreachable
		}
		server, err := h.PickServer(o.route.Pool, tried)
		if err != nil && len(tried) == 0 {
			return nil, errNoServer
		}
		if err != nil {
			return nil, errUnreachable
		}
		start := h.Now()
		conn, err := h.Services.Open(ctx, server.At)
		if err == nil {
			return &serviceConn{Conn: conn, server: server, openedAt: start}, nil
		}
		h.ReportServerResult(server.Server, h.Now().Sub(start), slot.Failed)
		tried = append(tried, server.Server)
		h.Record(event.Event{Code: event.AttemptFailed, Request: o.id, Server: server.Server, Detail: err.Error()})
	}
}

// contextRefusal returns the refusal of a request whose context has ended, or nil if it has not.
func contextRefusal(ctx context.Context) error {
	switch {
	case ctx.Err() == nil:
		return nil
	case outcome.EndedByShutdown(ctx):
		return outcome.ErrShuttingDown.WithOutcome(outcome.NotRun)
	default:
		return errCallerGone
	}
}

// markSent records in the claim that the request is about to be sent. After an error, it must not be sent.
func (o *onceRequest) markSent(ctx context.Context) error {
	if o.claim == nil {
		return nil
	}
	return o.claim.MarkSent(ctx)
}

// dropClaim removes the claim of a request that was not sent.
func (o *onceRequest) dropClaim(ctx context.Context) {
	if o.claim != nil {
		o.claim.Release(ctx)
	}
}

// markLost records in the claim that the request was sent and its response was lost.
func (o *onceRequest) markLost(ctx context.Context) {
	if o.claim != nil {
		o.claim.MarkLost(ctx)
	}
}

// storeAndSend stores a service's response for replay and then sends it to the caller.
func (h *Handler) storeAndSend(ctx context.Context, w http.ResponseWriter, o *onceRequest, resp *http.Response) error {
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxStoredResponseBytes))
	if err != nil {
		h.Record(event.Event{Code: event.ResponseInterrupted, Request: o.id, Detail: err.Error()})
		h.reportNoAnswer(ctx, o.request, false, nil)
		o.markLost(ctx)
		return outcome.ErrorAtShutdown(ctx, errNoAnswer, outcome.Unknown)
	}
	response := outcome.StoredResponse{
		Status: resp.StatusCode, Header: resp.Header.Clone(), Trailer: resp.Trailer.Clone(), Body: head,
	}
	if len(head) == maxStoredResponseBytes {
		response = outcome.StoredResponse{Status: resp.StatusCode, TooLong: true}
	}
	o.claim.StoreResponse(ctx, response)
	resp.Body = &prefixedBody{Reader: io.MultiReader(newBytesReader(head), resp.Body), Closer: resp.Body}
	h.streamResponse(w, o.request, resp)
	return nil
}

// replay sends the stored response of an earlier request.
func (h *Handler) replay(w http.ResponseWriter, q *request, stored *outcome.StoredResponse) {
	w.Header().Set(replayedHeader, replayedValue)
	resp := &http.Response{
		StatusCode: stored.Status,
		Header:     stored.Header.Clone(),
		Trailer:    stored.Trailer.Clone(),
		Body:       io.NopCloser(newBytesReader(stored.Body)),
	}
	h.streamResponse(w, q, resp)
}
