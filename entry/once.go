package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"teaselgate/cell"
	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/rule"
	"teaselgate/service"
)

const (
	keyHeader      = "Idempotency-Key"
	replayedHeader = "Teaselgate-Replayed"

	maxKeyBytes       = 255
	maxOnceBodyBytes  = 1 << 20   // of a keyed call, or of one that is read whole before it is sent
	maxStoredBytes    = 512 << 10 // of an answer kept for repeats
	onceTimeout       = 28 * time.Second
	maxOpenAge        = time.Second // of a connection on which a call is sent
	replayedYes       = "yes"
	errTooLongMessage = "the body of a call with an idempotency key is too large"
)

var (
	noServer    = outcome.NewRefusal(http.StatusServiceUnavailable, "no-server", "no backend server is live")
	unreachable = outcome.NewRefusal(http.StatusBadGateway, "unreachable", "the backend server can't be reached")
	unknown     = outcome.NewRefusal(http.StatusBadGateway, "no-answer",
		"the call was sent and its answer did not come").WithOutcome(outcome.Unknown)
	callerGone = outcome.NewRefusal(http.StatusBadRequest, "caller-gone", "the caller closed the connection")
)

// onceCall is a call that may not be repeated, on its way to a service.
type onceCall struct {
	*call
	request *http.Request
	body    callBody
	held    *outcome.Claim // nil without an idempotency key
}

// serveOnce sends a call at most once. It goes on when its caller is gone, so that a repeat finds the answer.
func (h *Handler) serveOnce(w http.ResponseWriter, r *http.Request, c *call) error {
	body, err := readBody(w, r, maxOnceBodyBytes)
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(context.WithoutCancel(r.Context()), onceTimeout)
	defer stop()
	o := &onceCall{call: c, request: r, body: body}
	stored, err := h.claim(ctx, o)
	if err != nil {
		return err
	}
	if stored != nil {
		h.replay(w, c, stored)
		return nil
	}
	resp, err := h.sendOnce(ctx, o)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if o.held == nil {
		h.copyAnswer(w, c, resp)
		return nil
	}
	return h.keepAnswer(ctx, w, o, resp)
}

