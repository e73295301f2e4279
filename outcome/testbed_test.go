package outcome_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"teaselgate/account"
	"teaselgate/allowance"
	"teaselgate/cell"
	"teaselgate/config"
	"teaselgate/engine"
	"teaselgate/entry"
	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/platform"
	"teaselgate/quarantine"
	"teaselgate/rule"
	"teaselgate/service"
	"teaselgate/slot"
	"teaselgate/socket"
	standengine "teaselgate/standin/engine"
	"teaselgate/standin/fault"
	standplatform "teaselgate/standin/platform"
	standservice "teaselgate/standin/service"
)

const (
	responseTimeout = 700 * time.Millisecond // after which a backend server counts as unresponsive
	waitSpeedup     = 10                     // divides the waits between retries
	releaseTimeout  = 20 * time.Second       // for instances to end their requests, and engines to release the memory
	faultTokenIndex = 3                      // token at which the faults of the step "token" are injected
	maxTokens       = 8                      // tokens of a completion
	baseRules       = `- {fleet: test, shards: 16}   # test: size
- {pool: prefill, duty: prefill, slots: 1}   # test: engines
- {pool: decode, duty: decode, slots: 20, pieces: 100, fenced: true}   # test: engines
- {pool: service, duty: plain, slots: 64}   # test: services
- {model: chat, prefill: prefill, decode: decode, place: least}   # test: model
- {route: text, path: /v1/completions, model: chat, calls: idempotent, open: no, class: interactive}   # test: model
- {route: orders, path: /orders, pool: service, calls: once, open: no, class: order}   # test: orders
- {route: pass, path: /pass, pool: service, calls: once, open: no, class: order, outage: pass}   # test: orders in an outage
- {route: weighings, path: /weighings, pool: service, calls: idempotent, open: no, class: interactive}   # test: reads
- {account: dala, rate: 1000000, burst: 1000000, weight: 1}   # test: account
`
)

// testbed runs instances, backend servers and a platform on loopback, all in the test process. The backend servers and
// the platform are stand-ins, in which tests inject faults at named steps.
type testbed struct {
	t               testing.TB
	ctx             context.Context
	mu              sync.Mutex
	revision        config.Revision
	key             string          // API key of the client account
	keyRule         string          // rule that maps the key to the account; empty once the key is withdrawn
	leaving         map[string]bool // names of the backend servers that are leaving
	platform        *standplatform.Server
	host            string // loopback address of all servers
	platformURL     string
	backends        []*backend
	instances       []*instance
	running         sync.WaitGroup // goroutines of the servers and engines
	stops           []func()       // stop the servers and engines
	prefillRequests atomic.Int64   // prefill requests that have reached an engine
	inFlight        atomic.Int64   // HTTP requests in progress at any server
}

// backend is a backend server: an engine or a service.
type backend struct {
	name    string
	pool    string
	address string
	engine  *standengine.Engine
	service *standservice.Service
	server  *http.Server
	killed  atomic.Bool
}

// kill simulates the end of the process of a backend server, which loses what it held in memory.
func (be *backend) kill() {
	be.killed.Store(true)
	be.server.Close()
}

var testbeds atomic.Uint32 // testbeds made by this process

// nextHost returns a loopback address that no other testbed uses: the port of a killed server must not go to a server of another
// test, which would answer in its place.
func nextHost() string {
	const hostsPerNet = 254
	n, process := testbeds.Add(1)-1, os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+process%hostsPerNet, n/hostsPerNet%256, 1+n%hostsPerNet)
}

func newTestbed(t testing.TB, instances int) *testbed {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	b := &testbed{t: t, ctx: ctx, host: nextHost(), leaving: make(map[string]bool), platform: standplatform.NewServer("token")}
	b.stops = append(b.stops, stop)
	address, _ := b.serve(ctx, b.platform.Handler())
	b.platformURL = "http://" + address
	secret, hash := account.NewKey()
	b.key, b.keyRule = secret, fmt.Sprintf("- {key: %q, account: dala}   # test: key\n", hash)
	for _, name := range []string{"p0", "p1", "p2"} {
		b.addEngine(name, "prefill", rule.Prefill)
	}
	for _, name := range []string{"d0", "d1", "d2"} {
		b.addEngine(name, "decode", rule.Decode)
	}
	for _, name := range []string{"s0", "s1", "s2"} {
		s := standservice.NewService()
		be := &backend{name: name, pool: "service", service: s}
		be.address, be.server = b.serve(ctx, s.Handler())
		b.backends = append(b.backends, be)
	}
	b.applyRules()
	for n := range instances {
		b.addInstance(fmt.Sprintf("i%d", n))
	}
	return b
}

