package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"teaselgate/platform"
	"teaselgate/transfer"
)

// fakeStore is a platform store in memory, with faults. It is safe for concurrent use.
type fakeStore struct {
	mu               sync.Mutex
	version          platform.Version
	objects          map[string]map[string]platform.Object
	removals         map[string][]platform.Object
	changed          chan struct{}
	watchesSilent    bool // whether watches return no changes
	down             bool
	historyStart     platform.Version // version before which the history is gone
	ignoredInstances int              // number of instances, from the first, that get no response
	lists, watches   int              // number of calls so far
}

const watchTimeout = 10 * time.Second // after which a watch without changes returns

func newFakeStore() *fakeStore {
	return &fakeStore{
		version: 1, objects: make(map[string]map[string]platform.Object),
		removals: make(map[string][]platform.Object), changed: make(chan struct{}),
	}
}

func (s *fakeStore) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]platform.Object)
	}
	s.objects[kind][name] = platform.Object{Kind: kind, Name: name, Version: s.version, Data: json.RawMessage(spec)}
	s.notifyWatchers()
}

func (s *fakeStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	delete(s.objects[kind], name)
	s.removals[kind] = append(s.removals[kind], platform.Object{Kind: kind, Name: name, Version: s.version, Deleted: true})
	s.notifyWatchers()
}

// set changes faults of the store.
func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.notifyWatchers()
}

// isSilent reports whether watches return no changes.
func (s *fakeStore) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watchesSilent
}

// ignores reports whether an instance gets no response from the store.
func (s *fakeStore) ignores(instance int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return instance < s.ignoredInstances
}

// notifyWatchers lets all watches look for changes. The caller holds the lock.
func (s *fakeStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// count counts a call.
func (s *fakeStore) count(after platform.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after == 0 {
		s.lists++
		return
	}
	s.watches++
}

// counts returns the numbers of lists and watches so far.
func (s *fakeStore) counts() (lists, watches int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists, s.watches
}

// newest returns the store's version.
func (s *fakeStore) newest() (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, platform.ErrUnavailable
	}
	return s.version, nil
}

// changes returns the changes of a kind after a version.
func (s *fakeStore) changes(ctx context.Context, kind string, after platform.Version) (platform.List, error) {
	return s.watchFor(ctx, kind, after, time.Millisecond)
}

// watch returns all objects of a kind if after is 0, and otherwise waits for changes after that version.
func (s *fakeStore) watch(ctx context.Context, kind string, after platform.Version) (platform.List, error) {
	return s.watchFor(ctx, kind, after, watchTimeout)
}

func (s *fakeStore) watchFor(
	ctx context.Context, kind string, after platform.Version, wait time.Duration,
) (platform.List, error) {
	end := time.After(wait)
	s.count(after)
	for {
		s.mu.Lock()
		list, changed := platform.List{Version: s.version}, s.changed
		down, silent, gone := s.down, s.watchesSilent, after > 0 && after < s.historyStart
		gone = gone || after > 0 && after.Era() != s.version.Era()
		for _, o := range s.objects[kind] {
			if o.Version > after {
				list.Objects = append(list.Objects, o)
			}
		}
		for _, o := range s.removals[kind] {
			if after > 0 && o.Version > after {
				list.Objects = append(list.Objects, o)
			}
		}
		s.mu.Unlock()
		slices.SortFunc(list.Objects, func(a, b platform.Object) int { return cmp.Compare(a.Version, b.Version) })
		switch {
		case down:
			return platform.List{}, platform.ErrUnavailable
		case after == 0:
			return list, nil
		case gone && !silent:
			return platform.List{}, platform.ErrHistoryDropped
		case len(list.Objects) > 0 && !silent:
			return list, nil
		}
		select {
		case <-changed:
		case <-end:
			if silent {
				return platform.List{Version: after}, nil
			}
			return platform.List{Version: list.Version}, nil
		case <-ctx.Done():
			return platform.List{}, ctx.Err()
		}
	}
}

// configurationJSON returns a configuration with one route on a host.
func configurationJSON(version int, host string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","hostname":%q,"pathPrefix":"/a/","routeType":"idempotent",`+
		`"timeoutMs":1000,"service":"s"}],"services":[{"name":"s"}],"limits":{},"tenants":[]}`, version, host)
}

// serverEntryJSON returns the entry of a backend server.
func serverEntryJSON(address, state string) string { return startedServerJSON(address, state, 0) }

// startedServerJSON returns the entry of a backend server that started at a time.
func startedServerJSON(address, state string, startedMS int) string {
	return fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":6,"state":%q,"sequence":1,"born":%d}`,
		address, state, startedMS)
}

// runFollowers runs followers of a store in fake time. The address of a peer is its number.
func runFollowers(t *testing.T, s *fakeStore, instances int, test func(followers []*Follower)) {
	t.Helper()
	runFollowersWith(t, s, instances, func(int, *Follower) {}, test)
}

