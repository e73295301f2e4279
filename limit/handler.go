package limit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/event"
	"teaselgate/outcome"
)

// retryAfter is when a caller refused for want of connections or memory may come back.
const retryAfter = time.Second

// Handler bounds how long each request waits for its caller. Its exported fields are set before it serves.
type Handler struct {
	Next              http.Handler
	StallTimeout      time.Duration
	MinBytesPerSecond int64                  // bytes per second
	MaxBodyBytes      int64                  // bytes
	MaxBufferedBytes  int64                  // bytes of bodies that are held at once
	IsBuffered        func(path string) bool // whether the body of a request to a path is held whole
	Record            func(event.Event)
	Now               func() time.Time

	held atomic.Int64 // bytes
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if isCrowded(r.Context()) {
		w.Header().Set("Connection", "close")
		h.refuse(w, outcome.NewRefusal(http.StatusServiceUnavailable, "too-many-connections", "the instance has too many connections").
			WithRetryAt(h.Now().Add(retryAfter)))
		return
	}
	if r.ContentLength > h.MaxBodyBytes {
		w.Header().Set("Connection", "close")
		h.refuse(w, outcome.NewRefusal(http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large"))
		return
	}
	control := http.NewResponseController(w)
	// A keep-alive connection may still carry the deadline of the answer before.
	_ = control.SetWriteDeadline(time.Time{})
	if r.Body != nil && r.Body != http.NoBody {
		body := &bodyReader{ReadCloser: r.Body, handler: h, control: control, pacer: newPacer(h.StallTimeout, h.MinBytesPerSecond)}
		// Also bounds what the server discards of a body that nobody reads.
		_ = control.SetReadDeadline(body.pacer.deadline(h.Now()))
		body.buffered = h.IsBuffered(r.URL.Path)
		defer body.end()
		r.Body = http.MaxBytesReader(w, body, h.MaxBodyBytes)
	}
	out := &answerWriter{ResponseWriter: w, handler: h, control: control, pacer: newPacer(h.StallTimeout, h.MinBytesPerSecond)}
	defer out.end()
	h.Next.ServeHTTP(out, r)
}

func (h *Handler) refuse(w http.ResponseWriter, refusal *outcome.Refusal) {
	h.Record(event.Event{Code: event.RequestRefused, Detail: refusal.Code + " " + string(refusal.Outcome)})
	refusal.Write(w, h.Now())
}

func (h *Handler) noteStall(err error, detail string) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		h.Record(event.Event{Code: event.CallerStalled, Detail: detail})
	}
}

// bodyReader reads a request's body within the pacer's deadline.
type bodyReader struct {
	io.ReadCloser
	handler  *Handler
	control  *http.ResponseController
	pacer    *pacer
	buffered bool

	mu    sync.Mutex
	ended bool
	held  int64 // bytes
}

// end gives the memory of the body back. A transport that still reads may not touch the connection any more, which
// may already serve the next request.
func (b *bodyReader) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.handler.held.Add(-b.held)
}

// setDeadline bounds the next read; it returns false once the request has ended.
func (b *bodyReader) setDeadline(at time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		_ = b.control.SetReadDeadline(at)
	}
	return !b.ended
}

// hold counts bytes of a body that is kept, and refuses those above the bound.
func (b *bodyReader) hold(n int) error {
	if !b.buffered {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return nil
	}
	b.held += int64(n)
	if b.handler.held.Add(int64(n)) <= b.handler.MaxBufferedBytes {
		return nil
	}
	return outcome.NewRefusal(http.StatusServiceUnavailable, "too-many-bodies", "the instance holds too many request bodies").
		WithRetryAt(b.handler.Now().Add(retryAfter))
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	start := b.handler.Now()
	if !b.setDeadline(b.pacer.deadline(start)) {
		return 0, http.ErrBodyReadAfterClose
	}
	n, err := b.ReadCloser.Read(p)
	b.pacer.spend(b.handler.Now().Sub(start), n)
	if errors.Is(err, io.EOF) {
		// The server reads on in the background, to notice a caller that goes away.
		b.setDeadline(time.Time{})
	} else if err != nil {
		b.handler.noteStall(err, "body")
	}
	if refusal := b.hold(n); refusal != nil {
		return n, refusal
	}
	return n, err
}

// answerWriter writes an answer within the pacer's deadline.
type answerWriter struct {
	http.ResponseWriter
	handler *Handler
	control *http.ResponseController
	pacer   *pacer
}

// Unwrap lets http.ResponseController find the server's writer.
func (a *answerWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// Write implements io.Writer.
func (a *answerWriter) Write(p []byte) (int, error) {
	var n int
	err := a.wait(func() (int, error) {
		var err error
		n, err = a.ResponseWriter.Write(p)
		return n, err
	})
	return n, err
}

// FlushError sends what is buffered.
func (a *answerWriter) FlushError() error {
	return a.wait(func() (int, error) { return 0, a.control.Flush() })
}

// wait runs a step that may block on the caller. The deadline is lifted again afterwards, since HTTP/2 resets a
// stream whose deadline passes between two writes.
func (a *answerWriter) wait(step func() (int, error)) error {
	start := a.handler.Now()
	_ = a.control.SetWriteDeadline(a.pacer.deadline(start))
	n, err := step()
	a.pacer.spend(a.handler.Now().Sub(start), n)
	_ = a.control.SetWriteDeadline(time.Time{})
	if err != nil {
		a.handler.noteStall(err, "answer")
	}
	return err
}

// end bounds the server's last flush, which follows the handler.
func (a *answerWriter) end() {
	_ = a.control.SetWriteDeadline(a.pacer.deadline(a.handler.Now()))
}

type crowdedKey struct{}

func isCrowded(ctx context.Context) bool {
	crowded, _ := ctx.Value(crowdedKey{}).(bool)
	return crowded
}
