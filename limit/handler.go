package limit

import (
	"context"
	"errors"
	"net/http"
	"os"
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
	c, _ := r.Context().Value(connKey{}).(*conn)
	if refusal := h.beginRequest(c, r); refusal != nil {
		w.Header().Set("Connection", "close")
		h.refuse(w, refusal)
		return
	}
	if c != nil && c.listener.isFull() {
		w.Header().Set("Connection", "close") // so that callers take turns
	}
	release, ok := holdStream(c, r)
	if !ok {
		h.refuse(w, errNoHeadMemory.WithRetryAt(h.Now().Add(retryDelay)))
		return
	}
	defer release()
	if r.ContentLength > h.MaxBodyBytes {
		w.Header().Set("Connection", "close")
		h.refuse(w, outcome.NewRefusal(http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large"))
		return
	}
	control := http.NewResponseController(w)
	// A keep-alive connection may still have the write deadline of the previous response.
	_ = control.SetWriteDeadline(time.Time{})
	var body *bodyReader
	if r.Body != nil && r.Body != http.NoBody {
		body = h.newBodyReader(c, r, control)
		// This deadline also applies when the server discards a body that the handler does not read.
		_ = control.SetReadDeadline(body.waitBudget.deadline(h.Now()))
		body.isBuffered = h.IsBuffered(r.URL.Path)
		if body.isBuffered && !body.holder.CanTake(max(r.ContentLength, 0)) {
			w.Header().Set("Connection", "close") // the body is not read
			h.refuse(w, h.tooManyBodies())
			return
		}
		defer body.end()
		r = r.WithContext(context.WithValue(r.Context(), bodyKey{}, body))
		r.Body = http.MaxBytesReader(w, body, h.MaxBodyBytes)
	}
	if c != nil && !r.ProtoAtLeast(1, 1) {
		defer c.resetOnPanic()
	}
	out := &responseWriter{
		statusWriter: &statusWriter{ResponseWriter: w, conn: c}, handler: h, control: control,
		waitBudget: newWaitBudget(h.StallTimeout, h.MinBytesPerSecond),
	}
	defer out.end()
	h.Next.ServeHTTP(out, r)
	out.finish()
	if body != nil && c != nil && c.listener.isCrowded() {
		body.closeUnread(out.Header())
	}
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

// statusWriter tells the Listener of a connection whether a request was answered with success.
type statusWriter struct {
	http.ResponseWriter
	conn        *conn // nil if no Listener accepted it
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status)
	if w.wroteHeader || status < http.StatusOK {
		return
	}
	w.wroteHeader = true
	if w.conn != nil && status < http.StatusBadRequest {
		w.conn.listener.setServed(w.conn)
	}
}

// Write implements io.Writer.
func (w *statusWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// finish records the success of a handler that wrote nothing.
func (w *statusWriter) finish() {
	if !w.wroteHeader && w.conn != nil {
		w.conn.listener.setServed(w.conn)
	}
}

// Unwrap lets http.ResponseController find the server's writer.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// responseWriter writes a response within its wait budget.
type responseWriter struct {
	*statusWriter
	handler    *Handler
	control    *http.ResponseController
	waitBudget *waitBudget
}

// Write implements io.Writer.
func (w *responseWriter) Write(p []byte) (int, error) {
	var n int
	err := w.withDeadline(func() (int, error) {
		var err error
		n, err = w.statusWriter.Write(p)
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

// beginRequest records that the handler of a request begins, and returns a refusal if its connection is above the limit or its
// head is too large. The connection is nil if no Listener accepted it.
func (h *Handler) beginRequest(c *conn, r *http.Request) *outcome.Refusal {
	if c == nil {
		return nil
	}
	if refusal := c.beginRequest(); refusal != nil {
		return refusal.WithRetryAt(h.Now().Add(retryDelay))
	}
	if limit := c.listener.headLimit(); r.ProtoMajor > 1 && limit > 0 {
		if length, _ := parsedHeadSize(r); length > limit+headSlackBytes {
			return errHeadTooLarge
		}
	}
	return nil
}

// holdStream takes the memory of a request over HTTP/2, and reports whether there is any. That of one over HTTP/1 is held by its
// connection.
func holdStream(c *conn, r *http.Request) (release func(), ok bool) {
	if c == nil || r.ProtoMajor == 1 {
		return func() {}, true
	}
	holder := c.listener.Heads.NewHolder(nil)
	length, fields := parsedHeadSize(r)
	return holder.Release, holder.Take(headCost(length, fields) + bytesPerStream)
}