// runFollowersWith is runFollowers with a function that sets up each follower.
func runFollowersWith(
	t *testing.T, s *fakeStore, instances int, setUp func(n int, f *Follower), test func(followers []*Follower),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s.set(func() {}) // makes a channel that belongs to the bubble of synctest
		ctx, stop := context.WithCancel(t.Context())
		followers := make([]*Follower, instances)
		var serving sync.WaitGroup
		for n := range followers {
			f := NewFollower(func(ctx context.Context, kind string, after platform.Version) (platform.List, error) {
				if s.ignores(n) {
					<-ctx.Done()
					return platform.List{}, platform.ErrUnavailable
				}
				return s.watch(ctx, kind, after)
			})
			f.Changes = func(ctx context.Context, kind string, after platform.Version) (platform.List, error) {
				if s.ignores(n) {
					<-ctx.Done()
					return platform.List{}, platform.ErrUnavailable
				}
				return s.changes(ctx, kind, after)
			}
			f.Newest = func(ctx context.Context) (platform.Version, error) {
				if s.ignores(n) {
					<-ctx.Done()
					return 0, platform.ErrUnavailable
				}
				return s.newest()
			}
			f.Self = fmt.Sprint(n)
			f.StartRank = func() int { return n }
			f.Peers = func() []string {
				var out []string
				for m := range instances {
					if m != n {
						out = append(out, fmt.Sprint(m))
					}
				}
				return out
			}
			f.Call = func(_ context.Context, address, method string, args, reply any) error {
				var m int
				_, _ = fmt.Sscan(address, &m)
				switch method {
				case RPCName + ".Fetch":
					return followers[m].Receiver().Fetch(args.(FetchArgs), reply.(*FetchReply))
				case RPCName + ".Parts":
					return followers[m].Receiver().Parts(args.(transfer.Args), reply.(*transfer.Reply))
				case RPCName + ".Leaving":
					return followers[m].Receiver().Leaving(args.(LeavingArgs), reply.(*LeavingReply))
				}
				return followers[m].Receiver().Tell(args.(TellArgs), reply.(*TellReply))
			}
			setUp(n, f)
			followers[n] = f
		}
		for _, f := range followers {
			serving.Go(func() { _ = f.Serve(ctx) })
		}
		sleep(time.Second)
		test(followers)
		stop()
		serving.Wait()
	})
}

// startFetchingConfigs has a follower that does not serve fetch configurations from its peers, until stop is called.
func startFetchingConfigs(f *Follower) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background()) // that of the test belongs to another bubble of synctest
	ended := make(chan struct{})
	go func() { f.fetchConfigs(ctx); close(ended) }()
	return func() { cancel(); <-ended }
}

// sleep waits in the fake time of a test.
func sleep(d time.Duration) { <-time.After(d) }

// A store can serve reads while its watches return no changes, for instance after it has dropped its history. Changes
// must then arrive by polling.
func TestChangesArriveInTimeWhileWatchesAreSilent(t *testing.T) {
	const bound = 2 * time.Second // required bound for changes of the configuration and for leaving servers
	s := newFakeStore()
	s.put("config", "main", configurationJSON(1, "old.example"))
	s.put("servers", "a", serverEntryJSON("10.0.0.1:80", "ready"))
	runFollowers(t, s, 6, func(followers []*Follower) {
		s.set(func() { s.watchesSilent = true })
		s.put("config", "main", configurationJSON(2, "new.example"))
		s.put("servers", "a", serverEntryJSON("10.0.0.1:80", "draining"))
		s.set(func() { s.historyStart = s.version })
		sleep(bound)
		for n, f := range followers {
			if _, ok := f.Current().Route("new.example", "/a/x"); !ok {
				t.Errorf("instance %d has the old configuration after %v", n, bound)
			}
			if server, _ := f.Current().Server("a"); !server.Leaving {
				t.Errorf("instance %d does not know after %v that the server is leaving", n, bound)
			}
		}
	})
}

