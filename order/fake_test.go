package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/platform"
	"teaselgate/rule"
)

// fakeStore is a platform store in memory, with outages and lost responses.
type fakeStore struct {
	mu            sync.Mutex
	version       platform.Version // with the era of the store
	objects       map[string]platform.Object
	changed       chan struct{}
	outage        bool
	loseResponses int // number of next writes that take effect but whose response is lost
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: make(map[string]platform.Object), changed: make(chan struct{})}
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// Get reads one object.
func (s *fakeStore) Get(_ context.Context, kind, name string) (platform.Object, error) {
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
func (s *fakeStore) Update(_ context.Context, kind, name string, version platform.Version, data any) (platform.Object, error) {
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
	if s.loseResponses > 0 {
		s.loseResponses--
		return platform.Object{}, platform.ErrOutcomeUnknown
	}
	return o, nil
}

// Watch waits for changes of objects of a kind.
func (s *fakeStore) Watch(ctx context.Context, kind string, after platform.Version) (platform.List, error) {
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

// fakeBackup is a copy of a fakeStore's objects.
type fakeBackup struct {
	version platform.Version
	objects map[string]platform.Object
}

func (s *fakeStore) backup() fakeBackup {
	return fakeBackup{s.version, maps.Clone(s.objects)}
}

// restore goes back to a backup in a new era.
func (s *fakeStore) restore(b fakeBackup) {
	era := s.version.Era() + 1
	s.version = platform.NewVersion(era, b.version.Revision())
	s.objects = maps.Clone(b.objects)
	for key, o := range s.objects {
		o.Version = platform.NewVersion(era, o.Version.Revision())
		s.objects[key] = o
	}
}

// client is the view of one instance on the store, which knows the era of the last response only.
type client struct {
	store *fakeStore
	era   uint64
}

// Get reads one object.
func (c *client) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	o, err := c.store.Get(ctx, kind, name)
	if !errors.Is(err, platform.ErrUnavailable) {
		c.era = c.store.version.Era()
	}
	return o, err
}

// Update replaces an object as the store does: by the revision, whatever the era is.
func (c *client) Update(
	ctx context.Context, kind, name string, version platform.Version, data any,
) (platform.Object, error) {
	if version != 0 && version.Era() < c.era {
		return platform.Object{}, platform.ErrConflict
	}
	sent := version
	if version != 0 {
		sent = platform.NewVersion(c.store.version.Era(), version.Revision())
	}
	o, err := c.store.Update(ctx, kind, name, sent, data)
	if err != nil {
		return o, err
	}
	c.era = o.Version.Era()
	if version != 0 && c.era != version.Era() {
		return platform.Object{}, platform.ErrOutcomeUnknown
	}
	return o, nil
}

func (s *fakeStore) newLease(name, holder string, delay time.Duration, now func() time.Time) *Lease {
	claims := 0
	c := &client{store: s}
	return &Lease{
		Name: name, Holder: holder, Get: c.Get, Update: c.Update, Now: now, HoldNow: now, Era: func() uint64 { return c.era },
		FirstOrderDelay: func() time.Duration { return delay },
		NewClaim: func() string {
			claims++
			return fmt.Sprintf("%s-%d", holder, claims)
		},
	}
}

// fakeEngine is an engine that records its orders.
type fakeEngine struct {
	fenced     bool
	fence      uint64 // highest fencing number of an accepted order
	load       engine.LoadReport
	requests   int // number of running requests
	down       bool
	orders     []engine.Order
	orderTimes []time.Time
}

// fakeEngines is a set of fake engines.
type fakeEngines struct {
	mu        sync.Mutex
	byAddress map[string]*fakeEngine
}

func (e *fakeEngines) set(change func(map[string]*fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e.byAddress)
}

func (e *fakeEngines) orders(address string) []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Order(nil), e.byAddress[address].orders...)
}

func (e *fakeEngines) client() EngineClient {
	return EngineClient{Order: e.order, Load: e.serverLoad, Requests: e.requests}
}

