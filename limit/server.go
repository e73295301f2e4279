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

// WrapListener returns a listener that limits the open connections of a server. The server must serve on it.
func WrapListener(server *http.Server, inner net.Listener, maxConnections int, record func(event.Event)) *Listener {
	l := NewListener(inner, maxConnections, record)
	server.ConnState, server.ConnContext = l.ConnState, l.ConnContext
	return l
}