// claim wins the claim of a call that came with an idempotency key, or finds the answer of an earlier one.
func (h *Handler) claim(ctx context.Context, o *onceCall) (*outcome.StoredResponse, error) {
	keys := o.request.Header.Values(keyHeader)
	if len(keys) == 0 {
		return nil, nil
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxKeyBytes {
		return nil, badRequest(http.StatusBadRequest, "bad-key-header", "the idempotency key is empty, too long or given twice")
	}
	if o.body.rest != nil {
		return nil, badRequest(http.StatusRequestEntityTooLarge, "body-too-large", errTooLongMessage)
	}
	held, stored, err := h.Claims.Acquire(ctx, outcome.ClaimRequest{
		Account: o.account.Account,
		Route:   o.route.Route,
		Key:     keys[0],
		Digest:  outcome.Digest([]byte(o.request.Method), []byte(o.request.URL.RequestURI()), o.body.head),
	})
	if errors.Is(err, outcome.ErrPlatformDown) {
		if o.route.Outage != rule.OutagePass {
			return nil, outcome.PlatformDownRefusal()
		}
		h.Record(event.Event{Code: event.ClaimBypassed, Request: o.id, Account: o.account.Account})
		return nil, nil
	}
	o.held = held
	return stored, err
}

// opened is a connection to a service that a call may be sent on.
type opened struct {
	*service.Conn
	server rule.Server
	at     time.Time
}

// sendOnce opens a connection, wins the right to send, and sends.
func (h *Handler) sendOnce(ctx context.Context, o *onceCall) (*http.Response, error) {
	conn, err := h.openService(ctx, o)
	if err != nil {
		o.drop(ctx)
		return nil, err
	}
	if err := o.win(ctx); err != nil {
		h.closeUnused(conn)
		return nil, err
	}
	if h.Now().Sub(conn.at) > maxOpenAge {
		h.closeUnused(conn)
		if conn, err = h.openService(ctx, o); err != nil {
			o.drop(ctx)
			return nil, err
		}
	}
	resp, err := conn.Send(ctx, serviceRequest(o.request, conn.server, o.body.reader()))
	h.ReportServerResult(conn.server.Server, h.Now().Sub(conn.at), cell.ResultFromResponse(resp, err))
	if err != nil {
		conn.Close()
		h.Record(event.Event{Code: event.AtMostOnceOutcomeUnknown, Request: o.id, Server: conn.server.Server, Detail: err.Error()})
		o.lose(ctx)
		return nil, unknown
	}
	return resp, nil
}

// closeUnused drops a connection on which nothing was sent.
func (h *Handler) closeUnused(conn *opened) {
	conn.Close()
	h.ReportServerResult(conn.server.Server, h.Now().Sub(conn.at), cell.Answered)
}

// openService connects to a live server; a failure leaves the call not run.
func (h *Handler) openService(ctx context.Context, o *onceCall) (*opened, error) {
	var tried []string
	for {
		if err := callerError(o.request.Context()); err != nil {
			return nil, err
		}
		if err := h.checkAlive(o.call); err != nil {
			return nil, err
		}
		if len(tried) == maxPlainAttempts {
			return nil, unreachable
		}
		server, err := h.PickServer(o.route.Pool, tried)
		if err != nil && len(tried) == 0 {
			return nil, noServer
		}
		if err != nil {
			return nil, unreachable
		}
		start := h.Now()
		conn, err := h.Services.Open(ctx, server.At)
		if err == nil {
			return &opened{Conn: conn, server: server, at: start}, nil
		}
		h.ReportServerResult(server.Server, h.Now().Sub(start), cell.Failed)
		tried = append(tried, server.Server)
		h.Record(event.Event{Code: event.AttemptFailed, Request: o.id, Server: server.Server, Detail: err.Error()})
	}
}

// callerError tells why a call must not be sent any more.
func callerError(ctx context.Context) error {
	switch {
	case ctx.Err() == nil:
		return nil
	case errors.Is(context.Cause(ctx), ErrShuttingDown):
		return ErrShuttingDown.WithOutcome(outcome.NotRun)
	default:
		return callerGone
	}
}

func (o *onceCall) win(ctx context.Context) error {
	if o.held == nil {
		return nil
	}
	return o.held.MarkSent(ctx)
}

func (o *onceCall) drop(ctx context.Context) {
	if o.held != nil {
		o.held.Release(ctx)
	}
}

func (o *onceCall) lose(ctx context.Context) {
	if o.held != nil {
		o.held.MarkLost(ctx)
	}
}

// keepAnswer stores a service's answer for repeats before it passes it on.
func (h *Handler) keepAnswer(ctx context.Context, w http.ResponseWriter, o *onceCall, resp *http.Response) error {
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxStoredBytes))
	if err != nil {
		h.Record(event.Event{Code: event.ResponseInterrupted, Request: o.id, Detail: err.Error()})
		o.lose(ctx)
		return unknown
	}
	answer := outcome.StoredResponse{Status: resp.StatusCode, Header: resp.Header.Clone(), Trailer: resp.Trailer.Clone(), Body: head}
	if len(head) == maxStoredBytes {
		answer = outcome.StoredResponse{Status: resp.StatusCode, TooLong: true}
	}
	o.held.StoreResponse(ctx, answer)
	resp.Body = &prefixed{Reader: io.MultiReader(readerOf(head), resp.Body), Closer: resp.Body}
	h.copyAnswer(w, o.call, resp)
	return nil
}

// replay answers a repeat with the stored answer.
func (h *Handler) replay(w http.ResponseWriter, c *call, stored *outcome.StoredResponse) {
	w.Header().Set(replayedHeader, replayedYes)
	resp := &http.Response{
		StatusCode: stored.Status,
		Header:     stored.Header.Clone(),
		Trailer:    stored.Trailer.Clone(),
		Body:       io.NopCloser(readerOf(stored.Body)),
	}
	h.copyAnswer(w, c, resp)
}
