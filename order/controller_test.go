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
	"teaselgate/platform"
	"teaselgate/rule"
	"teaselgate/standin/bubble"
)

func TestRoleChangeDrainsServerUntilLoadIsBalanced(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, true, "")
		env.setLoads(0.2, 0.95)
		env.fakeEngines.set(func(engines map[string]*fakeEngine) {
			for n := 1; n <= 4; n++ {
				engines[fmt.Sprintf("10.0.0.%d:80", n)].requests = 1
			}
		})
		defer runController(t, env.newController("a", true))()
		sleep(cooldown + 5*time.Second)
		if got := env.countEvents(event.RoleChangeStarted); got != 1 {
			t.Fatalf("unexpected role changes started, got %d instead of 1", got)
		}
		name := env.findMovingServer(t)
		address := mustFindServer(t, env.set, name).At
		if pool, state := env.serverPlace(t, name); pool != "prefill" || state != rule.ServerLeaving {
			t.Errorf("unexpected pool and state of a draining server, got %s %s instead of prefill leaving", pool, state)
		}
		sleep(propagationTime)
		if got := env.orders(address); len(got) > 0 {
			t.Errorf("unexpected orders to a server with requests: %v", got)
		}
		env.fakeEngines.set(func(engines map[string]*fakeEngine) { engines[address].requests = 0 })
		sleep(3 * time.Second)
		got := env.orders(address)
		if len(got) != 1 || got[0].Role != "decode" || got[0].Model != "chat" || got[0].Fence == 0 {
			t.Errorf("unexpected orders, got %v instead of a single fenced one to decode chat", got)
		}
		if pool, state := env.serverPlace(t, name); pool != "decode" || state != rule.ServerLive {
			t.Errorf("unexpected pool and state after a role change, got %s %s instead of decode live", pool, state)
		}
		// The moved server reports the prefill load, so the decode pool has a mean load of 0.78, too low for another move.
		env.setLoads(0.45, 0.95)
		sleep(10 * time.Minute)
		if got := env.countEvents(event.RoleChanged); got != 1 {
			t.Errorf("unexpected role changes, got %d instead of 1 at a decode load of 0.78", got)
		}
	})
}

// findMovingServer returns the name of the server whose role change is under way.
func (env *testEnv) findMovingServer(t *testing.T) string {
	t.Helper()
	for _, server := range env.set.AllServers() {
		if _, state := env.serverPlace(t, server.Server); state == rule.ServerLeaving {
			return server.Server
		}
	}
	t.Fatal("no role change is under way")
	return ""
}

func mustFindServer(t *testing.T, set *rule.Set, name string) rule.Server {
	t.Helper()
	server, ok := findServer(set, name)
	if !ok {
		t.Fatalf("server %s not found", name)
	}
	return server
}

func TestServerReturnsToItsPoolWhenLoadReverses(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, true, "")
		env.setLoads(0.1, 0.95)
		defer runController(t, env.newController("a", true))()
		sleep(cooldown + propagationTime + 10*time.Second)
		if got := env.countEvents(event.RoleChanged); got != 1 {
			t.Fatalf("unexpected role changes, got %d instead of 1", got)
		}
		env.setLoads(0.95, 0.1)
		sleep(cooldown + imbalanceTime + propagationTime + 10*time.Second)
		for _, server := range env.set.AllServers() {
			pool, state := env.serverPlace(t, server.Server)
			if pool != server.Pool || state != rule.ServerLive {
				t.Errorf("unexpected pool and state of %s, got %s %s instead of live in the pool of its rule",
					server.Server, pool, state)
			}
		}
		if got := env.countEvents(event.RoleChanged); got != 2 {
			t.Errorf("unexpected role changes, got %d instead of 2", got)
		}
	})
}

