package instance

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"teaselgate/certificate"
	"teaselgate/limit"
)

// Limits of the admin listener.
const (
	adminHeaderTimeout  = 5 * time.Second
	adminWriteTimeout   = 30 * time.Second
	adminMaxHeaderBytes = 64 << 10
	adminMaxBodyBytes   = 64 << 10
)

// callerServer makes the HTTP server for callers, and the listener that bounds their connections.
func (i *Instance) callerServer() (*http.Server, net.Listener) {
	server := limit.NewServer(i.handler, i.Options.Limit, i.events.Record)
	server.ErrorLog = i.serverLog()
	return server, limit.Bound(server, i.listeners.caller, i.Options.Limit.Connections, i.events.Record)
}

// serveHTTP serves on a listener, by TLS if there is a certificate.
func serveHTTP(server *http.Server, listener net.Listener, secure *certificate.Store) error {
	if secure == nil {
		return server.Serve(listener)
	}
	server.TLSConfig = secure.Server()
	return server.ServeTLS(listener, "", "")
}

// serverLog passes the notes of net/http on at the lowest level; callers cause most of them.
func (i *Instance) serverLog() *log.Logger {
	out := i.Log
	if out == nil {
		out = logrus.New()
		out.SetOutput(io.Discard)
	}
	return log.New(debugWriter{out}, "", 0)
}

// debugWriter logs each line at the debug level.
type debugWriter struct{ log *logrus.Logger }

// Write implements io.Writer.
func (d debugWriter) Write(p []byte) (int, error) {
	d.log.Debug(strings.TrimSpace(string(p)))
	return len(p), nil
}

// adminServer makes the HTTP server for operators.
func (i *Instance) adminServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /ready", i.getReady)
	mux.HandleFunc("GET /events", i.requireAdmin(i.getEvents))
	return &http.Server{
		Handler:           http.MaxBytesHandler(mux, adminMaxBodyBytes),
		ReadHeaderTimeout: adminHeaderTimeout,
		ReadTimeout:       adminHeaderTimeout,
		WriteTimeout:      adminWriteTimeout,
		MaxHeaderBytes:    adminMaxHeaderBytes,
		ErrorLog:          i.serverLog(),
	}
}

func (i *Instance) getReady(w http.ResponseWriter, _ *http.Request) {
	if i.leaving.Load() || i.rules.Current() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (i *Instance) getEvents(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(i.events.Events())
}

// requireAdmin lets only holders of the operators' token pass.
func (i *Instance) requireAdmin(next http.HandlerFunc) http.HandlerFunc {
	want := []byte("Bearer " + i.Tokens.Admin)
	return func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "bad token", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}
