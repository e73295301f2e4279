package order

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/platform"
	"teaselgate/rule"
)

// store is a platform in memory with the faults that matter to leases.
type store struct {
	mu      sync.Mutex
	version uint64
	objects map[string]platform.Object
	changed chan struct{}
	outage  bool
	lose    int // writes that take effect and lose their answer
}

func newStore() *store {
	return &store{objects: make(map[string]platform.Object), changed: make(chan struct{})}
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// Get reads one object.
func (s *store) Get(_ context.Context, kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return platform.Object{}, platform.ErrUnavailable
	}
	o, ok := s.objects[kind+"/"+name]
	if !ok {
		return o, platform.ErrNotFound
	}
	return o, nil
}

// Update replaces an object whose version must be the given one.
func (s *store) Update(_ context.Context, kind, name string, version uint64, data any) (platform.Object, error) {
	text, err := json.Marshal(data)
	if err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return platform.Object{}, platform.ErrUnavailable
	}
	if s.objects[kind+"/"+name].Version != version {
		return platform.Object{}, platform.ErrConflict
	}
	s.version++
	o := platform.Object{Kind: kind, Name: name, Version: s.version, Data: text}
	s.objects[kind+"/"+name] = o
	close(s.changed)
	s.changed = make(chan struct{})
	if s.lose > 0 {
		s.lose--
		return platform.Object{}, platform.ErrOutcomeUnknown
	}
	return o, nil
}

// Watch waits for changes of a kind.
func (s *store) Watch(ctx context.Context, kind string, after uint64) (platform.List, error) {
	for {
		s.mu.Lock()
		list, changed, outage := platform.List{Version: s.version}, s.changed, s.outage
		for _, o := range s.objects {
			if o.Kind == kind && o.Version > after {
				list.Objects = append(list.Objects, o)
			}
		}
		s.mu.Unlock()
		if outage {
			return list, platform.ErrUnavailable
		}
		if len(list.Objects) > 0 {
			return list, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return list, platform.ErrUnavailable
		}
	}
}

func (s *store) lease(name, holder string, wait time.Duration, now func() time.Time) *Lease {
	claims := 0
	return &Lease{
		Name: name, Holder: holder, Get: s.Get, Update: s.Update, Now: now,
		FirstOrderDelay: func() time.Duration { return wait },
		NewClaim: func() string {
			claims++
			return fmt.Sprintf("%s-%d", holder, claims)
		},
	}
}

// fakeEngine is an engine that remembers its orders.
type fakeEngine struct {
	fenced   bool
	fence    uint64
	load     engine.LoadReport
	requests int
	down     bool
	orders   []engine.Order
	at       []time.Time
}

// engines are all fake engines by address.
type engines struct {
	mu sync.Mutex
	by map[string]*fakeEngine
}

func (e *engines) set(change func(map[string]*fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e.by)
}

func (e *engines) orders(at string) []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Order(nil), e.by[at].orders...)
}

func (e *engines) calls() EngineClient {
	return EngineClient{Order: e.order, Load: e.loadOf, Requests: e.requests}
}

func (e *engines) order(_ context.Context, at string, m engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.by[at]
	if f.down {
		return engine.ErrUnreachable
	}
	if f.fenced && m.Fence < f.fence {
		return engine.ErrStaleFence
	}
	f.fence = max(f.fence, m.Fence)
	f.orders = append(f.orders, m)
	f.at = append(f.at, time.Now())
	return nil
}

func (e *engines) loadOf(_ context.Context, at string) (engine.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.by[at].down {
		return engine.LoadReport{}, engine.ErrUnreachable
	}
	return e.by[at].load, nil
}

func (e *engines) requests(_ context.Context, at, _ string) ([]engine.Holding, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.by[at].down {
		return nil, engine.ErrUnreachable
	}
	return make([]engine.Holding, e.by[at].requests), nil
}

const group = "decode" // the first pool of the only group

