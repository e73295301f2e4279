package forward

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"teaselgate/cell"
	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/outcome"
	"teaselgate/platform"
	"teaselgate/registry"
	"teaselgate/rule"
	"teaselgate/standin/backend"
	"teaselgate/standin/caller"
	"teaselgate/upstream"
)

// Names of the tests' deployment.
const (
	secret = "key-of-dala"

	forgedValue = "forged " + secret
	plainAt     = "10.0.0.%d:80"
	engineAt    = "10.0.1.%d:80"
)

// The retry budget of a service.
const (
	budgetShare = 0.2
	budgetBurst = 10
)

// settings are those of the tests' configuration.
var settings = caller.Settings{
	Version: 1, Timeout: 600 * time.Millisecond, Slots: 4, Memory: 16000, Rate: 100000, Key: secret,
}

// world is a handler with emulated backend servers, in fake time and without a network.
type world struct {
	handler *Handler
	plain   []*backend.Server
	prefill []*backend.Server
	decode  []*backend.Server
	servers map[string]*backend.Server      // by address
	down    map[string]bool                 // addresses that refuse connections
	budgets map[string]*outcome.RetryBudget // by service
	sent    int                             // requests of askAll
	mu      sync.Mutex
	events  []event.Event
}

// inWorld runs a test with three plain servers, two prefill and two decode engines.
func inWorld(t *testing.T, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		w := &world{servers: make(map[string]*backend.Server), down: make(map[string]bool), budgets: make(map[string]*outcome.RetryBudget)}
		for _, service := range []string{caller.Plain, caller.Models} {
			w.budgets[service] = outcome.NewRetryBudget(budgetShare, budgetBurst)
		}
		var entries []platform.Server
		add := func(at string, s *backend.Server, stage platform.Stage) *backend.Server {
			w.servers[at] = s.Start()
			service := caller.Models
			if stage == platform.NoStage {
				service = caller.Plain
			}
			entries = append(entries, platform.Server{ID: s.ID, Service: service, Address: at, Zone: "a", Stage: stage})
			return s
		}
		for n := range 3 {
			s := &backend.Server{ID: fmt.Sprintf("s%d", n), Slots: 2, Queue: 2, Work: 15 * time.Millisecond}
			w.plain = append(w.plain, add(fmt.Sprintf(plainAt, n), s, platform.NoStage))
		}
		for n := range 2 {
			p := &backend.Server{ID: fmt.Sprintf("p%d", n), Stage: "prefill", Slots: 1, Queue: 9, Rate: 33333, Hold: time.Second / 2}
			w.prefill = append(w.prefill, add(fmt.Sprintf(engineAt, n), p, platform.Prefill))
			d := &backend.Server{ID: fmt.Sprintf("d%d", n), Stage: "decode", Slots: 4, Memory: 16000, Events: 10, Step: 40 * time.Millisecond}
			d.Sources = func(at string) *backend.Server { return w.servers[at] }
			w.decode = append(w.decode, add(fmt.Sprintf(engineAt, 10+n), d, platform.Decode))
		}
		var serving sync.WaitGroup
		w.build(ctx, t, entries, &serving)
		test(w)
		w.handler.Servers.Close()
		stop()
		serving.Wait()
	})
}

func (w *world) build(ctx context.Context, t *testing.T, entries []platform.Server, serving *sync.WaitGroup) {
	c, err := platform.ReadConfiguration(caller.Configuration(settings))
	if err != nil {
		t.Fatal(err)
	}
	view := registry.NewView(c, entries, registry.EngineSettings{Fenced: true})
	record := func(e event.Event) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.events = append(w.events, e)
	}
	engines := &platform.EngineClient{HTTP: &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, at string) (net.Conn, error) { return w.dial(ctx, at) }, DisableKeepAlives: true,
	}}}
	rules := func() *rule.Set { return view.Rules }
	polls := cell.EngineCalls{
		Load: func(ctx context.Context, at string) (engine.LoadReport, error) {
			r, err := engines.Report(ctx, at)
			return engine.LoadReport{Slots: r.Running, Pieces: r.KVUsedTokens / 16}, err
		},
		Events: func(ctx context.Context, at string, _ uint64) ([]engine.CacheEvent, error) {
			_, err := engines.Report(ctx, at)
			return nil, err
		},
	}
	placer := cell.NewPlacer(rules, cell.NewHub(rules, polls, record))
	placer.Self = "i1"
	placer.Plain.Random = rand.New(rand.NewPCG(1, 2)).IntN // called under the picker's lock
	placer.Live = func() []fleet.Member { return []fleet.Member{{Name: "i1"}} }
	placer.Hub.Peers, placer.Hub.Self = func() []fleet.Member { return nil }, "i1"
	serving.Go(func() { _ = placer.Hub.Serve(ctx) })
	serving.Go(func() { _ = placer.Serve(ctx) })
	h := NewHandler()
	h.Zone, h.Record = "a", record
	h.View = func() *registry.View { return view }
	h.Place, h.PickServer, h.ReportServerResult = placer.Place, placer.Plain.Pick, placer.Plain.RecordResult
	h.Charge = func(platform.Account, int64) (time.Time, error) { return time.Time{}, nil }
	h.RetryBudget = func(service string) *outcome.RetryBudget { return w.budgets[service] }
	h.Servers = upstream.NewPool()
	h.Servers.KeepAliveTimeout, h.Servers.RequestID = platform.KeepAliveTimeout, platform.ResponseAttemptID
	h.Servers.Dial = func(ctx context.Context, _, at string) (net.Conn, error) { return w.dial(ctx, at) }
	h.Engines = engines
	w.handler = h
}

