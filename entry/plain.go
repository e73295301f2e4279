package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"

	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/rule"
	"teaselgate/service"
	"teaselgate/slot"
)

const (
	plainRequestTokens = 1 // charge of a request to a plain service
	maxPlainAttempts   = 3
	copyBufferBytes    = 32 << 10
	maxRetryBodyBytes  = 256 << 10 // length from which a body is not kept for a retry on another server
)

// hopByHopHeaders apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// servePlain forwards a request to a plain service, and the response to the caller.
func (h *Handler) servePlain(w http.ResponseWriter, r *http.Request, q *request) {
	charge, err := h.admit(r.Context(), q, plainRequestTokens)
	if err != nil {
		h.refuse(w, q, err)
		return
	}
	if q.route.Calls == rule.AtMostOnce {
		err = h.serveOnce(w, r, q)
	} else {
		err = h.serveIdempotent(w, r, q)
	}
	if err != nil {
		charge.Settle(chargedTokens(err, plainRequestTokens))
		h.refuse(w, q, err)
		return
	}
	charge.Settle(plainRequestTokens)
}

// chargedTokens returns the number of tokens to charge for a request: 0 only if it has certainly not run.
func chargedTokens(err error, tokens int) int64 {
	if err != nil && outcome.RefusalFromError(err).Outcome == outcome.NotRun {
		return 0
	}
	return int64(tokens)
}

// serveIdempotent serves a request that may run more than once.
func (h *Handler) serveIdempotent(w http.ResponseWriter, r *http.Request, q *request) error {
	body, err := readBody(w, r, maxRetryBodyBytes)
	if err != nil {
		return err
	}
	q.setPart(r, body.head)
	resp, err := h.sendIdempotent(r, q, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	h.streamResponse(w, q, resp)
	return nil
}

// sendIdempotent sends a request to one server after another until one responds or no retry is allowed.
func (h *Handler) sendIdempotent(r *http.Request, q *request, body requestBody) (*http.Response, error) {
	h.RetryBudget.Deposit()
	var tried []string
	runOutcome := outcome.NotRun
	for {
		if err := h.recheckAuthorization(q); err != nil {
			return nil, outcome.RefusalFromError(err).WithOutcome(runOutcome)
		}
		if refusal := h.checkQuarantine(q, nil, runOutcome); refusal != nil {
			return nil, refusal
		}
		if err := h.checkShutdown(runOutcome); err != nil {
			return nil, err
		}
		server, err := h.PickServer(q.route.Pool, tried)
		if err != nil {
			return nil, errNoServer.WithOutcome(runOutcome)
		}
		tried = append(tried, server.Server)
		start := h.Now()
		q.markSent(server, start)
		resp, err := h.Services.Do(r.Context(), newServiceRequest(r, server, body.reader()))
		h.ReportServerResult(server.Server, h.Now().Sub(start), serverResult(r.Context(), resp, err))
		if err == nil {
			return resp, nil
		}
		h.Record(event.Event{Code: event.AttemptFailed, Request: q.id, Server: server.Server, Detail: err.Error()})
		if !errors.Is(err, service.ErrUnreachable) {
			h.reportNoAnswer(r.Context(), q, false, nil)
			runOutcome = outcome.Unknown
		}
		if !h.canRetry(r.Context(), q, err, body, len(tried)) {
			return nil, outcome.ErrorAtShutdown(r.Context(), errUnreachable.WithOutcome(runOutcome), runOutcome)
		}
	}
}

// serverResult returns the result that counts for the server. A cancelled request is not a failure of the server.
func serverResult(ctx context.Context, resp *http.Response, err error) slot.Result {
	if err != nil && ctx.Err() != nil {
		return slot.Answered
	}
	return slot.ResultFromResponse(resp, err)
}

// canRetry reports whether a failed idempotent request may be sent to another server. Unless the server was
// unreachable, the retry is withdrawn from the retry budget.
func (h *Handler) canRetry(ctx context.Context, q *request, err error, body requestBody, tried int) bool {
	if tried == maxPlainAttempts || ctx.Err() != nil {
		return false
	}
	if errors.Is(err, service.ErrUnreachable) {
		return body.rest == nil || !body.rest.started
	}
	return body.rest == nil && h.spendRetry(q)
}

// spendRetry withdraws one retry from the budget. If the budget is spent, it records that and returns false.
func (h *Handler) spendRetry(q *request) bool {
	if h.RetryBudget.Withdraw() {
		return true
	}
	h.Record(event.Event{Code: event.RetryBudgetSpent, Request: q.id})
	return false
}

// requestBody is the body of a request: complete, or its first part and a reader of the rest.
type requestBody struct {
	head []byte
	rest *restReader // nil if head is the complete body
}

// restReader reads the rest of a body that is too long to be kept for a retry.
type restReader struct {
	io.Reader
	started bool // whether reading has started, after which no retry is possible
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	r.started = true
	return r.Reader.Read(p)
}

// readBody reads up to limit bytes of a request body. If there are as many, the rest of the body is read while it is
// sent.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (requestBody, error) {
	head, err := readLimited(w, r, limit)
	if err != nil {
		return requestBody{}, err
	}
	if int64(len(head)) < limit {
		return requestBody{head: head}, nil
	}
	return requestBody{head: head, rest: &restReader{Reader: r.Body}}, nil
}

// reader returns a reader of the complete body.
func (b requestBody) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.head)
	}
	return io.MultiReader(bytes.NewReader(b.head), b.rest)
}

// newServiceRequest returns the request to send to a server of a service, without the caller's hop-by-hop headers.
func newServiceRequest(r *http.Request, server rule.Server, body io.Reader) *http.Request {
	target := &url.URL{Scheme: "http", Host: server.At, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	out := &http.Request{
		Method:        r.Method,
		URL:           target,
		Header:        r.Header.Clone(),
		Body:          io.NopCloser(body),
		ContentLength: r.ContentLength,
		Host:          r.Host,
		Trailer:       r.Trailer,
	}
	if complete, ok := body.(*bytes.Reader); ok {
		out.ContentLength = int64(complete.Len())
		out.TransferEncoding = nil
		if complete.Len() == 0 {
			out.Body = http.NoBody
		}
	}
	removeHopByHopHeaders(out.Header)
	return out
}

// removeHopByHopHeaders removes the headers of one connection, including those that the Connection header names.
func removeHopByHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
