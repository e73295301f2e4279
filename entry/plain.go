package entry

import (
	"errors"
	"io"
	"net/http"
	"net/url"

	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/rule"
	"teaselgate/service"
)

const (
	plainCallTokens  = 1 // charge of a call to a plain service
	maxPlainAttempts = 3
	copyBufferBytes  = 32 << 10
)

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// servePlain passes a call on to a plain service and its answer back.
func (h *Handler) servePlain(w http.ResponseWriter, r *http.Request, c *call) {
	charge, err := h.admit(r.Context(), c, plainCallTokens)
	if err != nil {
		h.refuse(w, c, err)
		return
	}
	resp, err := h.callService(r, c)
	if err != nil {
		charge.Settle(0)
		h.refuse(w, c, err)
		return
	}
	charge.Settle(plainCallTokens)
	defer resp.Body.Close()
	h.copyAnswer(w, c, resp)
}

// callService tries servers until one answers, as far as the class of the call allows.
func (h *Handler) callService(r *http.Request, c *call) (*http.Response, error) {
	once := c.route.Calls == rule.Once
	var tried []string
	for {
		server, err := h.PickPlain(c.route.Pool, tried)
		if err != nil {
			return nil, outcome.Refuse(http.StatusServiceUnavailable, "no-server", "no backend server is live")
		}
		tried = append(tried, server.Server)
		start := h.Now()
		resp, err := h.Services.Do(r.Context(), serviceRequest(r, server), once)
		h.PlainDone(server.Server, h.Now().Sub(start), err != nil && r.Context().Err() == nil)
		if err == nil {
			return resp, nil
		}
		h.Record(event.Event{Code: event.RequestFailed, Request: c.id, Server: server.Server, Detail: err.Error()})
		notRun := errors.Is(err, service.ErrUnreachable)
		if len(tried) < maxPlainAttempts && notRun {
			continue
		}
		if notRun {
			return nil, outcome.Refuse(http.StatusBadGateway, "unreachable", "the backend server can't be reached")
		}
		return nil, err
	}
}

func serviceRequest(r *http.Request, server rule.Server) *http.Request {
	target := &url.URL{Scheme: "http", Host: server.At, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	out := &http.Request{
		Method:        r.Method,
		URL:           target,
		Header:        r.Header.Clone(),
		Body:          r.Body,
		ContentLength: r.ContentLength,
		Host:          r.Host,
		Trailer:       r.Trailer,
	}
	removeHopHeaders(out.Header)
	return out
}

func removeHopHeaders(h http.Header) {
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// copyAnswer streams a service's answer; one that breaks off is visibly broken for the caller too.
func (h *Handler) copyAnswer(w http.ResponseWriter, c *call, resp *http.Response) {
	removeHopHeaders(resp.Header)
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	controller := http.NewResponseController(w)
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buffer)
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			return
		}
		_ = controller.Flush()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			h.Record(event.Event{Code: event.RequestFailed, Request: c.id, Detail: err.Error()})
			panic(http.ErrAbortHandler)
		}
	}
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
	h.Record(event.Event{Code: event.RequestDone, Request: c.id, Account: c.account.Account})
}
