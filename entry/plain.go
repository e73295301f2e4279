package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"

	"teaselgate/cell"
	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/rule"
	"teaselgate/service"
)

const (
	plainCallTokens  = 1 // charge of a call to a plain service
	maxPlainAttempts = 3
	copyBufferBytes  = 32 << 10
	maxReplayBytes   = 256 << 10 // of a body that is kept for a repeat on another server
)

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// servePlain passes a call on to a plain service and its answer back.
func (h *Handler) servePlain(w http.ResponseWriter, r *http.Request, c *call) {
	charge, err := h.admit(r.Context(), c, plainCallTokens)
	if err != nil {
		h.refuse(w, c, err)
		return
	}
	if c.route.Calls == rule.AtMostOnce {
		err = h.serveOnce(w, r, c)
	} else {
		err = h.serveIdempotent(w, r, c)
	}
	if err != nil {
		charge.Settle(costOf(err, plainCallTokens))
		h.refuse(w, c, err)
		return
	}
	charge.Settle(plainCallTokens)
}

// costOf returns what a call costs its account: nothing only if it is certain not to have run.
func costOf(err error, tokens int) int64 {
	if err != nil && outcome.RefusalFromError(err).Outcome == outcome.NotRun {
		return 0
	}
	return int64(tokens)
}

// serveIdempotent sends a call, again on other servers if need be, until one answers.
func (h *Handler) serveIdempotent(w http.ResponseWriter, r *http.Request, c *call) error {
	body, err := readBody(w, r, maxReplayBytes)
	if err != nil {
		return err
	}
	resp, err := h.callService(r, c, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	h.copyAnswer(w, c, resp)
	return nil
}

// callService tries servers until one answers, within the retry budget.
func (h *Handler) callService(r *http.Request, c *call, body callBody) (*http.Response, error) {
	h.RetryBudget.Deposit()
	var tried []string
	ran := outcome.NotRun
	for {
		if err := h.checkAlive(c); err != nil {
			return nil, outcome.RefusalFromError(err).WithOutcome(ran)
		}
		server, err := h.PickServer(c.route.Pool, tried)
		if err != nil {
			return nil, noServer.WithOutcome(ran)
		}
		tried = append(tried, server.Server)
		start := h.Now()
		resp, err := h.Services.Do(r.Context(), serviceRequest(r, server, body.reader()))
		h.ReportServerResult(server.Server, h.Now().Sub(start), resultOf(r.Context(), resp, err))
		if err == nil {
			return resp, nil
		}
		h.Record(event.Event{Code: event.AttemptFailed, Request: c.id, Server: server.Server, Detail: err.Error()})
		if !errors.Is(err, service.ErrUnreachable) {
			ran = outcome.Unknown
		}
		if !h.mayRepeat(r.Context(), c, err, body, len(tried)) {
			return nil, unreachable.WithOutcome(ran)
		}
	}
}

// resultOf returns the result of a request; a caller that left is not the server's fault.
func resultOf(ctx context.Context, answer *http.Response, err error) cell.Result {
	if err != nil && ctx.Err() != nil {
		return cell.Answered
	}
	return cell.ResultFromResponse(answer, err)
}

// mayRepeat tells whether a failed idempotent call may be sent to another server.
func (h *Handler) mayRepeat(ctx context.Context, c *call, err error, body callBody, tries int) bool {
	if tries == maxPlainAttempts || ctx.Err() != nil {
		return false
	}
	if errors.Is(err, service.ErrUnreachable) {
		return body.rest == nil || !body.rest.begun
	}
	return body.rest == nil && h.spendRetry(c)
}

// spendRetry takes one retry from the budget.
func (h *Handler) spendRetry(c *call) bool {
	if h.RetryBudget.Withdraw() {
		return true
	}
	h.Record(event.Event{Code: event.RetryBudgetSpent, Request: c.id})
	return false
}

// callBody is the body of a call: whole, or its beginning and the rest that is still to be read.
type callBody struct {
	head []byte
	rest *restReader
}

// restReader reads the rest of a body that is too long to be kept.
type restReader struct {
	io.Reader
	begun bool // whether any of it has been read
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	r.begun = true
	return r.Reader.Read(p)
}

// readBody reads a body up to a limit of bytes to keep.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (callBody, error) {
	head, err := readLimited(w, r, limit)
	if err != nil {
		return callBody{}, err
	}
	if int64(len(head)) < limit {
		return callBody{head: head}, nil
	}
	return callBody{head: head, rest: &restReader{Reader: r.Body}}, nil
}

func (b callBody) reader() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.head)
	}
	return io.MultiReader(bytes.NewReader(b.head), b.rest)
}

// serviceRequest makes the request to a service, without what concerns the caller's connection.
func serviceRequest(r *http.Request, server rule.Server, body io.Reader) *http.Request {
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
	if whole, ok := body.(*bytes.Reader); ok {
		out.ContentLength = int64(whole.Len())
		out.TransferEncoding = nil
		if whole.Len() == 0 {
			out.Body = http.NoBody
		}
	}
	removeHopHeaders(out.Header)
	return out
}

func removeHopHeaders(h http.Header) {
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
