package instance

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"time"
)

// Limits of the listeners.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// callerServer makes the HTTP server for callers.
func (i *Instance) callerServer() *http.Server {
	return &http.Server{
		Handler:           i.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// adminServer makes the HTTP server for operators.
func (i *Instance) adminServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /ready", i.getReady)
	mux.HandleFunc("GET /events", i.requireAdmin(i.getEvents))
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
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