func (e *fakeEngines) order(_ context.Context, address string, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	target := e.byAddress[address]
	if target.down {
		return engine.ErrUnreachable
	}
	if target.fenced && o.Fence < target.fence {
		return engine.ErrStaleFence
	}
	target.fence = max(target.fence, o.Fence)
	target.orders = append(target.orders, o)
	target.orderTimes = append(target.orderTimes, time.Now())
	return nil
}

func (e *fakeEngines) serverLoad(_ context.Context, address string) (engine.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byAddress[address].down {
		return engine.LoadReport{}, engine.ErrUnreachable
	}
	return e.byAddress[address].load, nil
}

func (e *fakeEngines) requests(_ context.Context, address, _ string) ([]engine.Holding, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byAddress[address].down {
		return nil, engine.ErrUnreachable
	}
	return make([]engine.Holding, e.byAddress[address].requests), nil
}

const groupName = "decode" // the first pool of the only group

// rulesText has four prefill and two decode engines. Its format verbs take whether each pool is fenced, and further
// fields of the model.
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

func parseRules(t *testing.T, text string) *rule.Set {
	t.Helper()
	set, problems := rule.Parse("rules", []byte(text))
	if len(problems) > 0 {
		t.Fatalf("unexpected problems with the rules: %v", problems)
	}
	return set
}

// testEnv has a platform store, engines and rules for tests of group controllers.
type testEnv struct {
	*fakeStore
	*fakeEngines
	set    *rule.Set
	fenced bool
	mu     sync.Mutex
	events []event.Event
}

func newTestEnv(t *testing.T, fenced bool, model string) *testEnv {
	t.Helper()
	env := &testEnv{
		fakeStore: newFakeStore(), fakeEngines: &fakeEngines{byAddress: make(map[string]*fakeEngine)}, fenced: fenced,
	}
	env.set = parseRules(t, fmt.Sprintf(rulesText, fenced, fenced, model))
	for _, server := range env.set.AllServers() {
		env.byAddress[server.At] = &fakeEngine{fenced: fenced, load: engine.LoadReport{SlotsMax: 20}}
	}
	return env
}

func (env *testEnv) rules() *rule.Set {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.set
}

func (env *testEnv) setRules(set *rule.Set) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.set = set
}

func (env *testEnv) record(e event.Event) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.events = append(env.events, e)
}

func (env *testEnv) countEvents(code event.Code) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	n := 0
	for _, e := range env.events {
		if e.Code == code {
			n++
		}
	}
	return n
}

// setLoads sets the load of every engine, by the pool of its rule.
func (env *testEnv) setLoads(prefill, decode float64) {
	env.fakeEngines.set(func(engines map[string]*fakeEngine) {
		for _, server := range env.rules().AllServers() {
			load := prefill
			if server.Server[0] == 'd' {
				load = decode
			}
			engines[server.At].load = engine.LoadReport{SlotsMax: 20, Slots: int(load * 20)}
		}
	})
}

func (env *testEnv) newController(name string, preferred bool) *GroupController {
	return &GroupController{
		Group: groupName, Engines: env.client(), Rules: env.rules, Preferred: func() bool { return preferred },
		Lease:  env.newLease(groupName, name, FirstOrderDelay(env.rules(), groupName), time.Now),
		Record: env.record, Now: time.Now,
	}
}

// runController starts a controller and returns a function that stops it.
func runController(t *testing.T, c *GroupController) func() {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { c.Run(ctx) })
	return func() {
		stop()
		running.Wait()
	}
}

// sleep waits in the fake time of a test.
func sleep(d time.Duration) { <-time.After(d) }

// serverPlace returns the pool and state of a server according to the stored record.
func (env *testEnv) serverPlace(t *testing.T, name string) (pool string, state rule.ServerState) {
	t.Helper()
	f := &RecordFollower{}
	if o, err := env.Get(t.Context(), GroupRecordKind, groupName); err == nil {
		var record GroupRecord
		if err := json.Unmarshal(o.Data, &record); err != nil {
			t.Fatal(err)
		}
		f.merge(groupName, VersionedRecord{o.Version, record})
	}
	server, ok := findServer(f.Apply(env.rules()), name)
	if !ok {
		t.Fatalf("server %s not found", name)
	}
	return server.Pool, server.State
}
