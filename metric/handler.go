package metric

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"teaselgate/outcome"
)

// Outcomes of requests besides those of refusals.
const (
	answered  = "answered"
	broken    = "broken"
	cancelled = "cancelled"
)

// noRoute stands for requests that no route takes, so that paths don't become tags.
const noRoute = "none"

// Handler measures requests. Its exported fields are set before it serves.
type Handler struct {
	Next    http.Handler
	Metrics *Metrics
	Route   func(path string) string // name of the route, empty if there is none
	Now     func() time.Time

	inFlight atomic.Int64
}

// InFlight returns the number of requests that are being answered.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	route := h.Route(r.URL.Path)
	if route == "" {
		route = noRoute
	}
	out := &writer{ResponseWriter: w, handler: h, route: route, start: h.Now(), status: http.StatusOK}
	result := broken // unless the handler returns
	defer func() {
		if r.Context().Err() != nil {
			result = cancelled
		}
		h.Metrics.ObserveRequest(route, result, out.status, h.Now().Sub(out.start))
	}()
	h.Next.ServeHTTP(out, r)
	result = outcomeOf(w.Header())
}

// outcomeOf reads the outcome that a refusal states.
func outcomeOf(header http.Header) string {
	switch o := outcome.Outcome(header.Get(outcome.Header)); o {
	case outcome.NotRun, outcome.Unknown, outcome.Ran:
		return string(o)
	default:
		return answered
	}
}

// writer times the chunks of a streamed answer.
type writer struct {
	http.ResponseWriter
	handler *Handler
	route   string
	start   time.Time
	last    time.Time // of the newest chunk
	status  int
}

// Unwrap lets http.ResponseController find the server's writer.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// FlushError sends a chunk.
func (w *writer) FlushError() error {
	err := http.NewResponseController(w.ResponseWriter).Flush()
	if !strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
		return err
	}
	now := w.handler.Now()
	if w.last.IsZero() {
		w.handler.Metrics.ObserveFirstChunk(w.route, now.Sub(w.start))
	} else {
		w.handler.Metrics.ObserveChunkGap(now.Sub(w.last))
	}
	w.last = now
	return err
}