func (b *testbed) addEngine(name, pool string, duty rule.Duty) {
	e := standengine.NewEngine(name, duty)
	e.PrefillRate, e.StepBase, e.StepPerStream = 1<<30, 200*time.Microsecond, 0
	e.LinkRate, e.KVLifetime = 1<<50, 3*time.Second
	b.running.Go(func() { _ = e.Run(b.ctx) })
	be := &backend{name: name, pool: pool, engine: e}
	be.address, be.server = b.serve(b.ctx, e.Handler())
	b.backends = append(b.backends, be)
}

// serve starts an HTTP server and returns its address. The contexts of its requests derive from base.
func (b *testbed) serve(base context.Context, handler http.Handler) (string, *http.Server) {
	listener, err := net.Listen("tcp", net.JoinHostPort(b.host, "0"))
	if err != nil {
		b.t.Fatal(err)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b.inFlight.Add(1)
			defer b.inFlight.Add(-1)
			handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: time.Minute,
		BaseContext:       func(net.Listener) context.Context { return base },
	}
	b.running.Go(func() { _ = server.Serve(listener) })
	b.stops = append(b.stops, func() { server.Close() })
	return listener.Addr().String(), server
}

// applyRules publishes a new revision of the rules to all instances.
func (b *testbed) applyRules() {
	b.mu.Lock()
	defer b.mu.Unlock()
	var text strings.Builder
	text.WriteString(baseRules + b.keyRule)
	for _, be := range b.backends {
		state := rule.ServerLive
		if b.leaving[be.name] {
			state = rule.ServerLeaving
		}
		fmt.Fprintf(&text, "- {server: %s, pool: %s, zone: ala-a, at: %q, state: %s}   # test: server\n",
			be.name, be.pool, be.address, state)
	}
	set, problems := rule.Parse("test", []byte(text.String()))
	if len(problems) > 0 {
		b.t.Errorf("unexpected problems in the rules: %v", problems)
	}
	b.revision = config.Revision{Number: b.revision.Number + 1, Rules: set}
}

// withdrawKey removes the caller's API key from the rules.
func (b *testbed) withdrawKey() {
	b.mu.Lock()
	b.keyRule = ""
	b.mu.Unlock()
	b.applyRules()
}

// startLeaving changes the state of a backend server to leaving.
func (b *testbed) startLeaving(be *backend) {
	b.mu.Lock()
	b.leaving[be.name] = true
	b.mu.Unlock()
	b.applyRules()
}

func (b *testbed) currentRevision() *config.Revision {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.revision
	return &r
}

// instance is an instance under test.
type instance struct {
	testbed    *testbed
	owner      string // incarnation
	address    string
	handler    *entry.Handler
	server     *http.Server
	claims     *outcome.ClaimStore
	canceller  *outcome.Canceller
	sweeper    *outcome.Sweeper
	closers    []func() // close the idle connections of the clients
	stop       context.CancelFunc
	background sync.WaitGroup          // goroutines of the claim store and the canceller
	end        context.CancelCauseFunc // ends the callers' requests with a cause
	killed     atomic.Bool
	sweeps     atomic.Int64 // number of sweeps; the sweeper's clock advances by 100 s for each
	mu         sync.Mutex
	dialed     []net.Conn // connections opened so far
}