func TestNoRoleChangeIfRuleKeepsRoles(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, true, ", roles: keep")
		env.setLoads(0.1, 0.95)
		defer runController(t, env.newController("a", true))()
		sleep(10 * time.Minute)
		if got := env.countEvents(event.RoleChangeStarted); got != 0 {
			t.Errorf("unexpected role changes, got %d instead of none", got)
		}
	})
}

func TestAlternatingLoadStartsNoRoleChange(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, true, "")
		defer runController(t, env.newController("a", true))()
		for range 30 {
			env.setLoads(0.1, 0.95)
			sleep(imbalanceTime / 2)
			env.setLoads(0.95, 0.1)
			sleep(imbalanceTime / 2)
		}
		if got := env.countEvents(event.RoleChangeStarted); got != 0 {
			t.Errorf("unexpected role changes, got %d instead of none", got)
		}
	})
}

func TestDrainIsCancelledAfterTimeout(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, true, "")
		env.setLoads(0.1, 0.95)
		env.fakeEngines.set(func(engines map[string]*fakeEngine) {
			for _, f := range engines {
				f.requests = 1
			}
		})
		defer runController(t, env.newController("a", true))()
		sleep(cooldown + drainTimeout + 10*time.Second)
		if env.countEvents(event.RoleChangeCancelled) != 1 || env.countEvents(event.RoleChanged) != 0 {
			t.Errorf("unexpected events, got %v instead of one cancelled role change", env.events)
		}
		if pool, state := env.serverPlace(t, "p0"); pool != "prefill" || state != rule.ServerLive {
			t.Errorf("unexpected pool and state after a cancelled change, got %s %s instead of prefill live", pool, state)
		}
	})
}

func TestNextHolderFinishesRoleChange(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, true, "")
		env.setLoads(0.1, 0.95)
		ctx := context.Background()
		first := env.newController("a", true)
		first.trends, first.loadRetryAfter = make(map[string]*trend), make(map[string]time.Time)
		// Steps the first holder until it has begun to drain, and then pauses it.
		for env.countEvents(event.RoleChangeStarted) == 0 {
			first.step(ctx)
			sleep(stepInterval)
		}
		old, _ := first.Lease.Fence()
		name := env.findMovingServer(t)
		address := mustFindServer(t, env.set, name).At
		defer runController(t, env.newController("b", true))()
		sleep(2*leaseDuration + propagationTime + 5*time.Second)
		got := env.orders(address)
		if len(got) != 1 || got[0].Fence <= old {
			t.Fatalf("unexpected orders, got %v instead of one with a fencing number above %d", got, old)
		}
		if pool, state := env.serverPlace(t, name); pool != "decode" || state != rule.ServerLive {
			t.Errorf("unexpected pool and state, got %s %s instead of decode live", pool, state)
		}
		// The first holder resumes with its outdated state. It must not send an order.
		first.step(ctx)
		if first.Lease.Held() || len(env.orders(address)) != 1 {
			t.Errorf("unexpected orders after the first holder resumed: %v", env.orders(address))
		}
	})
}

func TestHolderAbandonsLeaseAfterStaleFenceRejection(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, true, "")
		c := env.newController("a", true)
		c.trends, c.loadRetryAfter = make(map[string]*trend), make(map[string]time.Time)
		c.step(t.Context())
		server := mustFindServer(t, env.set, "d0")
		env.fakeEngines.set(func(engines map[string]*fakeEngine) { engines[server.At].fence = 1000 })
		if c.sendOrder(t.Context(), server, engine.Order{Role: "decode"}) || c.Lease.Held() {
			t.Error("lease still held after an engine rejected the fencing number")
		}
		if env.countEvents(event.OrderStale) != 1 || len(env.orders(server.At)) != 0 {
			t.Errorf("unexpected events, got %v instead of one stale order that the engine did not carry out", env.events)
		}
	})
}

