package registry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"teaselgate/platform"
	"teaselgate/rule"
)

// evacuationBound is the time from the store's answer to an operator's write until all instances obey.
const evacuationBound = 5 * time.Second

// newZoneStore returns a store with a configuration and one server in zone z.
func newZoneStore() *fakeStore {
	s := newFakeStore()
	s.put("config", "main", configurationJSON(1, "a.example"))
	s.put("servers", "a", serverEntryJSON("10.0.0.1:80", "ready"))
	return s
}

// runZoneFollowers is runFollowers with followers of evacuations.
func runZoneFollowers(t *testing.T, s *fakeStore, instances int, test func(followers []*Follower)) {
	t.Helper()
	runFollowersWith(t, s, instances, func(_ int, f *Follower) { f.Evacuations = true }, test)
}

// checkState checks the state of the server in zone z at all instances.
func checkState(t *testing.T, followers []*Follower, want rule.ServerState, when string) {
	t.Helper()
	for n, f := range followers {
		servers := f.Current().Rules.Servers("s")
		if len(servers) != 1 || servers[0].State != want {
			t.Errorf("%s: instance %d has the servers %v instead of one that is %s", when, n, servers, want)
		}
	}
}

// An evacuation that does not reach an instance in time lets it send requests to servers that are about to lose power.
func TestEvacuationIsInForceEverywhereInTime(t *testing.T) {
	cases := []struct {
		name  string
		fault func(s *fakeStore)
	}{
		{"healthy store", func(*fakeStore) {}},
		{"watches are silent", func(s *fakeStore) { s.watchesSilent = true }},
		{"the store ignores the watchers", func(s *fakeStore) { s.ignoredInstances = watchers }},
		{"the store ignores all but one instance", func(s *fakeStore) { s.ignoredInstances = 7 }},
		{"the history is gone", func(s *fakeStore) { s.watchesSilent, s.historyStart = true, s.version+2 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newZoneStore()
			runZoneFollowers(t, s, 8, func(followers []*Follower) {
				sleep(rankSettleTime)
				s.set(func() { c.fault(s) })
				s.put(platform.EvacuationKind, "z", `{}`)
				sleep(evacuationBound)
				checkState(t, followers, rule.ServerEvacuated, "after the request")
				s.remove(platform.EvacuationKind, "z")
				sleep(evacuationBound)
				checkState(t, followers, rule.ServerLive, "after the end")
			})
		})
	}
}

// Servers of other zones must stay in use.
func TestEvacuationOfAnotherZoneChangesNothing(t *testing.T) {
	s := newZoneStore()
	runZoneFollowers(t, s, 2, func(followers []*Follower) {
		s.put(platform.EvacuationKind, "y", `{}`)
		sleep(evacuationBound)
		checkState(t, followers, rule.ServerLive, "after the evacuation of another zone")
	})
}

// Old statements must neither end an evacuation in force nor bring back one that was taken back.
func TestOldStatementsOnEvacuationsAreIgnored(t *testing.T) {
	requested := func(v platform.Version) map[string]Evacuation {
		return map[string]Evacuation{"z": {Version: v, Asked: v}}
	}
	object := func(v platform.Version) []platform.Object {
		return []platform.Object{{Kind: platform.EvacuationKind, Name: "z", Version: v}}
	}
	cases := []struct {
		name  string
		taken bool // whether the evacuation has been taken back
		older func(f *Follower)
	}{
		{"stale list without it", false, func(f *Follower) {
			f.mergeList(platform.EvacuationKind, platform.List{Version: 2}, true)
		}},
		{"older end of a peer", false, func(f *Follower) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.mergeFetchedEvacuations(map[string]Evacuation{"z": {Version: 2, Ended: true}}, 2)
		}},
		{"stale list with it", true, func(f *Follower) {
			f.mergeList(platform.EvacuationKind, platform.List{Version: 4, Objects: object(4)}, true)
		}},
		{"older request of a peer", true, func(f *Follower) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.mergeFetchedEvacuations(requested(4), 4)
			f.rebuildView()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newZoneStore() // versions 2 and 3
			runZoneFollowers(t, s, 1, func(followers []*Follower) {
				s.put(platform.EvacuationKind, "z", `{}`)
				sleep(evacuationBound)
				want := rule.ServerEvacuated
				if c.taken {
					s.remove(platform.EvacuationKind, "z")
					sleep(evacuationBound)
					want = rule.ServerLive
				}
				c.older(followers[0])
				checkState(t, followers, want, "after the old statement")
			})
		})
	}
}

// A peer that was cut off must not bring back an evacuation that ended before this instance started.
func TestOlderRequestIsIgnoredByAnInstanceThatStartsAfterItsEnd(t *testing.T) {
	s := newZoneStore()
	s.put(platform.EvacuationKind, "z", `{}`)
	s.remove(platform.EvacuationKind, "z")
	runZoneFollowers(t, s, 1, func(followers []*Follower) {
		f := followers[0]
		f.mu.Lock()
		f.mergeFetchedEvacuations(map[string]Evacuation{"z": {Version: 4, Asked: 4}}, 4)
		f.rebuildView()
		f.mu.Unlock()
		checkState(t, followers, rule.ServerLive, "after the old request")
	})
}