var errRefused = errors.New("forward: connection refused")

// dial connects to an emulated server by a pipe.
func (w *world) dial(_ context.Context, at string) (net.Conn, error) {
	w.mu.Lock()
	s, ok := w.servers[at]
	down := w.down[at]
	w.mu.Unlock()
	if !ok || down {
		return nil, errRefused
	}
	near, far := net.Pipe()
	server := &http.Server{Handler: s, IdleTimeout: s.Idle}
	go func() { _ = server.Serve(&single{conn: far}) }()
	return near, nil
}

// setDown makes an address refuse connections, or accept them again.
func (w *world) setDown(at string, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down[at] = down
}

// addressOf returns the address of a server.
func (w *world) addressOf(server *backend.Server) string {
	for at, s := range w.servers {
		if s == server {
			return at
		}
	}
	return ""
}

// single is a listener for one connection.
type single struct {
	conn net.Conn
	once sync.Once
}

// Accept implements net.Listener.
func (l *single) Accept() (net.Conn, error) {
	var c net.Conn
	l.once.Do(func() { c = l.conn })
	if c == nil {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (l *single) Close() error { return nil }

// Addr implements net.Listener.
func (l *single) Addr() net.Addr { return l.conn.LocalAddr() }

// ask is one request of a test.
type ask struct {
	method, path, id, key, body string
	deadline                    time.Duration
	model                       bool
	forged                      bool          // the caller sets the router's headers
	leave                       time.Duration // after which the caller leaves; 0: it stays
}

// answer is what the caller got.
type answer struct {
	*httptest.ResponseRecorder
	broken bool // the connection was cut
	took   time.Duration
}

func (w *world) ask(a ask) answer {
	r := httptest.NewRequest(a.method, "http://"+caller.Host+a.path, strings.NewReader(a.body))
	mark := caller.Call{ID: a.id, Key: a.key, Deadline: a.deadline}
	if a.model {
		mark.Prompt, mark.Output, mark.Hint = 3000, 180, 80
	}
	mark.Mark(r.Header)
	if a.forged {
		caller.Forge(r.Header, forgedValue)
	}
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	if a.leave > 0 {
		time.AfterFunc(a.leave, stop)
	}
	out := answer{ResponseRecorder: httptest.NewRecorder()}
	start := time.Now()
	func() {
		defer func() { out.broken = recover() != nil }()
		w.handler.ServeHTTP(out.ResponseRecorder, r.WithContext(ctx))
	}()
	out.took = time.Since(start)
	return out
}

// story returns what was recorded of a request.
func (w *world) story(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, e := range w.events {
		if e.Request == id {
			out = append(out, fmt.Sprintf("%d %s %s", e.Code, e.Server, e.Detail))
		}
	}
	return out
}

func order(id string) ask {
	return ask{method: "POST", path: "/order/1", id: id, key: secret, body: "two lambs", deadline: 600 * time.Millisecond}
}

func status(id string) ask {
	return ask{method: "GET", path: "/status/1?x=%20y", id: id, key: secret, deadline: 600 * time.Millisecond}
}

func stream(path, id string) ask {
	return ask{
		method: "POST", path: path, id: id, key: secret, body: "prompt", deadline: 14 * time.Second, model: true,
	}
}

func draft(id string) ask { return stream("/draft/1", id) }

// order gives an engine an order and returns the status of its answer.
func (w *world) order(t *testing.T, s *backend.Server, stage string, fence uint64) int {
	t.Helper()
	req, err := backend.NewOrder(t.Context(), stage, "i1", fence)
	if err != nil {
		t.Fatal(err)
	}
	out := httptest.NewRecorder()
	s.ServeHTTP(out, req)
	return out.Code
}

// pass lets faked time pass.
func pass(d time.Duration) { <-time.After(d) }

// all sets the faults of a group of servers.
func all(servers []*backend.Server, f backend.Faults) {
	for _, s := range servers {
		s.SetFaults(f)
	}
}

func runs(servers []*backend.Server, id string) int {
	n := 0
	for _, s := range servers {
		n += s.Runs(id)
	}
	return n
}

func working(servers ...[]*backend.Server) int {
	n := 0
	for _, s := range slices.Concat(servers...) {
		n += s.Working()
	}
	return n
}