// The store can leave just the watching instances without a response and serve the others. Changes must then arrive
// from other instances.
func TestChangesArriveInTimeWhileStoreIgnoresWatchers(t *testing.T) {
	const bound = 2 * time.Second
	s := newFakeStore()
	s.put("config", "main", configurationJSON(1, "old.example"))
	s.put("servers", "a", serverEntryJSON("10.0.0.1:80", "ready"))
	runFollowers(t, s, 8, func(followers []*Follower) {
		s.set(func() { s.watchesSilent = true })
		s.set(func() { s.ignoredInstances = watchers })
		sleep(50 * time.Millisecond)
		s.put("config", "main", configurationJSON(2, "new.example"))
		s.put("servers", "a", serverEntryJSON("10.0.0.1:80", "draining"))
		sleep(bound)
		for n, f := range followers {
			if _, ok := f.Current().Route("new.example", "/a/x"); !ok {
				t.Errorf("instance %d has the old configuration after %v", n, bound)
			}
			if server, _ := f.Current().Server("a"); !server.Leaving {
				t.Errorf("instance %d does not know after %v that the server is leaving", n, bound)
			}
		}
	})
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	s := newFakeStore()
	s.put("config", "main", configurationJSON(2, "new.example"))
	runFollowers(t, s, 2, func(followers []*Follower) {
		f := followers[0]
		f.mergeList("config", platform.List{Version: 1, Objects: []platform.Object{{
			Kind: "config", Name: "main", Version: 1, Data: json.RawMessage(configurationJSON(1, "old.example")),
		}}}, true)
		if _, ok := f.Current().Route("new.example", "/a/x"); !ok {
			t.Error("an older configuration was put in force")
		}
	})
}

// The entry of a server can lapse during an outage of the store. It is back within two seconds after the outage, or the
// server is gone.
func TestLapsedServerIsKeptForGraceAfterOutage(t *testing.T) {
	cases := []struct {
		name    string
		returns bool
	}{{"back in time", true}, {"gone", false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeStore()
			s.put("config", "main", configurationJSON(1, "a.example"))
			s.put("servers", "a", serverEntryJSON("10.0.0.1:80", "ready"))
			runFollowers(t, s, 1, func(followers []*Follower) {
				f := followers[0]
				s.set(func() { s.down = true })
				sleep(5 * time.Second)
				s.remove("servers", "a")
				s.set(func() { s.down = false })
				sleep(1500 * time.Millisecond)
				if _, ok := f.Current().Server("a"); !ok {
					t.Error("a server whose entry may come back was removed")
				}
				if c.returns {
					s.put("servers", "a", serverEntryJSON("10.0.0.1:80", "ready"))
				}
				sleep(time.Second)
				if _, ok := f.Current().Server("a"); ok != c.returns {
					t.Errorf("unexpected presence of the server after the grace period, got %v instead of %v", ok, c.returns)
				}
			})
		})
	}
}

func TestInstanceWithoutStoreFetchesFromPeer(t *testing.T) {
	s := newFakeStore()
	s.put("config", "main", configurationJSON(1, "old.example"))
	s.put("servers", "a", serverEntryJSON("10.0.0.1:80", "ready"))
	runFollowers(t, s, 3, func(followers []*Follower) {
		connected := followers[2]
		sleep(rankSettleTime) // instances watch from then on
		s.put("servers", "b", serverEntryJSON("10.0.0.2:80", "ready"))
		sleep(300 * time.Millisecond)
		isolated := NewFollower(func(context.Context, string, platform.Version) (platform.List, error) {
			return platform.List{}, platform.ErrUnavailable
		})
		isolated.Call = connected.Call
		defer startFetchingConfigs(isolated)()
		isolated.FetchIfNewer("0", followers[0].Version())
		sleep(100 * time.Millisecond)
		view := isolated.Current()
		if view == nil {
			t.Fatal("no view although a peer has one")
		}
		if _, ok := view.Server("b"); !ok {
			t.Error("the newest server is not known")
		}
	})
}

// The only instance with the newest configuration may be gone before another has it. Those without the store then need an older one.
func TestOlderConfigurationIsTakenOnceNobodyHasTheNewest(t *testing.T) {
	s := newFakeStore()
	s.put("config", "main", configurationJSON(1, "old.example"))
	s.put("servers", "a", serverEntryJSON("10.0.0.1:80", "ready"))
	runFollowers(t, s, 3, func(followers []*Follower) {
		isolated := NewFollower(func(context.Context, string, platform.Version) (platform.List, error) {
			return platform.List{}, platform.ErrUnavailable
		})
		isolated.Call = followers[2].Call
		defer startFetchingConfigs(isolated)()
		lost := transfer.NewDocument([]byte(configurationJSON(2, "new.example"))).Outline()
		isolated.want(ConfigOutline{Version: 1000, Number: 2, Outline: lost}, "1")
		if p, ok := isolated.Progress(); !ok || p.Number != 2 || p.Missing > p.Parts {
			t.Errorf("unexpected progress %v", p)
		}
		for range 6 {
			sleep(pollInterval)
			version, digest := followers[0].versionAndDigest()
			args := TellArgs{Address: "0", Version: version, Digest: digest}
			args.Config, args.Number = followers[0].newestConfig()
			_ = isolated.Receiver().Tell(args, &TellReply{})
		}
		if view := isolated.Current(); view == nil || view.Configuration.Version != 1 {
			t.Error("the instance does not have the older configuration")
		}
	})
}

