package metric

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"teaselgate/outcome"
)

// Values of the tag outcome, besides the outcomes that refusals state.
const (
	outcomeAnswered  = "answered"
	outcomeBroken    = "broken"
	outcomeCancelled = "cancelled"
)

// noRoute is the value of the tag route for requests that match no route, so that paths don't become tag values.
const noRoute = "none"

// Handler measures requests. Its exported fields must be set before it serves.
type Handler struct {
	Next    http.Handler
	Metrics *Metrics
	Route   func(path string) string // returns the name of the route, or "" if there is none
	Now     func() time.Time

	inFlight atomic.Int64
}

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	route := h.Route(r.URL.Path)
	if route == "" {
		route = noRoute
	}
	writer := &responseWriter{ResponseWriter: w, handler: h, route: route, start: h.Now(), status: http.StatusOK}
	result := outcomeBroken // if the handler panics
	defer func() {
		if r.Context().Err() != nil {
			result = outcomeCancelled
		}
		h.Metrics.ObserveRequest(route, result, writer.status, h.Now().Sub(writer.start))
	}()
	h.Next.ServeHTTP(writer, r)
	result = outcomeFromHeader(w.Header())
}

// outcomeFromHeader returns the outcome that a refusal states in its header, or outcomeAnswered for other responses.
func outcomeFromHeader(header http.Header) string {
	switch o := outcome.Outcome(header.Get(outcome.Header)); o {
	case outcome.NotRun, outcome.Unknown, outcome.Ran:
		return string(o)
	default:
		return outcomeAnswered
	}
}

// responseWriter records the status of a response and, in a streamed response, the times of its chunks.
type responseWriter struct {
	http.ResponseWriter
	handler   *Handler
	route     string
	start     time.Time
	lastChunk time.Time // time of the last chunk, zero before the first
	status    int
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// FlushError sends a chunk and, in a streamed response, records its time.
func (w *responseWriter) FlushError() error {
	err := http.NewResponseController(w.ResponseWriter).Flush()
	if !strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
		return err
	}
	now := w.handler.Now()
	if w.lastChunk.IsZero() {
		w.handler.Metrics.ObserveFirstChunk(w.route, now.Sub(w.start))
	} else {
		w.handler.Metrics.ObserveChunkGap(now.Sub(w.lastChunk))
	}
	w.lastChunk = now
	return err
}
