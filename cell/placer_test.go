package cell

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/rule"
	"teaselgate/standin/bubble"
)

// fakeFleet is two instances whose calls to each other and to engines stay in memory.
type fakeFleet struct {
	mu          sync.Mutex
	hubs        map[string]*Hub
	unreachable map[string]bool
	held        map[string]int // requests held at each server, by address
	rules       *rule.Set
	names       []string
}

func newFakeFleet(t *testing.T) *fakeFleet {
	f := &fakeFleet{hubs: make(map[string]*Hub), unreachable: make(map[string]bool), held: make(map[string]int), names: []string{"i1", "i2"}}
	f.rules = parseRules(t, f.rulesText("live"))
	return f
}

func (f *fakeFleet) rulesText(state string) string {
	return "- {pool: p, duty: prefill, slots: 1}   # test: t\n- {pool: d, duty: decode, slots: 4, pieces: 20}   # test: t\n" +
		"- {server: p0, pool: p, zone: a, at: \"10.0.0.1:1\"}   # test: t\n" +
		"- {server: d0, pool: d, zone: a, at: \"10.0.0.2:1\", state: " + state + "}   # test: t\n" +
		"- {server: d1, pool: d, zone: a, at: \"10.0.0.3:1\"}   # test: t\n"
}

func (f *fakeFleet) currentRules() *rule.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rules
}

// engineCalls returns calls that fake the engines.
func (f *fakeFleet) engineCalls() EngineCalls {
	return EngineCalls{
		Load: func(_ context.Context, at string) (engine.LoadReport, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return engine.LoadReport{Slots: f.held[at]}, nil
		},
		Requests: func(_ context.Context, at, _ string) ([]engine.Holding, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			list := make([]engine.Holding, 0, f.held[at])
			for n := range f.held[at] {
				list = append(list, engine.Holding{Attempt: fmt.Sprintf("%s-%d", at, n), Pieces: 1})
			}
			return list, nil
		},
		Events: func(context.Context, string, uint64) ([]engine.CacheEvent, error) { return nil, nil },
	}
}

func (f *fakeFleet) call(_ context.Context, address, method string, args, reply any) error {
	f.mu.Lock()
	hub, unreachable := f.hubs[address], f.unreachable[address]
	f.mu.Unlock()
	if unreachable {
		return errors.New("instance unreachable")
	}
	if strings.HasSuffix(method, ".Place") {
		return hub.Receiver().Place(args.(PlaceArgs), reply.(*PlaceReply))
	}
	return hub.Receiver().Release(args.(ReleaseArgs), reply.(*ReleaseReply))
}

// start runs the hub and the placer of one instance.
func (f *fakeFleet) start(ctx context.Context, name string, running *sync.WaitGroup) *Placer {
	hub := NewHub(f.currentRules, f.engineCalls(), func(event.Event) {})
	f.hubs[name] = hub
	p := NewPlacer(f.currentRules, hub)
	p.Self = name
	p.Call = f.call
	p.Live = func() []fleet.Member {
		out := make([]fleet.Member, 0, len(f.names))
		for _, n := range f.names {
			out = append(out, fleet.Member{Name: n, Peer: n})
		}
		return out
	}
	running.Go(func() { _ = hub.Serve(ctx) })
	running.Go(func() { _ = p.Serve(ctx) })
	return p
}

var cellModel = rule.Model{Model: "chat", Prefill: "p", Decode: "d", Place: rule.PlacementCell}

func testRequest(id string, class rule.Class) Request {
	return Request{ID: id, Account: "a", Weight: 1, Class: class, Model: cellModel, PromptTokens: 100, MaxTokens: 50, Zone: "a"}
}

// withTwoInstances runs a test with two instances in virtual time; owner is the cell's dispatcher.
func withTwoInstances(t *testing.T, test func(t *testing.T, f *fakeFleet, owner, other *Placer)) {
	bubble.Test(t, func(t *testing.T) {
		f := newFakeFleet(t)
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		placers := map[string]*Placer{"i1": f.start(ctx, "i1", &running), "i2": f.start(ctx, "i2", &running)}
		first := rankMembers(placers["i1"].Live(), ID{Prefill: "p", Decode: "d"}, 1)
		test(t, f, placers[first[0].Name], placers[first[1].Name])
		stop()
		running.Wait()
	})
}

func TestNewDispatcherPlacesWithinOneSecond(t *testing.T) {
	withTwoInstances(t, func(t *testing.T, f *fakeFleet, owner, other *Placer) {
		if _, err := other.Place(t.Context(), testRequest("r1", rule.ClassInteractive)); err != nil {
			t.Fatal(err)
		}
		f.mu.Lock()
		f.unreachable[owner.Self] = true
		f.held["10.0.0.2:1"] = 4 // d0 is full with requests that the lost dispatcher placed
		f.mu.Unlock()
		start := time.Now()
		for n := range 4 {
			p, err := other.Place(t.Context(), testRequest(fmt.Sprintf("s%d", n), rule.ClassInteractive))
			if err != nil || p.Decode.Server != "d1" {
				t.Fatalf("unexpected placement %+v with error %v instead of d1", p, err)
			}
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("unexpected time to place after the loss: %v instead of at most a second", took)
		}
	})
}

