package limit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"teaselgate/event"
	"teaselgate/outcome"
)

// retryDelay is when a caller that was refused for lack of connections or memory may retry.
const retryDelay = time.Second

// Handler limits how long each request waits for its caller, and how much memory request bodies take. It refuses the
// requests on connections above the limit of a Listener. Its exported fields are set before it serves.
type Handler struct {
	Next              http.Handler
	StallTimeout      time.Duration // longest time to wait for a caller that transfers nothing
	MinBytesPerSecond int64         // average rate below which a caller counts as stalled
	MaxBodyBytes      int64
	Memory            *Memory                // for request bodies that are held as a whole
	IsBuffered        func(path string) bool // reports whether request bodies for a path are held in memory as a whole
	Record            func(event.Event)
	Now               func() time.Time
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if beginRequest(r.Context()) {
		w.Header().Set("Connection", "close")
		h.refuse(w, outcome.NewRefusal(http.StatusServiceUnavailable, "too-many-connections",
			"the instance has too many connections").WithRetryAt(h.Now().Add(retryDelay)))
		return
	}
	if r.ContentLength > h.MaxBodyBytes {
		w.Header().Set("Connection", "close")
		h.refuse(w, outcome.NewRefusal(http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large"))
		return
	}
	control := http.NewResponseController(w)
	// A keep-alive connection may still have the write deadline of the previous response.
	_ = control.SetWriteDeadline(time.Time{})
	if r.Body != nil && r.Body != http.NoBody {
		body := &bodyReader{
			ReadCloser: r.Body, handler: h, control: control,
			waitBudget: newWaitBudget(h.StallTimeout, h.MinBytesPerSecond),
		}
		// This deadline also applies when the server discards a body that the handler does not read.
		_ = control.SetReadDeadline(body.waitBudget.deadline(h.Now()))
		body.isBuffered = h.IsBuffered(r.URL.Path)
		if body.isBuffered && !h.Memory.Fits(max(r.ContentLength, 0)) {
			w.Header().Set("Connection", "close") // the body is not read
			h.refuse(w, h.tooManyBodies())
			return
		}
		defer body.end()
		r.Body = http.MaxBytesReader(w, body, h.MaxBodyBytes)
	}
	out := &responseWriter{
		ResponseWriter: w, handler: h, control: control,
		waitBudget: newWaitBudget(h.StallTimeout, h.MinBytesPerSecond),
	}
	defer out.end()
	h.Next.ServeHTTP(out, r)
}

func (h *Handler) refuse(w http.ResponseWriter, refusal *outcome.Refusal) {
	h.Record(event.Event{Code: event.RequestRefused, Detail: refusal.Code + " " + string(refusal.Outcome)})
	refusal.Write(w, h.Now())
}

// recordStall records an event if err reports that a read or write deadline passed.
func (h *Handler) recordStall(err error, detail string) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		h.Record(event.Event{Code: event.CallerStalled, Detail: detail})
	}
}

// bodyReader reads a request body within its wait budget.
type bodyReader struct {
	io.ReadCloser
	handler    *Handler
	control    *http.ResponseController
	waitBudget *waitBudget
	isBuffered bool // whether the body counts against Memory

	mu       sync.Mutex
	ended    bool  // whether the request has ended
	buffered int64 // bytes reserved in handler.Memory
}

// end releases the memory of the body. From then on, reads fail without touching the connection, which may already
// serve the next request while an HTTP transport still reads this body.
func (b *bodyReader) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.handler.Memory.Release(b.buffered)
}

// setDeadline sets the deadline of the next read unless the request has ended, and reports whether it did.
func (b *bodyReader) setDeadline(at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		_ = b.control.SetReadDeadline(at)
	}
	return !b.ended
}

// reserve takes memory for n bytes of a buffered body, and returns a refusal if there is none.
func (b *bodyReader) reserve(n int) error {
	if !b.isBuffered {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return nil
	}
	if b.handler.Memory.Reserve(int64(n)) {
		b.buffered += int64(n)
		return nil
	}
	return b.handler.tooManyBodies()
}

func (h *Handler) tooManyBodies() *outcome.Refusal {
	return outcome.NewRefusal(http.StatusServiceUnavailable, "too-many-bodies",
		"the instance holds too many request bodies").WithRetryAt(h.Now().Add(retryDelay))
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	start := b.handler.Now()
	if !b.setDeadline(b.waitBudget.deadline(start)) {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.ReadCloser.Read(p)
	b.waitBudget.spend(b.handler.Now().Sub(start), n)
	if errors.Is(err, io.EOF) {
		// The server keeps reading in the background to notice that the caller disconnects.
		b.setDeadline(time.Time{})
	} else if err != nil {
		b.handler.recordStall(err, "body")
	}
	if refusal := b.reserve(n); refusal != nil {
		return n, refusal
	}
	return n, err
}

// responseWriter writes a response within its wait budget.
type responseWriter struct {
	http.ResponseWriter
	handler    *Handler
	control    *http.ResponseController
	waitBudget *waitBudget
}

// Unwrap lets http.ResponseController find the server's writer.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer.
func (w *responseWriter) Write(p []byte) (int, error) {
	var n int
	err := w.withDeadline(func() (int, error) {
		var err error
		n, err = w.ResponseWriter.Write(p)
		return n, err
	})
	return n, err
}

// FlushError sends what is buffered.
func (w *responseWriter) FlushError() error {
	return w.withDeadline(func() (int, error) { return 0, w.control.Flush() })
}

// withDeadline runs a step that may block on the caller. It clears the deadline afterwards, because HTTP/2 resets a
// stream whose deadline passes between two writes.
func (w *responseWriter) withDeadline(step func() (int, error)) error {
	start := w.handler.Now()
	_ = w.control.SetWriteDeadline(w.waitBudget.deadline(start))
	n, err := step()
	w.waitBudget.spend(w.handler.Now().Sub(start), n)
	_ = w.control.SetWriteDeadline(time.Time{})
	if err != nil {
		w.handler.recordStall(err, "answer")
	}
	return err
}

// end sets the deadline of the server's last flush, which follows the handler.
func (w *responseWriter) end() {
	_ = w.control.SetWriteDeadline(w.waitBudget.deadline(w.handler.Now()))
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// beginRequest records that the handler of a request begins, and reports whether its connection is above the limit.
func beginRequest(ctx context.Context) (overLimit bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	c.served()
	return c.overLimit
}
