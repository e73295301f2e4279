package limit

import (
	"net"
	"net/http"
	"time"

	"teaselgate/event"
	"teaselgate/option"
)

// NewServer makes an HTTP server for callers with all bounds of the settings; buffered tells for which paths a body is
// held whole.
func NewServer(next http.Handler, bounds option.Limit, buffered func(path string) bool, record func(event.Event)) *http.Server {
	return &http.Server{
		Handler: &Handler{
			Next:              next,
			StallTimeout:      bounds.Stall,
			MinBytesPerSecond: bounds.Pace,
			MaxBodyBytes:      bounds.Body,
			MaxBufferedBytes:  bounds.Memory,
			IsBuffered:        buffered,
			Record:            record,
			Now:               time.Now,
		},
		ReadHeaderTimeout: bounds.Begin,
		IdleTimeout:       bounds.Idle,
		MaxHeaderBytes:    bounds.Header,
	}
}

// NewServerListener counts the connections of a server's listener; the server must serve on what it returns.
func NewServerListener(server *http.Server, inner net.Listener, connections int, record func(event.Event)) *Listener {
	l := NewListener(inner, connections, record)
	server.ConnState, server.ConnContext = l.ConnState, l.ConnContext
	return l
}
