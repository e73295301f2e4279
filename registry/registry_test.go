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
)

// store is a store whose watches can be deaf and that can be down. It is safe for concurrent use.
type store struct {
	mu       sync.Mutex
	version  uint64
	objects  map[string]map[string]platform.Object
	removals map[string][]platform.Object
	changed  chan struct{}
	deaf     bool // watches hear nothing
	down     bool
	kept     uint64 // history before this version is gone
	blind    int    // so many of the first instances get no answer
}

const watchWait = 10 * time.Second

func newStore() *store {
	return &store{
		version: 1, objects: make(map[string]map[string]platform.Object),
		removals: make(map[string][]platform.Object), changed: make(chan struct{}),
	}
}

func (s *store) put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]platform.Object)
	}
	s.objects[kind][name] = platform.Object{Kind: kind, Name: name, Version: s.version, Data: json.RawMessage(spec)}
	s.wake()
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	delete(s.objects[kind], name)
	s.removals[kind] = append(s.removals[kind], platform.Object{Kind: kind, Name: name, Version: s.version, Deleted: true})
	s.wake()
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.wake()
}

// turnedAway tells whether the store leaves an instance unanswered.
func (s *store) turnedAway(instance int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return instance < s.blind
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) watch(ctx context.Context, kind string, after uint64) (platform.List, error) {
	end := time.After(watchWait)
	for {
		s.mu.Lock()
		list, changed := platform.List{Version: s.version}, s.changed
		down, deaf, gone := s.down, s.deaf, after > 0 && after < s.kept
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
		case gone && !deaf:
			return platform.List{}, platform.ErrHistoryDropped
		case len(list.Objects) > 0 && !deaf:
			return list, nil
		}
		select {
		case <-changed:
		case <-end:
			return platform.List{Version: after}, nil
		case <-ctx.Done():
			return platform.List{}, ctx.Err()
		}
	}
}

func configuration(version int, host string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","hostname":%q,"pathPrefix":"/a/","routeType":"idempotent",`+
		`"timeoutMs":1000,"service":"s"}],"services":[{"name":"s"}],"limits":{},"tenants":[]}`, version, host)
}

func entry(address, state string) string {
	return fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":6,"state":%q,"sequence":1}`, address, state)
}

// run runs followers against a store in fake time; peers reach each other by their number.
func run(t *testing.T, s *store, instances int, test func(followers []*Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s.set(func() {}) // its channel must belong to the bubble
		ctx, stop := context.WithCancel(t.Context())
		followers := make([]*Follower, instances)
		var serving sync.WaitGroup
		for n := range followers {
			f := NewFollower(func(ctx context.Context, kind string, after uint64) (platform.List, error) {
				if s.turnedAway(n) {
					<-ctx.Done()
					return platform.List{}, platform.ErrUnavailable
				}
				return s.watch(ctx, kind, after)
			})
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
				if method == RPCName+".Fetch" {
					return followers[m].Receiver().Fetch(args.(FetchArgs), reply.(*FetchReply))
				}
				return followers[m].Receiver().Tell(args.(TellArgs), reply.(*TellReply))
			}
			followers[n] = f
		}
		for _, f := range followers {
			serving.Go(func() { _ = f.Serve(ctx) })
		}
		pass(time.Second)
		test(followers)
		stop()
		serving.Wait()
	})
}

func pass(d time.Duration) { <-time.After(d) }

// Replays the load of a store that serves readings while its watches are silent, as when its history is dropped.
func TestChangesArriveInTimeThoughWatchesAreDeaf(t *testing.T) {
	const inForce = 2 * time.Second // the users' bound for changes of the configuration and for leaving servers
	s := newStore()
	s.put("config", "main", configuration(1, "old.example"))
	s.put("servers", "a", entry("10.0.0.1:80", "ready"))
	run(t, s, 6, func(followers []*Follower) {
		s.set(func() { s.deaf = true })
		s.put("config", "main", configuration(2, "new.example"))
		s.put("servers", "a", entry("10.0.0.1:80", "draining"))
		s.set(func() { s.kept = s.version })
		pass(inForce)
		for n, f := range followers {
			if _, ok := f.Current().Route("new.example", "/a/x"); !ok {
				t.Errorf("instance %d has the old configuration after %v", n, inForce)
			}
			if server, _ := f.Current().Server("a"); !server.Leaving {
				t.Errorf("instance %d does not know after %v that the server is leaving", n, inForce)
			}
		}
	})
}

