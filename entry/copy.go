package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"teaselgate/event"
	"teaselgate/limit"
	"teaselgate/outcome"
)

// Time limits for callers.
const (
	defaultWriteTimeout = 10 * time.Second // for writing one chunk
	bodyReadTimeout     = 30 * time.Second // for reading a request body
)

// copyBuffers holds buffers for copying response bodies.
var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferBytes)
	return &buffer
}}

// readLimited reads up to maxBytes of a request body within bodyReadTimeout.
func readLimited(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	content, err := limit.ReadBody(r.Context(), r.Body, maxBytes)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, badRequest(http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large")
	}
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		return nil, refusal
	}
	if err != nil {
		return nil, badRequest(http.StatusBadRequest, "bad-body", "the body could not be read")
	}
	_ = controller.SetReadDeadline(time.Time{})
	return content, nil
}

// chunkWriteTimeout returns the time limit for writing one chunk to a caller.
func (h *Handler) chunkWriteTimeout() time.Duration {
	if h.WriteTimeout > 0 {
		return h.WriteTimeout
	}
	return defaultWriteTimeout
}

// copyHeader sends the header of a service's response to the caller, without hop-by-hop headers.
func copyHeader(w http.ResponseWriter, resp *http.Response) {
	removeHopByHopHeaders(resp.Header)
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
}

// streamResponse forwards a service's response as it arrives. If it breaks off, the caller's connection is closed, so
// that the response does not look complete.
func (h *Handler) streamResponse(w http.ResponseWriter, q *request, resp *http.Response) {
	copyHeader(w, resp)
	controller := http.NewResponseController(w)
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buffer := *pooled
	for {
		n, err := resp.Body.Read(buffer)
		_ = controller.SetWriteDeadline(time.Now().Add(h.chunkWriteTimeout()))
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			h.Record(event.Event{Code: event.RequestCancelled, Request: q.id, Account: q.account.Account})
			h.reportNoAnswer(context.Background(), q, true, nil)
			panic(http.ErrAbortHandler)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			h.Record(event.Event{Code: event.ResponseInterrupted, Request: q.id, Detail: err.Error()})
			h.reportNoAnswer(context.Background(), q, false, nil)
			panic(http.ErrAbortHandler)
		}
		_ = controller.Flush()
	}
	h.reportAnswered(q)
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
	h.Record(event.Event{Code: event.RequestCompleted, Request: q.id, Account: q.account.Account})
}

// prefixedBody is a body whose first part was read before: the reader returns that part again.
type prefixedBody struct {
	io.Reader
	io.Closer
}

func newBytesReader(content []byte) io.Reader { return bytes.NewReader(content) }