func TestFirstOrderIsDelayedForUnfencedEngines(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced %v", fenced), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				env := newTestEnv(t, fenced, ", version: v2")
				start := time.Now()
				defer runController(t, env.newController("a", true))()
				sleep(time.Minute)
				var first time.Time
				env.fakeEngines.set(func(engines map[string]*fakeEngine) {
					for _, f := range engines {
						if len(f.orderTimes) > 0 && (first.IsZero() || f.orderTimes[0].Before(first)) {
							first = f.orderTimes[0]
						}
					}
				})
				waited := first.Sub(start)
				if least := leaseDuration + orderTimeout; first.IsZero() || !fenced && waited < least || fenced && waited > 0 {
					t.Errorf("unexpected first order after %v; the delay for unfenced engines is %v", waited, least)
				}
			})
		})
	}
}

func TestModelIsLoadedOnceOnEachEngine(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, true, ", version: v2, adapter: cuts")
		down := mustFindServer(t, env.set, "p1").At
		env.fakeEngines.set(func(engines map[string]*fakeEngine) { engines[down].down = true })
		defer runController(t, env.newController("a", true))()
		sleep(30 * time.Second)
		for _, server := range env.set.AllServers() {
			got := env.orders(server.At)
			if server.At == down {
				if len(got) != 0 {
					t.Errorf("unexpected orders to an engine that is down: %v", got)
				}
				continue
			}
			if len(got) != 1 || got[0].Version != "v2" || got[0].Adapter != "cuts" || got[0].Role != "" {
				t.Errorf("unexpected orders to %s, got %v instead of a single one to load v2 with cuts", server.Server, got)
			}
		}
		env.fakeEngines.set(func(engines map[string]*fakeEngine) { engines[down].down = false })
		sleep(standbyInterval + 10*time.Second)
		if got := env.orders(down); len(got) != 1 {
			t.Errorf("unexpected orders to an engine after it restarted, got %v instead of a single one", got)
		}
		env.setRules(parseRules(t, fmt.Sprintf(rulesText, true, true, ", version: v3, adapter: cuts")))
		sleep(time.Minute)
		for _, server := range env.set.AllServers() {
			if got := env.orders(server.At); len(got) != 2 || got[1].Version != "v3" {
				t.Errorf("unexpected orders to %s, got %v instead of a second one to load v3", server.Server, got)
			}
		}
	})
}

func TestNoOrdersDuringStoreOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, true, ", version: v2")
		defer runController(t, env.newController("a", true))()
		sleep(10 * time.Second)
		env.fakeStore.set(func() { env.outage = true })
		env.setRules(parseRules(t, fmt.Sprintf(rulesText, true, true, ", version: v3")))
		sleep(leaseDuration)
		before := env.totalOrders()
		sleep(10 * time.Minute)
		if got := env.totalOrders(); got != before {
			t.Errorf("unexpected orders during an outage, got %d instead of none", got-before)
		}
		env.fakeStore.set(func() { env.outage = false })
		sleep(time.Minute)
		for _, server := range env.set.AllServers() {
			if got := env.orders(server.At); got[len(got)-1].Version != "v3" {
				t.Errorf("unexpected orders to %s after the outage, got %v instead of a last one to load v3", server.Server, got)
			}
		}
	})
}

func (env *testEnv) totalOrders() int {
	n := 0
	env.fakeEngines.set(func(engines map[string]*fakeEngine) {
		for _, f := range engines {
			n += len(f.orders)
		}
	})
	return n
}

func TestChangedRulesTakePrecedenceOverRecord(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, true, "")
		env.setLoads(0.1, 0.95)
		stop := runController(t, env.newController("a", true))
		sleep(cooldown + propagationTime + 10*time.Second)
		if got := env.countEvents(event.RoleChanged); got != 1 {
			t.Fatalf("unexpected role changes, got %d instead of 1", got)
		}
		// The operator writes the new pools into the rules; the old record must not apply again later.
		text := fmt.Sprintf(rulesText, true, true, "")
		moved := env.set.WithServers(func(server rule.Server) rule.Server {
			server.Pool, _ = env.serverPlace(t, server.Server)
			return server
		})
		env.setRules(moved)
		env.setLoads(0.6, 0.6)
		sleep(5 * time.Second)
		env.setRules(parseRules(t, text))
		for _, server := range env.set.AllServers() {
			if pool, _ := env.serverPlace(t, server.Server); pool != server.Pool {
				t.Errorf("unexpected pool of %s, got %s instead of %s", server.Server, pool, server.Pool)
			}
		}
		stop()
	})
}

