package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"teaselgate/cell"
	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/outcome"
	"teaselgate/platform"
	"teaselgate/registry"
	"teaselgate/rule"
	"teaselgate/slot"
	"teaselgate/standin/backend"
	"teaselgate/standin/bubble"
	"teaselgate/standin/caller"
	"teaselgate/upstream"
)

// Names and addresses of the test environment.
const (
	testKey = "key-of-dala"

	forgedValue   = "forged " + testKey
	plainAddress  = "10.0.0.%d:80"
	engineAddress = "10.0.1.%d:80"
)

// Retry budget of each service.
const (
	budgetShare = 0.2 // retries per request
	budgetBurst = 10  // retries
)

// testSettings are the settings of the test configuration.
var testSettings = caller.Settings{
	Version: 1, PlainTimeout: 600 * time.Millisecond, EngineSlots: 4, EngineKVTokens: 16000, AccountRate: 100000, Key: testKey,
}

// testEnv is a handler with emulated backend servers. It runs in a synctest bubble and uses no network.
type testEnv struct {
	handler *Handler
	plain   []*backend.Server
	prefill []*backend.Server
	decode  []*backend.Server
	servers map[string]*backend.Server      // by address
	down    map[string]bool                 // addresses that refuse connections
	conns   map[string][]net.Conn           // servers' ends of all connections, by address
	budgets map[string]*outcome.RetryBudget // by service
	sent    int                             // requests sent by sendAll
	mu      sync.Mutex
	events  []event.Event

	bytesRead     atomic.Int64 // by the handler from all servers
	configuration *platform.Configuration
	registered    []platform.Server
	view          atomic.Pointer[registry.View]
}

// runInTestEnv runs a test with three plain servers, two prefill engines and two decode engines.
func runInTestEnv(t *testing.T, test func(env *testEnv)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		env := &testEnv{
			servers: make(map[string]*backend.Server), down: make(map[string]bool), conns: make(map[string][]net.Conn),
			budgets: make(map[string]*outcome.RetryBudget),
		}
		for _, service := range []string{caller.PlainService, caller.ModelService} {
			env.budgets[service] = outcome.NewRetryBudget(budgetShare, budgetBurst)
		}
		var registered []platform.Server
		add := func(at string, s *backend.Server, stage platform.Stage) *backend.Server {
			env.servers[at] = s.Init()
			s.OnCrash = func() { env.closeConns(at) }
			service := caller.ModelService
			if stage == platform.NoStage {
				service = caller.PlainService
			}
			registered = append(registered, platform.Server{ID: s.ID, Service: service, Address: at, Zone: "a", Stage: stage})
			return s
		}
		for n := range 3 {
			s := &backend.Server{ID: fmt.Sprintf("s%d", n), Slots: 2, QueueLimit: 2, ServiceTime: 15 * time.Millisecond}
			env.plain = append(env.plain, add(fmt.Sprintf(plainAddress, n), s, platform.NoStage))
		}
		for n := range 2 {
			p := &backend.Server{
				ID: fmt.Sprintf("p%d", n), Stage: "prefill", Slots: 1, QueueLimit: 9, PrefillRate: 33333, HandleLifetime: time.Second / 2,
			}
			env.prefill = append(env.prefill, add(fmt.Sprintf(engineAddress, n), p, platform.Prefill))
			d := &backend.Server{
				ID: fmt.Sprintf("d%d", n), Stage: "decode", Slots: 4, KVTokens: 16000, StreamEvents: 10, EventInterval: 40 * time.Millisecond,
			}
			d.FindServer = func(at string) *backend.Server { return env.servers[at] }
			env.decode = append(env.decode, add(fmt.Sprintf(engineAddress, 10+n), d, platform.Decode))
		}
		var serving sync.WaitGroup
		env.build(ctx, t, registered, &serving)
		test(env)
		stop()
		serving.Wait()
		env.handler.Servers.Close()
	})
}