func TestInvalidServerEntriesAreIgnored(t *testing.T) {
	invalid := []string{
		`"text"`, `{}`, `{"service":"s","zone":"z","state":"ready"}`,
		`{"service":"s","address":"x","zone":"z","state":"ready"}`,
		`{"service":7,"address":"10.0.0.1:80","zone":"z","state":"ready"}`,
		`{"service":"s","address":"10.0.0.1:80","zone":"z","state":"odd"}`,
		`{"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","stage":"odd"}`,
	}
	s := newFakeStore()
	s.put("config", "main", configurationJSON(1, "a.example"))
	s.put("servers", "good", serverEntryJSON("10.0.0.9:80", "ready"))
	for n, text := range invalid {
		s.put("servers", fmt.Sprintf("bad-%d", n), text)
	}
	runFollowers(t, s, 1, func(followers []*Follower) {
		names := make([]string, 0, len(invalid)+1)
		for _, server := range followers[0].Current().Rules.Servers("s") {
			names = append(names, server.Server)
		}
		if !slices.Equal(names, []string{"good"}) {
			t.Errorf("unexpected servers, got %v instead of only the valid one", names)
		}
	})
}

// A fleet that starts at once must not read the store much more often than once for each instance and kind: calls are
// charged, and all instances begin without knowing which others started before.
func TestFleetThatStartsAtOnceReadsTheStoreOnce(t *testing.T) {
	const instances, settle = 40, time.Second
	s := newFakeStore()
	s.put("config", "main", configurationJSON(1, "a.example"))
	s.put("servers", "a", serverEntryJSON("10.0.0.1:80", "ready"))
	startedAt := time.Time{}
	runFollowersWith(t, s, instances, func(n int, f *Follower) {
		if startedAt.IsZero() {
			startedAt = time.Now()
		}
		f.StartRank = func() int {
			if time.Since(startedAt) < settle {
				return 0 // the instance knows no others yet
			}
			return n
		}
	}, func([]*Follower) {
		sleep(3 * time.Second)
		lists, watches := s.counts()
		polls := pollers * 2 * int(5*time.Second/pollInterval)
		if most := 2*instances + polls; lists > most {
			t.Errorf("%d lists read, more than %d", lists, most)
		}
		if most := 2 * watchers; watches > most {
			t.Errorf("%d watches begun, more than %d", watches, most)
		}
	})
}

// Notifications of changes go to peers in the same availability zone first.
func TestMostNotifiedPeersAreNear(t *testing.T) {
	f := NewFollower(nil)
	f.NearPeers = func() []string { return []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7"} }
	f.Peers = func() []string {
		return []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "f1", "f2", "f3", "f4", "f5", "f6", "f7", "f8", "f9"}
	}
	for range 50 {
		picked := f.pickNotified()
		near := 0
		for _, address := range picked {
			if address[0] == 'n' {
				near++
			}
		}
		if len(picked) != maxNotifiedPeers || near < maxNotifiedNear || len(slices.Compact(slices.Sorted(slices.Values(picked)))) != len(picked) {
			t.Fatalf("unexpected peers to notify: %v", picked)
		}
	}
}

// A store that responds slowly must not delay what is noticed of leaving servers, while watches are silent: only large lists are
// left to the watch.
func TestLeavingServersAreNoticedInASlowStoreWithSilentWatches(t *testing.T) {
	const slow = 200 * time.Millisecond // of each call
	s := newFakeStore()
	s.put("config", "main", configurationJSON(1, "a.example"))
	runFollowersWith(t, s, 1, func(_ int, f *Follower) {
		watch, changes, newest := f.Watch, f.Changes, f.Newest
		f.Watch = func(ctx context.Context, kind string, after platform.Version) (platform.List, error) {
			sleep(slow)
			return watch(ctx, kind, after)
		}
		f.Changes = func(ctx context.Context, kind string, after platform.Version) (platform.List, error) {
			sleep(slow)
			return changes(ctx, kind, after)
		}
		f.Newest = func(ctx context.Context) (platform.Version, error) {
			sleep(slow)
			return newest(ctx)
		}
	}, func(followers []*Follower) {
		for n := range 5 {
			s.put("servers", fmt.Sprint(n), serverEntryJSON(fmt.Sprintf("10.0.0.1:%d", n+1), "ready"))
		}
		sleep(3 * time.Second)
		s.set(func() { s.watchesSilent = true })
		for n := range 5 {
			sleep(time.Duration(n+10) * 100 * time.Millisecond) // at different times between readings
			id := fmt.Sprint(n)
			s.put("servers", id, serverEntryJSON(fmt.Sprintf("10.0.0.1:%d", n+1), "draining"))
			sleep(pollInterval + 3*slow) // one reading: the version, the servers and the configuration
			if server, _ := followers[0].Current().Server(id); !server.Leaving {
				t.Errorf("server %s does not leave", id)
			}
		}
	})
}