func TestWaitingRequestGetsFreedSlot(t *testing.T) {
	withTwoInstances(t, func(t *testing.T, f *fakeFleet, owner, other *Placer) {
		f.held["10.0.0.2:1"], f.held["10.0.0.3:1"] = 4, 4
		done := make(chan error, 1)
		go func() {
			_, err := other.Place(t.Context(), testRequest("r1", rule.ClassSummary))
			done <- err
		}()
		synctest.Wait()
		select {
		case err := <-done:
			t.Fatalf("unexpected result %v while all slots are taken", err)
		default:
		}
		f.mu.Lock()
		f.held["10.0.0.3:1"] = 3
		f.mu.Unlock()
		if err := <-done; err != nil {
			t.Errorf("unexpected error %v after a slot became free", err)
		}
		_ = owner
	})
}

func TestWaitingRequestsSurviveLossOfDispatcher(t *testing.T) {
	withTwoInstances(t, func(t *testing.T, f *fakeFleet, owner, other *Placer) {
		const requests = 6
		f.held["10.0.0.2:1"], f.held["10.0.0.3:1"] = 4, 4
		results := make(chan error, 2*requests)
		for n := range requests {
			go func() {
				_, err := other.Place(t.Context(), testRequest(fmt.Sprintf("r%d", n), rule.ClassSummary))
				results <- err
			}()
		}
		<-time.After(time.Second) // in virtual time
		f.mu.Lock()
		f.unreachable[owner.Self] = true
		f.held["10.0.0.2:1"], f.held["10.0.0.3:1"] = 0, 0
		f.mu.Unlock()
		<-time.After(5 * time.Second)
		if len(results) != requests {
			t.Fatalf("unexpected results %d instead of one for each of %d requests", len(results), requests)
		}
		for range requests {
			if err := <-results; err != nil {
				t.Errorf("unexpected error %v instead of a placement by the next dispatcher", err)
			}
		}
	})
}

func TestCancelledRequestIsRemovedFromQueue(t *testing.T) {
	withTwoInstances(t, func(t *testing.T, f *fakeFleet, owner, other *Placer) {
		f.held["10.0.0.2:1"], f.held["10.0.0.3:1"] = 4, 4
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		defer cancel()
		if _, err := other.Place(ctx, testRequest("r1", rule.ClassSummary)); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("unexpected error %v instead of the caller's", err)
		}
		synctest.Wait()
		d := owner.Hub.dispatcher(ID{Prefill: "p", Decode: "d"})
		d.mu.Lock()
		defer d.mu.Unlock()
		if len(d.waiters) != 0 || d.core.QueueLength() != 0 {
			t.Errorf("unexpected remaining state: %d waiters, %d waiting", len(d.waiters), d.core.QueueLength())
		}
	})
}

func TestLeavingServerIsExcludedAtOnce(t *testing.T) {
	withTwoInstances(t, func(t *testing.T, f *fakeFleet, owner, other *Placer) {
		if _, err := owner.Place(t.Context(), testRequest("r0", rule.ClassInteractive)); err != nil {
			t.Fatal(err)
		}
		f.mu.Lock()
		f.rules = parseRules(t, f.rulesText("leaving"))
		f.mu.Unlock()
		for n := range 4 {
			p, err := other.Place(t.Context(), testRequest(fmt.Sprintf("r%d", n+1), rule.ClassInteractive))
			if err != nil || p.Decode.Server != "d1" {
				t.Errorf("unexpected placement %+v with error %v instead of d1", p, err)
			}
			if err == nil {
				p.Release(Report{})
			}
		}
	})
}

func TestReleaseReachesDispatcherAtOtherInstance(t *testing.T) {
	withTwoInstances(t, func(t *testing.T, f *fakeFleet, owner, other *Placer) {
		p, err := other.Place(t.Context(), testRequest("r1", rule.ClassInteractive))
		if err != nil {
			t.Fatal(err)
		}
		d := owner.Hub.dispatcher(ID{Prefill: "p", Decode: "d"})
		reservations := func() int {
			d.mu.Lock()
			defer d.mu.Unlock()
			return len(d.core.reservations)
		}
		if n := reservations(); n != 1 {
			t.Errorf("unexpected reservations %d instead of 1", n)
		}
		now := time.Now()
		p.Release(Report{Prefilled: now, Imported: now, Ended: now, Generated: 5})
		synctest.Wait()
		if n := reservations(); n != 0 {
			t.Errorf("unexpected reservations %d instead of 0", n)
		}
	})
}