// build creates the handler and starts the placer of its model requests.
func (env *testEnv) build(ctx context.Context, t *testing.T, registered []platform.Server, serving *sync.WaitGroup) {
	c, err := platform.ReadConfiguration(caller.Configuration(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	env.configuration, env.registered = c, registered
	env.updateView()
	record := func(e event.Event) {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.events = append(env.events, e)
	}
	unpooled := &http.Client{Transport: &http.Transport{
		DialContext:       func(ctx context.Context, _, at string) (net.Conn, error) { return env.dial(ctx, at) },
		DisableKeepAlives: true,
	}}
	engines := &platform.EngineClient{HTTP: unpooled, Orders: unpooled}
	rules := func() *rule.Set { return env.view.Load().Rules }
	calls := cell.EngineCalls{
		Load: func(ctx context.Context, at string) (engine.LoadReport, error) {
			r, err := engines.Report(ctx, at)
			return engine.LoadReport{Slots: r.Running, Pieces: r.KVUsedTokens / 16}, err
		},
		Events: func(ctx context.Context, at string, _ uint64) ([]engine.CacheEvent, error) {
			_, err := engines.Report(ctx, at)
			return nil, err
		},
	}
	placer := cell.NewPlacer(rules, cell.NewHub(rules, calls, record))
	placer.Self = "i1"
	plain := slot.NewPicker(rules)
	plain.Random = rand.New(rand.NewPCG(1, 2)).IntN // safe for concurrent use: called under the picker's lock
	placer.Live = func() []fleet.Member { return []fleet.Member{{Name: "i1"}} }
	placer.Hub.Peers, placer.Hub.Self = func() []fleet.Member { return nil }, "i1"
	serving.Go(func() { _ = placer.Hub.Serve(ctx) })
	serving.Go(func() { _ = placer.Serve(ctx) })
	h := NewHandler()
	serving.Go(func() { _ = h.Quarantine.Serve(ctx) })
	h.Zone, h.Record = "a", record
	h.View = env.view.Load
	client := slot.NewClient(plain, nil)
	h.Place, h.PickServer, h.ReportServerResult = placer.Place, client.Pick, client.Done
	h.UnpickServer, h.Limits = client.Unpick, placer.Hub.Limits
	h.Charge = func(platform.Account, int64) (time.Time, error) { return time.Time{}, nil }
	h.RetryBudget = func(service string) *outcome.RetryBudget { return env.budgets[service] }
	h.Servers = upstream.NewPool()
	h.Servers.KeepAliveTimeout, h.Servers.RequestID = platform.KeepAliveTimeout, platform.ResponseAttemptID
	h.Servers.Dial = func(ctx context.Context, _, at string) (net.Conn, error) { return env.dial(ctx, at) }
	h.Engines = engines
	env.handler = h
}

// updateView puts the configuration and the registered servers in force.
func (env *testEnv) updateView() {
	env.view.Store(registry.NewView(env.configuration, env.registered, registry.EngineSettings{Fenced: true}))
}

// changeServers changes the registered servers and puts them in force.
func (env *testEnv) changeServers(change func(s *platform.Server)) {
	env.registered = slices.Clone(env.registered)
	for n := range env.registered {
		change(&env.registered[n])
	}
	env.updateView()
}

// localPick returns a PickServer with which an instance picks servers by what it alone knows.
func localPick(p *slot.Picker) func(context.Context, string, slot.Ask) (rule.Server, error) {
	return slot.NewClient(p, nil).Pick
}

var errConnRefused = fmt.Errorf("forward: %w", syscall.ECONNREFUSED)

// dial connects to an emulated server through a pipe.
func (env *testEnv) dial(_ context.Context, at string) (net.Conn, error) {
	env.mu.Lock()
	s, ok := env.servers[at]
	down := env.down[at]
	env.mu.Unlock()
	if !ok || down || s.Down() {
		return nil, errConnRefused
	}
	clientConn, serverConn := net.Pipe()
	env.mu.Lock()
	env.conns[at] = append(env.conns[at], serverConn)
	env.mu.Unlock()
	server := &http.Server{Handler: s, IdleTimeout: s.IdleTimeout}
	go func() { _ = server.Serve(&singleConnListener{conn: serverConn}) }()
	return &countedConn{clientConn, &env.bytesRead}, nil
}

// countedConn counts the bytes that are read from it.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// closeConns closes all connections to a server, as its crash does.
func (env *testEnv) closeConns(at string) {
	env.mu.Lock()
	conns := env.conns[at]
	env.conns[at] = nil
	env.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// setDown sets whether an address refuses connections.
func (env *testEnv) setDown(at string, down bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.down[at] = down
}

// address returns the address of a server.
func (env *testEnv) address(server *backend.Server) string {
	for at, s := range env.servers {
		if s == server {
			return at
		}
	}
	return ""
}

// singleConnListener is a listener that accepts one connection.
type singleConnListener struct {
	conn net.Conn
	once sync.Once
}

// Accept implements net.Listener.
func (l *singleConnListener) Accept() (net.Conn, error) {
	var c net.Conn
	l.once.Do(func() { c = l.conn })
	if c == nil {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (l *singleConnListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *singleConnListener) Addr() net.Addr { return l.conn.LocalAddr() }

// testRequest is a request to the handler.
type testRequest struct {
	method, path, id, key, body string
	deadline                    time.Duration
	model                       bool
	forged                      bool          // whether the caller sets headers that only the router may set
	disconnectAfter             time.Duration // time until the caller disconnects; 0 if it does not
	shutdownAfter               time.Duration // time until the shutdown deadline of the instance; 0 if it does not shut down
	parts                       []string      // ids of the shared parts of the prompt; empty for those of the test environment
}

// testResponse is the response that the caller received.
type testResponse struct {
	*httptest.ResponseRecorder
	broken bool // whether the handler aborted the response
	took   time.Duration
}

// send sends a request to the handler and returns the response.
func (env *testEnv) send(req testRequest) testResponse {
	r := httptest.NewRequest(req.method, "http://"+caller.Host+req.path, strings.NewReader(req.body))
	call := caller.Request{ID: req.id, Key: req.key, Deadline: req.deadline}
	if req.model {
		call.PromptTokens, call.MaxOutputTokens, call.LengthHint = 3000, 180, 80
		call.SharedParts = req.parts
	}
	call.SetHeaders(r.Header)
	if req.forged {
		caller.SetForgedHeaders(r.Header, forgedValue)
	}
	ctx, end := context.WithCancelCause(r.Context())
	defer end(nil)
	if req.disconnectAfter > 0 {
		time.AfterFunc(req.disconnectAfter, func() { end(nil) })
	}
	if req.shutdownAfter > 0 {
		time.AfterFunc(req.shutdownAfter, func() { end(outcome.ErrShuttingDown) })
	}
	resp := testResponse{ResponseRecorder: httptest.NewRecorder()}
	start := time.Now()
	func() {
		defer func() { resp.broken = recover() != nil }()
		env.handler.ServeHTTP(resp.ResponseRecorder, r.WithContext(ctx))
	}()
	resp.took = time.Since(start)
	return resp
}

// recordedEvents describes the events recorded for a request.
func (env *testEnv) recordedEvents(id string) []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	var out []string
	for _, e := range env.events {
		if e.Request == id {
			out = append(out, fmt.Sprintf("%d %s %s", e.Code, e.Server, e.Detail))
		}
	}
	return out
}

// orderRequest returns a request of the route whose requests must not be retried.
func orderRequest(id string) testRequest {
	return testRequest{
		method: "POST", path: "/order/1", id: id, key: testKey, body: "one item", deadline: 600 * time.Millisecond,
	}
}

// statusRequest returns a request of the idempotent route.
func statusRequest(id string) testRequest {
	return testRequest{method: "GET", path: "/status/1?x=%20y", id: id, key: testKey, deadline: 600 * time.Millisecond}
}

// streamRequest returns a model request.
func streamRequest(path, id string) testRequest {
	return testRequest{
		method: "POST", path: path, id: id, key: testKey, body: "prompt", deadline: 14 * time.Second, model: true,
	}
}

// draftRequest returns a model request of the route whose streams must not be resumed.
func draftRequest(id string) testRequest { return streamRequest("/draft/1", id) }

// orderStage orders an engine to change its stage and returns the status of its response.
func (env *testEnv) orderStage(t *testing.T, s *backend.Server, stage string, fence uint64) int {
	t.Helper()
	req, err := backend.NewStageOrder(t.Context(), stage, "i1", fence)
	if err != nil {
		t.Fatal(err)
	}
	out := httptest.NewRecorder()
	s.ServeHTTP(out, req)
	return out.Code
}

// sleep waits in the fake time of the synctest bubble.
func sleep(d time.Duration) { <-time.After(d) }

// setFaults sets the faults of all given servers.
func setFaults(servers []*backend.Server, f backend.Faults) {
	for _, s := range servers {
		s.SetFaults(f)
	}
}

// runCount returns how often the servers ran a request.
func runCount(servers []*backend.Server, id string) int {
	n := 0
	for _, s := range servers {
		n += s.Runs(id)
	}
	return n
}

// activeRequests returns the number of requests that the servers are running.
func activeRequests(servers ...[]*backend.Server) int {
	n := 0
	for _, s := range slices.Concat(servers...) {
		n += s.Running()
	}
	return n
}