func (b *testbed) addInstance(name string) {
	inst := &instance{testbed: b, owner: name + "-1"}
	rules := func() *rule.Set { return b.currentRevision().Rules }
	placer, plain := cell.NewPlacer(rules, nil), slot.NewPicker(rules)
	engines, services := engine.NewClient(), service.NewClient()
	engines.Dial, engines.SilenceTimeout = inst.dial, responseTimeout
	services.Dial, services.ResponseTimeout = inst.dial, responseTimeout
	store := platform.NewClient(b.platformURL, "token")
	store.HTTP.Transport = &http.Transport{DialContext: inst.dial}
	inst.closers = []func(){engines.Close, services.Close, store.HTTP.CloseIdleConnections}
	inst.claims = outcome.NewClaimStore(inst.owner, store)
	inst.claims.OwnerEnded, inst.claims.Wait = b.hasEnded, fastWait
	inst.canceller = outcome.NewCanceller(func(ctx context.Context, address, attemptID string) error {
		_, err := engines.Cancel(ctx, address, engine.CancelRequest{Attempt: attemptID})
		return err
	})
	inst.canceller.Wait = fastWait
	inst.handler = &entry.Handler{
		Quarantine: quarantine.NewList(),
		Owner:      inst.owner, Zone: "ala-a", Rules: b.currentRevision,
		Admit: func(context.Context, rule.Account, int64) (*allowance.Charge, time.Time, error) {
			return &allowance.Charge{}, time.Time{}, nil
		},
		Place: placer.Place, PickServer: plain.Pick, ReportServerResult: plain.RecordResult,
		Engines: engines, Services: services, Claims: inst.claims, RetryBudget: outcome.NewDefaultRetryBudget(),
		CancelAttempt: inst.canceller.Cancel, Record: func(event.Event) {}, Now: time.Now, WriteTimeout: responseTimeout,
		AbortDelay: 10 * time.Second,
	}
	inst.sweeper = &outcome.Sweeper{
		Owner:             inst.owner,
		Engines:           b.engineAddresses,
		SelectAssigned:    func(addresses []string) []string { return addresses },
		OwnerState:        inst.ownerState,
		LastMemberFailure: time.Now,
		Connected:         func() bool { return true },
		IsRunning:         inst.handler.Running,
		ListAttempts:      engines.Requests,
		Cancel:            inst.canceller.Cancel,
		Record:            func(event.Event) {},
		Now:               func() time.Time { return time.Unix(100*inst.sweeps.Load(), 0) },
	}
	inst.canceller.OnGiveUp = inst.sweeper.MarkUnconfirmed
	inst.start()
	b.instances = append(b.instances, inst)
}

// start runs the instance's claim store and canceller, and serves callers.
func (inst *instance) start() {
	ctx, stop := context.WithCancel(inst.testbed.ctx)
	inst.stop = stop
	inst.background.Go(func() { _ = inst.claims.Serve(ctx) })
	inst.background.Go(func() { _ = inst.canceller.Serve(ctx) })
	requests, end := context.WithCancelCause(context.Background())
	inst.end = end
	inst.address, inst.server = inst.testbed.serve(requests, inst.handler)
}

// fastWait waits for a shortened time.
func fastWait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d / waitSpeedup)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// dial opens a connection, unless the instance was killed.
func (inst *instance) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := socket.NewDialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.killed.Load() {
		conn.Close()
		return nil, errors.New("the process was killed")
	}
	inst.dialed = append(inst.dialed, conn)
	return conn, nil
}

// kill simulates the end of the process of an instance: it closes all connections and opens no more.
func (inst *instance) kill() {
	inst.server.Close()
	inst.mu.Lock()
	inst.killed.Store(true)
	for _, conn := range inst.dialed {
		conn.Close()
	}
	inst.mu.Unlock()
	inst.stop()
}

// hasEnded reports whether the instance with the given incarnation was killed.
func (b *testbed) hasEnded(owner string) bool {
	for _, inst := range b.instances {
		if inst.owner == owner {
			return inst.killed.Load()
		}
	}
	return false
}

func (inst *instance) ownerState(owner string) outcome.OwnerState {
	if inst.testbed.hasEnded(owner) {
		return outcome.OwnerReplaced
	}
	return outcome.OwnerLive
}

func (b *testbed) engineAddresses() []string {
	var out []string
	for _, be := range b.backends {
		if be.engine != nil {
			out = append(out, be.address)
		}
	}
	return out
}

