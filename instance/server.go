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
	"teaselgate/config"
	"teaselgate/limit"
	"teaselgate/metric"
	"teaselgate/platform"
	"teaselgate/preview"
	"teaselgate/rule"
	"teaselgate/timeline"
)

// Limits of the admin listener. All but the body limit apply to the metrics listener too.
const (
	adminReadTimeout    = 5 * time.Second
	adminWriteTimeout   = 30 * time.Second
	adminMaxHeaderBytes = 64 << 10
	adminMaxBodyBytes   = 64 << 10
)

// newCallerServer returns the HTTP server for callers. It also sets requestMetrics and limitedListener.
func (i *Instance) newCallerServer() *http.Server {
	server := limit.NewServer(i.handler, i.Options.Limit, i.memory, i.isBodyBuffered, i.events.Record)
	i.requestMetrics = &metric.Handler{Next: server.Handler, Metrics: i.metrics, Route: i.routeName, Now: time.Now}
	server.Handler = i.requestMetrics
	server.ErrorLog = i.newServerLog()
	i.limitedListener = limit.WrapListener(server, i.listeners.caller, i.shares.Connections, i.events.Record)
	i.limitedListener.Heads = limit.NewMemory(i.shares.Heads)
	i.useTLS(server, i.limitedListener, i.callerTLS)
	if i.registry != nil {
		if i.callerTLS == nil {
			server.MaxHeaderBytes = max(server.MaxHeaderBytes, maxStoreHeaderBytes)
		}
		i.limitedListener.HeadLimit, i.limitedListener.HeadTimeout = i.headLimit, i.headTimeout
		i.limitedListener.IdleTimeout = i.idleTimeout
	}
	return server
}

// maxStoreHeaderBytes is the largest request header that the operator's configuration can allow. With TLS it is that of the
// settings, as HTTP/2 parses a whole header before its length can be compared.
const maxStoreHeaderBytes = 1 << 20

// headTimeoutMargin is how much longer than the operator's limit a header may take, for the network.
const headTimeoutMargin = time.Second

// callerLimits returns the operator's limits, which are zero where the operator names none.
func (i *Instance) callerLimits() platform.Limits {
	if view := i.registry.Current(); view != nil {
		return view.Configuration.Limits
	}
	return platform.Limits{}
}

// headLimit returns the largest request header in bytes.
func (i *Instance) headLimit() int64 {
	if bytes := i.callerLimits().HeaderBytes; bytes > 0 {
		return bytes
	}
	return int64(i.Options.Limit.Header)
}

// headTimeout returns the time to send a request header.
func (i *Instance) headTimeout() time.Duration {
	if timeout := i.callerLimits().HeaderTimeout; timeout > 0 {
		return timeout + headTimeoutMargin
	}
	return i.Options.Limit.Begin
}

// idleTimeout returns the time after which an idle connection is closed.
func (i *Instance) idleTimeout() time.Duration {
	if timeout := i.callerLimits().IdleTimeout; timeout > 0 {
		return timeout
	}
	return i.Options.Limit.Idle
}

// Limits of a connection over HTTP/2.
const (
	http2Streams      = 64
	http2BufferBytes  = 64 << 10 // of bodies that were not read yet
	http2FrameBytes   = 16 << 10
	http2StreamBuffer = 32 << 10
)

// useTLS lets a listener use TLS unless certificates is nil. The server gets the connections in plain text, so that the
// listener can count what callers send.
func (i *Instance) useTLS(server *http.Server, listener *limit.Listener, certificates *certificate.Store) {
	if certificates == nil {
		return
	}
	listener.TLS = certificates.ServerConfig()
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	server.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: http2Streams, MaxReadFrameSize: http2FrameBytes,
		MaxReceiveBufferPerConnection: http2BufferBytes, MaxReceiveBufferPerStream: http2StreamBuffer,
	}
}

