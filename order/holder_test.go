package order

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/rule"
)

func TestRoleChangeFollowsPressureAndDrainsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, true, "")
		s.press(0.2, 0.95)
		s.engines.set(func(by map[string]*fakeEngine) {
			for n := 1; n <= 4; n++ {
				by[fmt.Sprintf("10.0.0.%d:80", n)].requests = 1
			}
		})
		defer run(t, s.holder("a", true))()
		wait(cooldown + 5*time.Second)
		if got := s.count(event.RoleChangeStarted); got != 1 {
			t.Fatalf("unexpected role changes started, got %d instead of 1", got)
		}
		name := s.movingServer(t)
		at := mustFind(t, s.set, name).At
		if pool, state := s.stands(t, name); pool != "prefill" || state != rule.ServerLeaving {
			t.Errorf("unexpected place of a server that is drained: %s %s", pool, state)
		}
		wait(settleTime)
		if got := s.orders(at); len(got) > 0 {
			t.Errorf("unexpected order to a server with requests: %v", got)
		}
		s.engines.set(func(by map[string]*fakeEngine) { by[at].requests = 0 })
		wait(3 * time.Second)
		got := s.orders(at)
		if len(got) != 1 || got[0].Role != "decode" || got[0].Model != "chat" || got[0].Fence == 0 {
			t.Errorf("unexpected orders %v", got)
		}
		if pool, state := s.stands(t, name); pool != "decode" || state != rule.ServerLive {
			t.Errorf("unexpected place of a server that changed its role: %s %s", pool, state)
		}
		// The pressure stays, but prefill may not fall below what its load needs.
		s.press(0.45, 0.95)
		wait(10 * time.Minute)
		if got := s.count(event.RoleChanged); got != 1 {
			t.Errorf("unexpected role changes, got %d instead of 1: three servers at 0.45 need two at less than 0.7", got)
		}
	})
}

// movingServer returns the server whose role change is under way.
func (s *site) movingServer(t *testing.T) string {
	t.Helper()
	for _, server := range s.set.AllServers() {
		if _, state := s.stands(t, server.Server); state == rule.ServerLeaving {
			return server.Server
		}
	}
	t.Fatal("unexpected rest of all servers")
	return ""
}

func mustFind(t *testing.T, set *rule.Set, name string) rule.Server {
	t.Helper()
	server, ok := findServer(set, name)
	if !ok {
		t.Fatalf("unexpected loss of server %s", name)
	}
	return server
}

func TestRoleComesBackWithThePressure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, true, "")
		s.press(0.1, 0.95)
		defer run(t, s.holder("a", true))()
		wait(cooldown + settleTime + 10*time.Second)
		if got := s.count(event.RoleChanged); got != 1 {
			t.Fatalf("unexpected role changes, got %d instead of 1", got)
		}
		s.press(0.95, 0.1)
		wait(cooldown + holdTime + settleTime + 10*time.Second)
		for _, server := range s.set.AllServers() {
			pool, state := s.stands(t, server.Server)
			if pool != server.Pool || state != rule.ServerLive {
				t.Errorf("unexpected place of %s: %s %s", server.Server, pool, state)
			}
		}
		if got := s.count(event.RoleChanged); got != 2 {
			t.Errorf("unexpected role changes, got %d instead of 2", got)
		}
	})
}

func TestRolesAreKeptIfTheRuleSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, true, ", roles: keep")
		s.press(0.1, 0.95)
		defer run(t, s.holder("a", true))()
		wait(10 * time.Minute)
		if got := s.count(event.RoleChangeStarted); got != 0 {
			t.Errorf("unexpected role changes, got %d instead of none", got)
		}
	})
}

func TestSwingingPressureChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, true, "")
		defer run(t, s.holder("a", true))()
		for range 30 {
			s.press(0.1, 0.95)
			wait(holdTime / 2)
			s.press(0.95, 0.1)
			wait(holdTime / 2)
		}
		if got := s.count(event.RoleChangeStarted); got != 0 {
			t.Errorf("unexpected role changes, got %d instead of none", got)
		}
	})
}

func TestDrainThatDoesNotEndIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, true, "")
		s.press(0.1, 0.95)
		s.engines.set(func(by map[string]*fakeEngine) {
			for _, f := range by {
				f.requests = 1
			}
		})
		defer run(t, s.holder("a", true))()
		wait(cooldown + drainTimeout + 10*time.Second)
		if s.count(event.RoleChangeCancelled) != 1 || s.count(event.RoleChanged) != 0 {
			t.Errorf("unexpected events %v", s.events)
		}
		if pool, state := s.stands(t, "p0"); pool != "prefill" || state != rule.ServerLive {
			t.Errorf("unexpected place after a cancelled change: %s %s", pool, state)
		}
	})
}

func TestNextHolderEndsARoleChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, true, "")
		s.press(0.1, 0.95)
		ctx := context.Background()
		first := s.holder("a", true)
		first.trends, first.skip = make(map[string]*trend), make(map[string]time.Time)
		// Runs the first holder by hand, until it has begun to drain, and then pauses it for good.
		for s.count(event.RoleChangeStarted) == 0 {
			first.step(ctx)
			wait(stepInterval)
		}
		old, _ := first.Lease.Fence()
		name := s.movingServer(t)
		at := mustFind(t, s.set, name).At
		defer run(t, s.holder("b", true))()
		wait(2*leaseLife + settleTime + 5*time.Second)
		got := s.orders(at)
		if len(got) != 1 || got[0].Fence <= old {
			t.Fatalf("unexpected orders %v after fence %d", got, old)
		}
		if pool, state := s.stands(t, name); pool != "decode" || state != rule.ServerLive {
			t.Errorf("unexpected place: %s %s", pool, state)
		}
		// The first one wakes. It must not order again, whatever it believed.
		first.step(ctx)
		if first.Lease.Held() || len(s.orders(at)) != 1 {
			t.Errorf("unexpected orders of a holder after its pause: %v", s.orders(at))
		}
	})
}

func TestEngineThatChecksEndsAStaleHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, true, "")
		h := s.holder("a", true)
		h.trends, h.skip = make(map[string]*trend), make(map[string]time.Time)
		h.step(t.Context())
		server := mustFind(t, s.set, "d0")
		s.engines.set(func(by map[string]*fakeEngine) { by[server.At].fence = 1000 })
		if h.send(t.Context(), server, engine.Order{Role: "decode"}) || h.Lease.Held() {
			t.Error("unexpected right after an engine refused the fencing number")
		}
		if s.count(event.OrderStale) != 1 || len(s.orders(server.At)) != 0 {
			t.Errorf("unexpected events %v", s.events)
		}
	})
}

func TestFirstOrderWaitsWhereEnginesDoNotCheck(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced %v", fenced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, fenced, ", version: v2")
				start := time.Now()
				defer run(t, s.holder("a", true))()
				wait(time.Minute)
				var first time.Time
				s.engines.set(func(by map[string]*fakeEngine) {
					for _, f := range by {
						if len(f.at) > 0 && (first.IsZero() || f.at[0].Before(first)) {
							first = f.at[0]
						}
					}
				})
				waited := first.Sub(start)
				if least := leaseLife + orderTimeout; first.IsZero() || !fenced && waited < least || fenced && waited > 0 {
					t.Errorf("unexpected first order after %v, %v is the wait where engines don't check", waited, least)
				}
			})
		})
	}
}

func TestModelsAreLoadedOnceOnEachEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, true, ", version: v2, adapter: cuts")
		down := mustFind(t, s.set, "p1").At
		s.engines.set(func(by map[string]*fakeEngine) { by[down].down = true })
		defer run(t, s.holder("a", true))()
		wait(30 * time.Second)
		for _, server := range s.set.AllServers() {
			got := s.orders(server.At)
			if server.At == down {
				if len(got) != 0 {
					t.Errorf("unexpected orders to an engine that is down: %v", got)
				}
				continue
			}
			if len(got) != 1 || got[0].Version != "v2" || got[0].Adapter != "cuts" || got[0].Role != "" {
				t.Errorf("unexpected orders to %s: %v", server.Server, got)
			}
		}
		s.engines.set(func(by map[string]*fakeEngine) { by[down].down = false })
		wait(standbyInterval + 10*time.Second)
		if got := s.orders(down); len(got) != 1 {
			t.Errorf("unexpected orders to an engine that came back: %v", got)
		}
		s.setRules(parse(t, fmt.Sprintf(rulesText, true, true, ", version: v3, adapter: cuts")))
		wait(time.Minute)
		for _, server := range s.set.AllServers() {
			if got := s.orders(server.At); len(got) != 2 || got[1].Version != "v3" {
				t.Errorf("unexpected orders to %s: %v", server.Server, got)
			}
		}
	})
}

func TestNothingIsOrderedInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, true, ", version: v2")
		defer run(t, s.holder("a", true))()
		wait(10 * time.Second)
		s.store.set(func() { s.outage = true })
		s.setRules(parse(t, fmt.Sprintf(rulesText, true, true, ", version: v3")))
		wait(leaseLife)
		before := s.total()
		wait(10 * time.Minute)
		if got := s.total(); got != before {
			t.Errorf("unexpected orders in an outage, got %d more", got-before)
		}
		s.store.set(func() { s.outage = false })
		wait(time.Minute)
		for _, server := range s.set.AllServers() {
			if got := s.orders(server.At); got[len(got)-1].Version != "v3" {
				t.Errorf("unexpected orders to %s after the outage: %v", server.Server, got)
			}
		}
	})
}

func (s *site) total() int {
	n := 0
	s.engines.set(func(by map[string]*fakeEngine) {
		for _, f := range by {
			n += len(f.orders)
		}
	})
	return n
}

func TestRulesWinOverRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, true, "")
		s.press(0.1, 0.95)
		stop := run(t, s.holder("a", true))
		wait(cooldown + settleTime + 10*time.Second)
		if got := s.count(event.RoleChanged); got != 1 {
			t.Fatalf("unexpected role changes, got %d instead of 1", got)
		}
		// The operator writes the new pools down; nothing of the old record may come back later.
		text := fmt.Sprintf(rulesText, true, true, "")
		moved := s.set.WithServers(func(server rule.Server) rule.Server {
			server.Pool, _ = s.stands(t, server.Server)
			return server
		})
		s.setRules(moved)
		s.press(0.6, 0.6)
		wait(5 * time.Second)
		s.setRules(parse(t, text))
		for _, server := range s.set.AllServers() {
			if pool, _ := s.stands(t, server.Server); pool != server.Pool {
				t.Errorf("unexpected place of %s: %s instead of %s", server.Server, pool, server.Pool)
			}
		}
		stop()
	})
}

// follow starts a follower; the returned function ends it.
func follow(t *testing.T, f *RecordFollower) func() {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(ctx) }()
	return func() {
		stop()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("unexpected end %v", err)
		}
	}
}

func TestFollowerSeesMovesAndKeepsThemInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, true, "")
		f := &RecordFollower{Watch: s.Watch, Peers: func() []string { return nil }}
		defer follow(t, f)()
		record := GroupRecord{Moves: map[string]Move{"p0": {From: "prefill", Pool: "decode"}}}
		if _, err := s.Update(t.Context(), GroupRecordKind, group, 0, record); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		for range 2 {
			if got := len(f.Apply(s.set).Servers("decode")); got != 3 {
				t.Errorf("unexpected decode servers, got %d instead of 3", got)
			}
			s.store.set(func() { s.outage = true })
			wait(time.Minute)
		}
		if first, second := f.Apply(s.set), f.Apply(s.set); first != second {
			t.Error("unexpected new set without a change")
		}
	})
}

func TestFollowerThatStartsInAnOutageAsksPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, true, "")
		s.outage = true
		known := func(version uint64, pool string) VersionedRecord {
			return VersionedRecord{version, GroupRecord{Moves: map[string]Move{"p0": {From: "prefill", Pool: pool}}}}
		}
		peers := map[string]*RecordFollower{"older": {}, "newer": {}}
		peers["older"].take(group, known(7, "prefill"))
		peers["newer"].take(group, known(9, "decode"))
		f := &RecordFollower{
			Watch: s.Watch,
			Peers: func() []string { return []string{"gone", "newer", "older"} },
			Call: func(_ context.Context, address, method string, _, reply any) error {
				if peers[address] == nil || method != RPCName+".Records" {
					return errors.New("unreachable")
				}
				return peers[address].Receiver().Records(struct{}{}, reply.(*map[string]VersionedRecord))
			},
		}
		defer follow(t, f)()
		synctest.Wait()
		if got := len(f.Apply(s.set).Servers("decode")); got != 3 {
			t.Errorf("unexpected decode servers, got %d instead of 3", got)
		}
	})
}

func TestAllows(t *testing.T) {
	tests := []struct {
		name     string
		from, to pressure
		want     bool
	}{
		{"asked and able", pressure{4, 0.2, true}, pressure{2, 0.9, true}, true},
		{"not asked", pressure{4, 0.2, true}, pressure{2, 0.8, true}, false},
		{"giver is busy", pressure{4, 0.55, true}, pressure{2, 0.9, true}, false},
		{"giver would be short", pressure{2, 0.4, true}, pressure{2, 0.9, true}, false},
		{"giver has one", pressure{1, 0, true}, pressure{2, 0.9, true}, false},
		{"giver not measured", pressure{4, 0, false}, pressure{2, 0.9, true}, false},
		{"taker not measured", pressure{4, 0.2, true}, pressure{2, 0.9, false}, false},
	}
	for _, test := range tests {
		if got := allows(test.from, test.to); got != test.want {
			t.Errorf("%s: unexpected answer, got %v instead of %v", test.name, got, test.want)
		}
	}
}

func TestGroupsJoinSharedPools(t *testing.T) {
	set := parse(t, `- {fleet: test, shards: 16}  # ops: test
- {pool: a, duty: prefill, slots: 1, fenced: true}  # ops: test
- {pool: b, duty: decode, slots: 1, pieces: 1, fenced: true}  # ops: test
- {pool: c, duty: decode, slots: 1, pieces: 1, fenced: false}  # ops: test
- {pool: x, duty: prefill, slots: 1, fenced: true}  # ops: test
- {pool: y, duty: decode, slots: 1, pieces: 1, fenced: true}  # ops: test
- {pool: z, duty: plain, slots: 1}  # ops: test
- {model: one, prefill: a, decode: b, place: cell}  # ops: test
- {model: two, prefill: a, decode: c, place: cell}  # ops: test
- {model: three, prefill: x, decode: y, place: cell}  # ops: test
`)
	got := Groups(set)
	if len(got) != 2 || got[0].Name != "a" || len(got[0].Pools) != 3 || len(got[0].Models) != 2 || got[1].Name != "x" {
		t.Errorf("unexpected groups %v", got)
	}
	if got[0].fenced(set) || !got[1].fenced(set) {
		t.Errorf("unexpected fencing of groups: %v, %v", got[0].fenced(set), got[1].fenced(set))
	}
}