// injectAt has the stand-ins call inject when a request reaches a step for the first time, and carry out the action
// that inject returns.
func (b *testbed) injectAt(step string, inject func(*backend) fault.Action) {
	var injected atomic.Bool
	for _, be := range b.backends {
		decide := func(s fault.Step) fault.Action {
			if s.Name == standengine.StepPrefill && be.engine != nil {
				b.prefillRequests.Add(1)
			}
			if s.Name != step || s.Name == standengine.StepToken && s.Index != faultTokenIndex || injected.Swap(true) {
				return fault.Pass
			}
			return inject(be)
		}
		if be.engine != nil {
			be.engine.Hook.Set(decide)
		} else {
			be.service.Hook.Set(decide)
		}
	}
	var writes atomic.Int64
	b.platform.Hook.Set(func(s fault.Step) fault.Action {
		if !strings.HasPrefix(s.Subject, "claim-") {
			return fault.Pass
		}
		if s.Name == standplatform.StepWrite {
			writes.Add(1)
		}
		if claimStepName(writes.Load(), s.Name) != step || injected.Swap(true) {
			return fault.Pass
		}
		return inject(nil)
	})
}

// claimStepName returns the name of a step in the nth write of a claim: its creation, the right to send the request,
// or the response.
func claimStepName(write int64, name string) string {
	names := [][2]string{{"claim", "claimed"}, {"send", "sent"}, {"store", "stored"}}
	if write < 1 || int(write) > len(names) {
		return ""
	}
	if name == standplatform.StepWrite {
		return names[write-1][0]
	}
	return names[write-1][1]
}

// runs returns how often a request ran, over all services.
func (b *testbed) runs(id string) int {
	total := 0
	for _, be := range b.backends {
		if be.service != nil {
			total += be.service.Runs()[id]
		}
	}
	return total
}

// heldPieces returns the number of pieces of memory that running engines hold for attempts.
func (b *testbed) heldPieces() int {
	total := 0
	for _, be := range b.backends {
		if be.engine != nil && !be.killed.Load() {
			total += be.engine.UsedPieces()
		}
	}
	return total
}

// checkReleased waits until no engine holds memory for an attempt, and reports an error if one still does or if a key
// has reached a backend server. The instances sweep only if one of them was killed.
func (b *testbed) checkReleased() {
	b.t.Helper()
	ctx, stop := context.WithTimeout(b.ctx, releaseTimeout)
	defer stop()
	sweep := false
	for _, inst := range b.instances {
		sweep = sweep || inst.killed.Load()
	}
	b.waitReleased(ctx, sweep)
	for _, inst := range b.instances {
		if !inst.killed.Load() {
			inst.canceller.Drain(ctx)
		}
	}
	b.waitReleased(ctx, sweep) // again, as a call may reach an engine after its first cancel
	if n := b.heldPieces(); n > 0 {
		b.t.Errorf("unexpected pieces of memory held by engines, got %d instead of 0", n)
	}
	for _, be := range b.backends {
		if be.engine != nil && len(be.engine.LeakedHeaders()) > 0 || be.service != nil && len(be.service.LeakedHeaders()) > 0 {
			b.t.Errorf("unexpected key at backend server %s", be.name)
		}
	}
}

// waitReleased waits until no request is in progress and no engine holds memory for an attempt.
func (b *testbed) waitReleased(ctx context.Context, sweep bool) {
	for (b.heldPieces() > 0 || b.inFlight.Load() > 0) && ctx.Err() == nil {
		for _, inst := range b.instances {
			if sweep && !inst.killed.Load() {
				inst.sweeps.Add(1)
				inst.sweeper.Sweep(ctx)
			}
		}
		_ = fastWait(ctx, 100*time.Millisecond)
	}
}

// close stops all instances and servers.
func (b *testbed) close() {
	for _, inst := range b.instances {
		inst.server.Close()
		inst.stop()
		inst.background.Wait()
		for _, c := range inst.closers {
			c()
		}
	}
	for _, stop := range b.stops {
		stop()
	}
	b.running.Wait()
	http.DefaultClient.CloseIdleConnections() // connections between engines
}