// limitOperators returns a listener that limits the connections of operators or metrics collectors. The server must serve on
// it.
func (i *Instance) limitOperators(server *http.Server, inner net.Listener, certificates *certificate.Store) *limit.Listener {
	listener := limit.WrapListener(server, inner, i.shares.Operators, i.events.Record)
	listener.Heads = limit.NewMemory(i.shares.OperatorHeads)
	i.useTLS(server, listener, certificates)
	return listener
}

// route returns the route of a path, or an empty one if there is none.
func (i *Instance) route(path string) rule.Route {
	revision := i.rules.Current()
	if revision == nil {
		return rule.Route{}
	}
	route, _ := revision.Rules.Route(path)
	return route
}

// routeName returns the name of a path's route in the metrics.
func (i *Instance) routeName(path string) string {
	if i.registry != nil {
		return i.storeRouteName(path)
	}
	return i.route(path).Route
}

// isBodyBuffered reports whether request bodies for a path are held in memory as a whole. Bodies for plain services are
// streamed, unless the configuration comes from the platform store.
func (i *Instance) isBodyBuffered(path string) bool {
	return i.registry != nil || i.route(path).Model != ""
}

// newServerLog returns a logger for the messages of net/http. It logs at debug level, since callers cause most of them.
func (i *Instance) newServerLog() *log.Logger {
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

// newAdminServer returns the HTTP server for operators.
func (i *Instance) newAdminServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", i.serveReady)
	mux.HandleFunc("GET /health", i.requireAdminToken(i.serveHealth))
	mux.HandleFunc("GET /metrics", i.requireAdminToken(i.metrics.ServeHTTP))
	mux.HandleFunc("GET /events", i.requireAdminToken(i.serveEvents))
	mux.HandleFunc("GET "+preview.Path, i.requireAdminToken(i.servePreview))
	mux.HandleFunc("GET "+config.StatusPath, i.requireAdminToken(i.serveStatus))
	if i.registry == nil {
		mux.HandleFunc("POST /evict", i.requireAdminToken(i.allowance.ServeEvict))
	}
	return i.newOperatorServer(http.MaxBytesHandler(mux, adminMaxBodyBytes))
}

// newMetricsServer returns the HTTP server for metrics collectors, which need no token.
func (i *Instance) newMetricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", i.metrics.ServeHTTP)
	return i.newOperatorServer(mux)
}

// newOperatorServer returns an HTTP server with the limits for operators and metrics collectors.
func (i *Instance) newOperatorServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           limit.TrackRequests(handler),
		ReadHeaderTimeout: adminReadTimeout,
		ReadTimeout:       adminReadTimeout,
		WriteTimeout:      adminWriteTimeout,
		MaxHeaderBytes:    adminMaxHeaderBytes,
		ErrorLog:          i.newServerLog(),
	}
}

func (i *Instance) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !i.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether the instance is ready for requests.
func (i *Instance) ready() bool {
	if i.registry != nil {
		return !i.leaving.Load() && i.registry.Current() != nil
	}
	return !i.leaving.Load() && i.rules.Current() != nil && i.allowance.Ready()
}

// serveEvents responds with the retained events. The query may limit them to one request, and to a maximum age.
func (i *Instance) serveEvents(w http.ResponseWriter, r *http.Request) {
	filter := timeline.Filter{Request: r.URL.Query().Get("request")}
	if last := r.URL.Query().Get("last"); last != "" {
		var err error
		if filter.MaxAge, err = time.ParseDuration(last); err != nil {
			http.Error(w, "last: must be a time such as 30s", http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(filter.Apply(i.events.Events(), time.Now()))
}

// requireAdminToken rejects requests without the admin token, if one is configured.
func (i *Instance) requireAdminToken(next http.HandlerFunc) http.HandlerFunc {
	if i.Secrets.Admin == "" {
		return next
	}
	want := []byte("Bearer " + i.Secrets.Admin)
	return func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "bad token", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}