// rulesText has four prefill and two decode engines; %s is the model's further fields, %v whether engines check.
const rulesText = `- {fleet: test, shards: 16}  # ops: test
- {pool: prefill, duty: prefill, slots: 1, fenced: %v}  # ops: test
- {pool: decode, duty: decode, slots: 20, pieces: 100, fenced: %v}  # ops: test
- {model: chat, prefill: prefill, decode: decode, place: cell%s}  # ops: test
- {server: p0, pool: prefill, zone: a, at: "10.0.0.1:80", state: live}  # ops: test
- {server: p1, pool: prefill, zone: a, at: "10.0.0.2:80", state: live}  # ops: test
- {server: p2, pool: prefill, zone: a, at: "10.0.0.3:80", state: live}  # ops: test
- {server: p3, pool: prefill, zone: a, at: "10.0.0.4:80", state: live}  # ops: test
- {server: d0, pool: decode, zone: a, at: "10.0.0.5:80", state: live}  # ops: test
- {server: d1, pool: decode, zone: a, at: "10.0.0.6:80", state: live}  # ops: test
`

func parse(t *testing.T, text string) *rule.Set {
	t.Helper()
	set, problems := rule.Parse("rules", []byte(text))
	if len(problems) > 0 {
		t.Fatalf("unexpected problems %v", problems)
	}
	return set
}

// site is a platform, engines and rules for tests of holders.
type site struct {
	*store
	*engines
	set    *rule.Set
	fenced bool
	mu     sync.Mutex
	events []event.Event
}

func newSite(t *testing.T, fenced bool, model string) *site {
	t.Helper()
	s := &site{store: newStore(), engines: &engines{by: make(map[string]*fakeEngine)}, fenced: fenced}
	s.set = parse(t, fmt.Sprintf(rulesText, fenced, fenced, model))
	for _, server := range s.set.AllServers() {
		s.by[server.At] = &fakeEngine{fenced: fenced, load: engine.LoadReport{SlotsMax: 20}}
	}
	return s
}

func (s *site) rules() *rule.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

func (s *site) setRules(set *rule.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set = set
}

func (s *site) record(e event.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
}

func (s *site) count(code event.Code) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.events {
		if e.Code == code {
			n++
		}
	}
	return n
}

// press sets the load of every engine that stands in a pool by its first letter.
func (s *site) press(prefill, decode float64) {
	s.engines.set(func(by map[string]*fakeEngine) {
		for _, server := range s.rules().AllServers() {
			load := prefill
			if server.Server[0] == 'd' {
				load = decode
			}
			by[server.At].load = engine.LoadReport{SlotsMax: 20, Slots: int(load * 20)}
		}
	})
}

func (s *site) holder(name string, chosen bool) *GroupController {
	return &GroupController{
		Group: group, Engines: s.calls(), Rules: s.rules, Preferred: func() bool { return chosen },
		Lease:  s.lease(group, name, FirstOrderDelay(s.rules(), group), time.Now),
		Record: s.record, Now: time.Now,
	}
}

// run starts a holder; the returned function ends it.
func run(t *testing.T, h *GroupController) func() {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { h.Run(ctx) })
	return func() {
		stop()
		running.Wait()
	}
}

// wait waits in the faked time of a test.
func wait(d time.Duration) { <-time.After(d) }

// stands returns the pool and state of a server by the platform's record.
func (s *site) stands(t *testing.T, name string) (pool string, state rule.ServerState) {
	t.Helper()
	f := &RecordFollower{}
	if o, err := s.Get(t.Context(), GroupRecordKind, group); err == nil {
		var record GroupRecord
		if err := json.Unmarshal(o.Data, &record); err != nil {
			t.Fatal(err)
		}
		f.take(group, VersionedRecord{o.Version, record})
	}
	server, ok := findServer(f.Apply(s.rules()), name)
	if !ok {
		t.Fatalf("unexpected loss of server %s", name)
	}
	return server.Pool, server.State
}
