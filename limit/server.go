package limit

import (
	"net"
	"net/http"
	"time"

	"teaselgate/event"
	"teaselgate/option"
)

// NewServer returns an HTTP server for callers that applies the limits of the settings. The function isBuffered reports
// whether request bodies for a path are held in memory as a whole, for which the memory is.
func NewServer(
	next http.Handler, limits option.Limit, memory *Memory, isBuffered func(path string) bool, record func(event.Event),
) *http.Server {
	return &http.Server{
		Handler: &Handler{
			Next:              next,
			StallTimeout:      limits.Stall,
			MinBytesPerSecond: limits.Pace,
			MaxBodyBytes:      limits.Body,
			Memory:            memory,
			IsBuffered:        isBuffered,
			Record:            record,
			Now:               time.Now,
		},
		ReadHeaderTimeout: limits.Begin,
		IdleTimeout:       limits.Idle,
		MaxHeaderBytes:    limits.Header,
	}
}

// TrackRequests returns a handler that tells the Listener of a connection about the requests on it, for servers other than that
// for callers.
func TrackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if c.beginRequest() != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		release, held := holdStream(c, r)
		if !held {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer release()
		out := &statusWriter{ResponseWriter: w, conn: c}
		next.ServeHTTP(out, r)
		out.finish()
	})
}

// WrapListener returns a listener that limits the open connections of a server. The server must serve on it.
func WrapListener(server *http.Server, inner net.Listener, maxConnections int, record func(event.Event)) *Listener {
	l := NewListener(inner, maxConnections, record)
	server.ConnState, server.ConnContext = l.ConnState, l.ConnContext
	return l
}
