package outcome_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
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
	"teaselgate/rule"
	"teaselgate/service"
	"teaselgate/socket"
	standengine "teaselgate/standin/engine"
	"teaselgate/standin/fault"
	standplatform "teaselgate/standin/platform"
	standservice "teaselgate/standin/service"
)

const (
	silence     = 700 * time.Millisecond // after which a backend server counts as silent
	speedup     = 10                     // of the waits between retries
	settleLimit = 20 * time.Second
	midToken    = 3
	maxTokens   = 8
	baseRules   = `- {fleet: test, shards: 16}   # test: size
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

// bench is a small site of instances and stand-ins on loopback, whose parts fail at named steps.
type bench struct {
	t        testing.TB
	ctx      context.Context
	mu       sync.Mutex
	revision config.Revision
	key      string
	keyRule  string
	leaving  map[string]bool // backend servers
	platform *standplatform.Server
	base     string
	backends []*backend
	nodes    []*node
	running  sync.WaitGroup
	stops    []func()
	prefills atomic.Int64 // requests that have reached an engine
	inFlight atomic.Int64 // calls in progress at any part
}

// backend is one backend server.
type backend struct {
	name    string
	pool    string
	at      string
	engine  *standengine.Engine
	service *standservice.Service
	server  *http.Server
	dead    atomic.Bool
}

// kill ends the process of a backend server; what it held is gone.
func (be *backend) kill() {
	be.dead.Store(true)
	be.server.Close()
}

func newBench(t testing.TB, nodes int) *bench {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	b := &bench{t: t, ctx: ctx, leaving: make(map[string]bool), platform: standplatform.NewServer("token")}
	b.stops = append(b.stops, stop)
	at, _ := b.serve(ctx, b.platform.Handler())
	b.base = "http://" + at
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
		be.at, be.server = b.serve(ctx, s.Handler())
		b.backends = append(b.backends, be)
	}
	b.apply()
	for n := range nodes {
		b.addNode(fmt.Sprintf("i%d", n))
	}
	return b
}

func (b *bench) addEngine(name, pool string, duty rule.Duty) {
	e := standengine.NewEngine(name, duty)
	e.PrefillRate, e.StepBase, e.StepPerStream = 1<<30, 200*time.Microsecond, 0
	e.LinkRate, e.KVLife = 1<<50, 3*time.Second
	b.running.Go(func() { _ = e.Run(b.ctx) })
	be := &backend{name: name, pool: pool, engine: e}
	be.at, be.server = b.serve(b.ctx, e.Handler())
	b.backends = append(b.backends, be)
}

func (b *bench) serve(base context.Context, handler http.Handler) (string, *http.Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
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

// apply puts the rules in force at all instances.
func (b *bench) apply() {
	b.mu.Lock()
	defer b.mu.Unlock()
	var text strings.Builder
	text.WriteString(baseRules + b.keyRule)
	for _, be := range b.backends {
		state := rule.ServerLive
		if b.leaving[be.name] {
			state = rule.ServerLeaving
		}
		fmt.Fprintf(&text, "- {server: %s, pool: %s, zone: ala-a, at: %q, state: %s}   # test: server\n", be.name, be.pool, be.at, state)
	}
	set, problems := rule.Parse("test", []byte(text.String()))
	if len(problems) > 0 {
		b.t.Errorf("unexpected problems of the rules: %v", problems)
	}
	b.revision = config.Revision{Number: b.revision.Number + 1, Rules: set}
}

func (b *bench) withdrawKey() {
	b.mu.Lock()
	b.keyRule = ""
	b.mu.Unlock()
	b.apply()
}

func (b *bench) leave(be *backend) {
	b.mu.Lock()
	b.leaving[be.name] = true
	b.mu.Unlock()
	b.apply()
}

func (b *bench) current() *config.Revision {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.revision
	return &r
}

// node is one instance.
type node struct {
	bench     *bench
	owner     string
	at        string
	handler   *entry.Handler
	server    *http.Server
	claims    *outcome.ClaimStore
	canceller *outcome.Canceller
	sweeper   *outcome.Sweeper
	closers   []func()
	stop      context.CancelFunc
	services  sync.WaitGroup
	end       context.CancelCauseFunc
	dead      atomic.Bool
	sweeps    atomic.Int64
	mu        sync.Mutex
	dialed    []net.Conn
}

func (b *bench) addNode(name string) {
	n := &node{bench: b, owner: name + "-1"}
	rules := func() *rule.Set { return b.current().Rules }
	placer := cell.NewPlacer(rules, nil)
	engines, services := engine.NewClient(), service.NewClient()
	engines.Dial, engines.SilenceTimeout = n.dial, silence
	services.Dial, services.ResponseTimeout = n.dial, silence
	store := platform.NewClient(b.base, "token")
	store.HTTP.Transport = &http.Transport{DialContext: n.dial}
	n.closers = []func(){engines.Close, services.Close, store.HTTP.CloseIdleConnections}
	n.claims = outcome.NewClaimStore(n.owner, store)
	n.claims.OwnerEnded, n.claims.Wait = b.gone, fastWait
	n.canceller = outcome.NewCanceller(func(ctx context.Context, at, attempt string) error {
		_, err := engines.Cancel(ctx, at, engine.CancelRequest{Attempt: attempt})
		return err
	})
	n.canceller.Wait = fastWait
	n.handler = &entry.Handler{
		Incarnation: n.owner, Zone: "ala-a", Rules: b.current,
		Admit: func(context.Context, rule.Account, int64) (*allowance.Charge, time.Time, error) {
			return &allowance.Charge{}, time.Time{}, nil
		},
		Place: placer.Place, PickServer: placer.Plain.Pick, ReportServerResult: placer.Plain.RecordResult,
		Engines: engines, Services: services, Claims: n.claims, RetryBudget: outcome.NewDefaultRetryBudget(),
		CancelAttempt: n.canceller.Cancel, Record: func(event.Event) {}, Now: time.Now, WriteTimeout: silence,
	}
	n.sweeper = &outcome.Sweeper{
		Owner: n.owner, Engines: b.engineAddresses, SelectAssigned: func(ats []string) []string { return ats },
		OwnerState: n.stateOf, LastLoss: time.Now, Connected: func() bool { return true }, IsRunning: n.handler.Running,
		ListAttempts: engines.Requests, Cancel: n.canceller.Cancel, Record: func(event.Event) {},
		Now: func() time.Time { return time.Unix(100*n.sweeps.Load(), 0) },
	}
	n.canceller.OnGiveUp = n.sweeper.MarkUnconfirmed
	n.start()
	b.nodes = append(b.nodes, n)
}

func (n *node) start() {
	ctx, stop := context.WithCancel(n.bench.ctx)
	n.stop = stop
	n.services.Go(func() { _ = n.claims.Serve(ctx) })
	n.services.Go(func() { _ = n.canceller.Serve(ctx) })
	requests, end := context.WithCancelCause(context.Background())
	n.end = end
	n.at, n.server = n.bench.serve(requests, n.handler)
}

func fastWait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d / speedup)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// dial opens connections until the instance has ended.
func (n *node) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := socket.NewDialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead.Load() {
		conn.Close()
		return nil, errors.New("the process has ended")
	}
	n.dialed = append(n.dialed, conn)
	return conn, nil
}

// kill ends the process of an instance: it sends nothing any more.
func (n *node) kill() {
	n.server.Close()
	n.mu.Lock()
	n.dead.Store(true)
	for _, conn := range n.dialed {
		conn.Close()
	}
	n.mu.Unlock()
	n.stop()
}

func (b *bench) gone(owner string) bool {
	for _, n := range b.nodes {
		if n.owner == owner {
			return n.dead.Load()
		}
	}
	return false
}

func (n *node) stateOf(owner string) outcome.OwnerState {
	if n.bench.gone(owner) {
		return outcome.OwnerReplaced
	}
	return outcome.OwnerLive
}

func (b *bench) engineAddresses() []string {
	var out []string
	for _, be := range b.backends {
		if be.engine != nil {
			out = append(out, be.at)
		}
	}
	return out
}

// onStep carries out a fault when a call reaches a step for the first time.
func (b *bench) onStep(step string, fire func(*backend) fault.Action) {
	var fired atomic.Bool
	for _, be := range b.backends {
		decide := func(s fault.Step) fault.Action {
			if s.Name == standengine.StepPrefill && be.engine != nil {
				b.prefills.Add(1)
			}
			if s.Name != step || s.Name == standengine.StepToken && s.Index != midToken || fired.Swap(true) {
				return fault.Pass
			}
			return fire(be)
		}
		if be.engine != nil {
			be.engine.Hook.Set(decide)
		} else {
			be.service.Hook.Set(decide)
		}
	}
	var writes atomic.Int64
	b.platform.Hook.Set(func(s fault.Step) fault.Action {
		if !strings.HasPrefix(s.Attempt, "claim-") {
			return fault.Pass
		}
		if s.Name == standplatform.StepWrite {
			writes.Add(1)
		}
		if claimStep(writes.Load(), s.Name) != step || fired.Swap(true) {
			return fault.Pass
		}
		return fire(nil)
	})
}

// claimStep names a write of a claim: of its creation, of the right to send, or of the answer.
func claimStep(write int64, name string) string {
	names := [][2]string{{"claim", "claimed"}, {"send", "sent"}, {"store", "stored"}}
	if write < 1 || int(write) > len(names) {
		return ""
	}
	if name == standplatform.StepWrite {
		return names[write-1][0]
	}
	return names[write-1][1]
}

// runs returns how often a call ran at all services together.
func (b *bench) runs(id string) int {
	total := 0
	for _, be := range b.backends {
		if be.service != nil {
			total += be.service.Runs()[id]
		}
	}
	return total
}

// held returns the pieces that engines still hold.
func (b *bench) held() int {
	total := 0
	for _, be := range b.backends {
		if be.engine != nil && !be.dead.Load() {
			total += be.engine.HeldPieces()
		}
	}
	return total
}

// settle waits until no engine holds anything; instances sweep only after one of them has ended.
func (b *bench) settle() {
	b.t.Helper()
	ctx, stop := context.WithTimeout(b.ctx, settleLimit)
	defer stop()
	swept := false
	for _, n := range b.nodes {
		swept = swept || n.dead.Load()
	}
	b.waitReleased(ctx, swept)
	for _, n := range b.nodes {
		if !n.dead.Load() {
			n.canceller.Drain(ctx)
		}
	}
	b.waitReleased(ctx, swept) // of a call that arrived after its first cancel
	if n := b.held(); n > 0 {
		b.t.Errorf("unexpected pieces held at engines, got %d instead of 0", n)
	}
	for _, be := range b.backends {
		if be.engine != nil && len(be.engine.Leaks()) > 0 || be.service != nil && len(be.service.Leaks()) > 0 {
			b.t.Errorf("unexpected key at backend server %s", be.name)
		}
	}
}

// waitReleased waits until no call is in progress and engines hold nothing.
func (b *bench) waitReleased(ctx context.Context, swept bool) {
	for (b.held() > 0 || b.inFlight.Load() > 0) && ctx.Err() == nil {
		for _, n := range b.nodes {
			if swept && !n.dead.Load() {
				n.sweeps.Add(1)
				n.sweeper.Sweep(ctx)
			}
		}
		_ = fastWait(ctx, 100*time.Millisecond)
	}
}

// close ends all parts.
func (b *bench) close() {
	for _, n := range b.nodes {
		n.server.Close()
		n.stop()
		n.services.Wait()
		for _, c := range n.closers {
			c()
		}
	}
	for _, stop := range b.stops {
		stop()
	}
	b.running.Wait()
	http.DefaultClient.CloseIdleConnections() // those between two engines
}