// An instance that starts while the store is down must learn of an evacuation before it serves.
func TestInstanceServesOnlyOnceItKnowsTheEvacuations(t *testing.T) {
	s := newZoneStore()
	s.put(platform.EvacuationKind, "z", `{}`)
	runZoneFollowers(t, s, 2, func(followers []*Follower) {
		isolated := NewFollower(func(_ context.Context, kind string, _ platform.Version) (platform.List, error) {
			return platform.List{}, platform.ErrUnavailable
		})
		isolated.Evacuations = true
		isolated.mergeList(platform.ConfigurationKind, platform.List{Version: 9, Objects: []platform.Object{{
			Name: platform.ConfigurationName, Version: 2, Data: []byte(configurationJSON(1, "a.example")),
		}}}, true)
		isolated.mergeList(platform.ServerKind, platform.List{Version: 9, Objects: []platform.Object{{
			Name: "a", Version: 3, Data: []byte(serverEntryJSON("10.0.0.1:80", "ready")),
		}}}, true)
		if isolated.Current() != nil {
			t.Fatal("the instance serves without knowing the evacuations")
		}
		isolated.Call = followers[0].Call
		defer startFetchingConfigs(isolated)()
		isolated.FetchIfNewer("0", followers[0].Version())
		sleep(100 * time.Millisecond)
		if isolated.Current() == nil {
			t.Fatal("the instance does not serve although a peer knows the evacuations")
		}
		checkState(t, []*Follower{isolated}, rule.ServerEvacuated, "after the start")
	})
}

// A store that is restored from an older copy must not end an evacuation at once, nor bring back one that was taken back.
// What the operator writes afterwards holds at once, and what the store still says after a minute, too.
func TestEvacuationOutlastsARestoreOfTheStore(t *testing.T) {
	t.Run("in force, not in the copy", func(t *testing.T) {
		s := newZoneStore()
		runZoneFollowers(t, s, 4, func(followers []*Follower) {
			copied := s.backup()
			s.put(platform.EvacuationKind, "z", `{}`)
			sleep(evacuationBound)
			s.restore(copied)
			sleep(evacuationBound)
			checkState(t, followers, rule.ServerEvacuated, "after the restore")
			sleep(evacuationHold + evacuationBound)
			checkState(t, followers, rule.ServerLive, "after the hold")
		})
	})
	t.Run("asked for again", func(t *testing.T) {
		s := newZoneStore()
		runZoneFollowers(t, s, 4, func(followers []*Follower) {
			copied := s.backup()
			s.put(platform.EvacuationKind, "z", `{}`)
			sleep(evacuationBound)
			s.restore(copied)
			sleep(evacuationBound)
			s.put(platform.EvacuationKind, "z", `{}`)
			sleep(evacuationHold + evacuationBound)
			checkState(t, followers, rule.ServerEvacuated, "after the second request")
			s.remove(platform.EvacuationKind, "z")
			sleep(evacuationBound)
			checkState(t, followers, rule.ServerLive, "after the end")
		})
	})
	t.Run("taken back, in the copy", func(t *testing.T) {
		s := newZoneStore()
		runZoneFollowers(t, s, 4, func(followers []*Follower) {
			s.put(platform.EvacuationKind, "z", `{}`)
			sleep(evacuationBound)
			copied := s.backup()
			s.remove(platform.EvacuationKind, "z")
			sleep(evacuationBound)
			s.restore(copied)
			sleep(evacuationBound)
			checkState(t, followers, rule.ServerLive, "after the restore")
			s.remove(platform.EvacuationKind, "z")
			s.put(platform.EvacuationKind, "z", `{}`)
			sleep(evacuationBound)
			checkState(t, followers, rule.ServerEvacuated, "after another request")
		})
	})
}

// coldServerJSON returns the entry of a server that is cold for some milliseconds.
func coldServerJSON(startedMS, coldLeftMS int) string {
	return fmt.Sprintf(`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready","born":%d,"coldLeftMs":%d}`,
		startedMS, coldLeftMS)
}

// A cold server crashes above its rate, so all ways on which one becomes cold must give it a limit, which ends.
func TestColdServersHaveALimit(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *fakeStore)
	}{
		{"its entry says so", func(s *fakeStore) { s.put("servers", "a", coldServerJSON(1, 2500)) }},
		{"it has started again", func(s *fakeStore) { s.put("servers", "a", coldServerJSON(2, 0)) }},
		{"its zone was evacuated", func(s *fakeStore) {
			s.put(platform.EvacuationKind, "z", `{}`)
			sleep(time.Second)
			s.remove(platform.EvacuationKind, "z")
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeStore()
			s.put("config", "main", `{"version":1,"routes":[],"services":[{"name":"s","coldS":3,"coldPerS":15}],"limits":{},"tenants":[]}`)
			s.put("servers", "a", coldServerJSON(1, 0))
			runZoneFollowers(t, s, 4, func(followers []*Follower) {
				check := func(want bool, when string) {
					t.Helper()
					for n, f := range followers {
						rate, cold := f.Current().ColdRate("a", "10.0.0.1:80", time.Now())
						if cold != want || cold && rate != 15 {
							t.Errorf("%s: instance %d has the limit %v, %v", when, n, rate, cold)
						}
					}
				}
				sleep(rankSettleTime)
				check(false, "at first")
				c.change(s)
				sleep(time.Second)
				check(true, "after the change")
				sleep(5 * time.Second)
				check(false, "later")
			})
		})
	}
}
