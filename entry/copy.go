package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"teaselgate/event"
	"teaselgate/outcome"
)

// Timing of the exchange with a caller.
const (
	writeTimeout = 10 * time.Second // for one chunk to a slow caller
	bodyTimeout  = 30 * time.Second // for the whole body of a request
)

// copyBuffers holds the buffers of answers in progress.
var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferBytes)
	return &buffer
}}

// readLimited reads up to limit bytes of a request's body, within a deadline.
func readLimited(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	text, err := io.ReadAll(io.LimitReader(r.Body, limit))
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
	return text, nil
}

// chunkTimeout returns the time that a caller has for one chunk.
func (h *Handler) chunkTimeout() time.Duration {
	if h.WriteTimeout > 0 {
		return h.WriteTimeout
	}
	return writeTimeout
}

// copyHeader passes the header of a service's answer on.
func copyHeader(w http.ResponseWriter, resp *http.Response) {
	removeHopHeaders(resp.Header)
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
}

// copyAnswer streams a service's answer; one that breaks off is visibly broken for the caller too.
func (h *Handler) copyAnswer(w http.ResponseWriter, c *call, resp *http.Response) {
	copyHeader(w, resp)
	controller := http.NewResponseController(w)
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buffer := *pooled
	for {
		n, err := resp.Body.Read(buffer)
		_ = controller.SetWriteDeadline(time.Now().Add(h.chunkTimeout()))
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			h.Record(event.Event{Code: event.RequestCancelled, Request: c.id, Account: c.account.Account})
			panic(http.ErrAbortHandler)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			h.Record(event.Event{Code: event.ResponseInterrupted, Request: c.id, Detail: err.Error()})
			panic(http.ErrAbortHandler)
		}
		_ = controller.Flush()
	}
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
	h.Record(event.Event{Code: event.RequestCompleted, Request: c.id, Account: c.account.Account})
}

// prefixed is a body of which a part was read before.
type prefixed struct {
	io.Reader
	io.Closer
}

func readerOf(text []byte) io.Reader { return bytes.NewReader(text) }
