package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"teaselgate/platform"
	"teaselgate/transfer"
)

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