// serveFollower starts a follower and returns a function that stops it.
func serveFollower(t *testing.T, f *RecordFollower) func() {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.Serve(ctx) }()
	return func() {
		stop()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("unexpected error %v", err)
		}
	}
}

func TestRecordFollowerKeepsMovesDuringOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, true, "")
		f := &RecordFollower{Watch: env.Watch, Peers: func() []string { return nil }}
		defer serveFollower(t, f)()
		record := GroupRecord{Moves: map[string]Move{"p0": {From: "prefill", Pool: "decode"}}}
		if _, err := env.Update(t.Context(), GroupRecordKind, groupName, 0, record); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		for range 2 {
			if got := len(f.Apply(env.set).Servers("decode")); got != 3 {
				t.Errorf("unexpected decode servers, got %d instead of 3", got)
			}
			env.fakeStore.set(func() { env.outage = true })
			sleep(time.Minute)
		}
		if first, second := f.Apply(env.set), f.Apply(env.set); first != second {
			t.Error("Apply returned another set although nothing changed")
		}
	})
}

func TestRecordFollowerAsksPeersDuringOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, true, "")
		env.outage = true
		versioned := func(version platform.Version, pool string) VersionedRecord {
			return VersionedRecord{version, GroupRecord{Moves: map[string]Move{"p0": {From: "prefill", Pool: pool}}}}
		}
		peers := map[string]*RecordFollower{"older": {}, "newer": {}}
		peers["older"].merge(groupName, versioned(7, "prefill"))
		peers["newer"].merge(groupName, versioned(9, "decode"))
		f := &RecordFollower{
			Watch: env.Watch,
			Peers: func() []string { return []string{"gone", "newer", "older"} },
			Call: func(_ context.Context, address, method string, _, reply any) error {
				if peers[address] == nil || method != RPCName+".Records" {
					return errors.New("unreachable")
				}
				return peers[address].Receiver().Records(struct{}{}, reply.(*map[string]VersionedRecord))
			},
		}
		defer serveFollower(t, f)()
		synctest.Wait()
		if got := len(f.Apply(env.set).Servers("decode")); got != 3 {
			t.Errorf("unexpected decode servers, got %d instead of 3", got)
		}
	})
}

func TestEngineMovesOnlyFromIdleToBusyPool(t *testing.T) {
	tests := []struct {
		name           string
		source, target poolLoad
		want           bool
	}{
		{"target busy, source idle", poolLoad{4, 0.2, true}, poolLoad{2, 0.9, true}, true},
		{"target not busy enough", poolLoad{4, 0.2, true}, poolLoad{2, 0.8, true}, false},
		{"source too busy", poolLoad{4, 0.55, true}, poolLoad{2, 0.9, true}, false},
		{"source too busy with one engine fewer", poolLoad{2, 0.4, true}, poolLoad{2, 0.9, true}, false},
		{"source has one engine", poolLoad{1, 0, true}, poolLoad{2, 0.9, true}, false},
		{"source not measured", poolLoad{4, 0, false}, poolLoad{2, 0.9, true}, false},
		{"target not measured", poolLoad{4, 0.2, true}, poolLoad{2, 0.9, false}, false},
	}
	for _, test := range tests {
		if got := canMoveEngine(test.source, test.target); got != test.want {
			t.Errorf("%s: unexpected result, got %v instead of %v", test.name, got, test.want)
		}
	}
}

func TestGroupsJoinPoolsOfSharedModels(t *testing.T) {
	set := parseRules(t, `- {fleet: test, shards: 16}  # ops: test
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