// Replays the load of a store that turns away just the instances that watch it, without a word, and serves the others.
func TestChangesArriveInTimeThoughTheWatchersAreTurnedAway(t *testing.T) {
	const inForce = 2 * time.Second
	s := newStore()
	s.put("config", "main", configuration(1, "old.example"))
	s.put("servers", "a", entry("10.0.0.1:80", "ready"))
	run(t, s, 8, func(followers []*Follower) {
		s.set(func() { s.deaf = true })
		s.set(func() { s.blind = watchers })
		pass(50 * time.Millisecond)
		s.put("config", "main", configuration(2, "new.example"))
		s.put("servers", "a", entry("10.0.0.1:80", "draining"))
		pass(inForce)
		for n, f := range followers {
			if _, ok := f.Current().Route("new.example", "/a/x"); !ok {
				t.Errorf("instance %d has the old configuration after %v", n, inForce)
			}
			if server, _ := f.Current().Server("a"); !server.Leaving {
				t.Errorf("instance %d does not know after %v that the server is leaving", n, inForce)
			}
		}
	})
}

func TestAnOlderConfigurationNeverComesBack(t *testing.T) {
	s := newStore()
	s.put("config", "main", configuration(2, "new.example"))
	run(t, s, 2, func(followers []*Follower) {
		f := followers[0]
		f.take("config", platform.List{Version: 1, Objects: []platform.Object{{
			Kind: "config", Name: "main", Version: 1, Data: json.RawMessage(configuration(1, "old.example")),
		}}}, true)
		if _, ok := f.Current().Route("new.example", "/a/x"); !ok {
			t.Error("an older configuration was put in force")
		}
	})
}

// Replays the load of an outage in which a server's entry lapses: it is back within two seconds of the store's return,
// or the server is gone.
func TestServersThatLapseInAnOutageAreKeptForAMoment(t *testing.T) {
	cases := []struct {
		name    string
		returns bool
	}{{"back in time", true}, {"gone", false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStore()
			s.put("config", "main", configuration(1, "a.example"))
			s.put("servers", "a", entry("10.0.0.1:80", "ready"))
			run(t, s, 1, func(followers []*Follower) {
				f := followers[0]
				s.set(func() { s.down = true })
				pass(5 * time.Second)
				s.remove("servers", "a")
				s.set(func() { s.down = false })
				pass(1500 * time.Millisecond)
				if _, ok := f.Current().Server("a"); !ok {
					t.Error("a server whose entry may come back was dropped")
				}
				if c.returns {
					s.put("servers", "a", entry("10.0.0.1:80", "ready"))
				}
				pass(time.Second)
				if _, ok := f.Current().Server("a"); ok != c.returns {
					t.Errorf("unexpected presence of the server, got %v instead of %v", ok, c.returns)
				}
			})
		})
	}
}

func TestAnInstanceThatTheStoreTurnsAwayLearnsFromPeers(t *testing.T) {
	s := newStore()
	s.put("config", "main", configuration(1, "old.example"))
	s.put("servers", "a", entry("10.0.0.1:80", "ready"))
	run(t, s, 3, func(followers []*Follower) {
		cut := followers[2]
		s.put("servers", "b", entry("10.0.0.2:80", "ready"))
		pass(300 * time.Millisecond)
		lone := NewFollower(func(context.Context, string, uint64) (platform.List, error) {
			return platform.List{}, platform.ErrUnavailable
		})
		lone.Call = cut.Call
		lone.FetchIfNewer("0", followers[0].Version())
		pass(100 * time.Millisecond)
		view := lone.Current()
		if view == nil {
			t.Fatal("the instance knows nothing although a peer does")
		}
		if _, ok := view.Server("b"); !ok {
			t.Error("the instance does not know the newest server")
		}
	})
}

func TestEntriesOfOtherWritersNameNoServer(t *testing.T) {
	bad := []string{
		`"text"`, `{}`, `{"service":"s","zone":"z","state":"ready"}`, `{"service":"s","address":"x","zone":"z","state":"ready"}`,
		`{"service":7,"address":"10.0.0.1:80","zone":"z","state":"ready"}`,
		`{"service":"s","address":"10.0.0.1:80","zone":"z","state":"odd"}`,
		`{"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","stage":"odd"}`,
	}
	s := newStore()
	s.put("config", "main", configuration(1, "a.example"))
	s.put("servers", "good", entry("10.0.0.9:80", "ready"))
	for n, text := range bad {
		s.put("servers", fmt.Sprintf("bad-%d", n), text)
	}
	run(t, s, 1, func(followers []*Follower) {
		names := make([]string, 0, len(bad)+1)
		for _, server := range followers[0].Current().Rules.Servers("s") {
			names = append(names, server.Server)
		}
		if !slices.Equal(names, []string{"good"}) {
			t.Errorf("unexpected servers, got %v instead of the good one", names)
		}
	})
}
