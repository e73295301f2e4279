package registry

import (
	"context"
	"maps"
	"testing"
	"time"

	"teaselgate/platform"
)

// fakeBackup is a copy of a fakeStore's objects.
type fakeBackup struct {
	version platform.Version
	objects map[string]map[string]platform.Object
}

func (s *fakeStore) backup() fakeBackup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := fakeBackup{s.version, make(map[string]map[string]platform.Object)}
	for kind, objects := range s.objects {
		b.objects[kind] = maps.Clone(objects)
	}
	return b
}

// restore goes back to a backup in a new era.
func (s *fakeStore) restore(b fakeBackup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.version.Era() + 1
	s.version = platform.NewVersion(era, b.version.Revision())
	s.historyStart = platform.NewVersion(era, 0)
	s.objects, s.removals = make(map[string]map[string]platform.Object), make(map[string][]platform.Object)
	for kind, objects := range b.objects {
		s.objects[kind] = make(map[string]platform.Object)
		for name, o := range objects {
			o.Version = platform.NewVersion(era, o.Version.Revision())
			s.objects[kind][name] = o
		}
	}
	s.notifyWatchers()
}

func TestConfigurationInForceDoesNotGoBackWithTheStore(t *testing.T) {
	s := newFakeStore()
	s.put("config", "main", configurationJSON(1, "old.example"))
	s.put("servers", "a", serverEntryJSON("10.0.0.1:80", "ready"))
	runFollowers(t, s, 6, func(followers []*Follower) {
		check := func(host string) {
			t.Helper()
			for n, f := range followers {
				if _, ok := f.Current().Route(host, "/a/x"); !ok {
					t.Errorf("instance %d does not have the configuration of %s", n, host)
				}
			}
		}
		copied := s.backup()
		s.put("config", "main", configurationJSON(2, "new.example"))
		sleep(2 * time.Second)
		check("new.example")
		s.restore(copied)
		sleep(2 * time.Second)
		check("new.example")
		s.put("config", "main", configurationJSON(2, "new.example"))
		s.put("config", "main", configurationJSON(3, "newest.example"))
		sleep(2 * time.Second)
		check("newest.example")
	})
}

// An instance that starts between the restore and the operator's writing has only the old configuration from the store.
func TestInstanceThatStartsAfterARestoreTakesTheConfigurationOfPeers(t *testing.T) {
	s := newFakeStore()
	s.put("config", "main", configurationJSON(1, "old.example"))
	s.put("servers", "a", serverEntryJSON("10.0.0.1:80", "ready"))
	runFollowers(t, s, 4, func(followers []*Follower) {
		copied := s.backup()
		s.put("config", "main", configurationJSON(2, "new.example"))
		sleep(2 * time.Second)
		s.restore(copied)
		sleep(2 * time.Second)
		started := NewFollower(s.watch)
		started.Call = followers[3].Call
		defer startFetchingConfigs(started)()
		reads := map[string]*storeRead{platform.ConfigurationKind: {}, platform.ServerKind: {}}
		if !started.readChanges(context.Background(), reads) { // that of t belongs to another bubble of synctest
			t.Fatal("the store does not respond")
		}
		started.fetchFrom("1")
		sleep(100 * time.Millisecond)
		if _, ok := started.Current().Route("new.example", "/a/x"); !ok {
			t.Error("the new instance does not have the configuration in force")
		}
	})
}

func TestServersAfterARestore(t *testing.T) {
	cases := []struct {
		name       string
		before     string // state in the copy; empty if it has no entry
		lost       string // state written after the copy
		startedMS  int    // start of the server that the copy has
		written    string // state that the server writes again one second after the restore; empty if it is gone
		wantAfter  string // state in force a second after the restore
		wantAtLast string // state in force ten seconds after the restore
	}{
		{"draining was lost", "ready", "draining", 5, "draining", "draining", "draining"},
		{"draining was lost, and the server ended", "ready", "draining", 5, "", "draining", ""},
		{"removal was lost, and the server ended", "ready", "", 5, "", "", ""},
		{"removal was lost, but the server lives", "ready", "", 5, "ready", "", "ready"},
		{"entry was lost", "", "ready", 5, "ready", "ready", "ready"},
		{"entry was lost, and the server ended", "", "ready", 5, "", "ready", ""},
		{"a later start was lost", "draining", "ready", 4, "ready", "ready", "ready"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeStore()
			set := func(state string, startedMS int) {
				if state == "" {
					s.remove("servers", "a")
					return
				}
				s.put("servers", "a", startedServerJSON("10.0.0.1:80", state, startedMS))
			}
			s.put("config", "main", configurationJSON(1, "a.example"))
			if c.before != "" {
				set(c.before, c.startedMS)
			}
			runFollowers(t, s, 5, func(followers []*Follower) {
				check := func(when, want string) {
					t.Helper()
					for n, f := range followers {
						got := ""
						if server, ok := f.Current().Server("a"); ok {
							got = map[bool]string{true: "draining", false: "ready"}[server.Leaving]
						}
						if got != want {
							t.Errorf("unexpected server at instance %d %s, got %q instead of %q", n, when, got, want)
						}
					}
				}
				copied := s.backup()
				set(c.lost, 5)
				sleep(3 * time.Second)
				check("before the restore", c.lost)
				s.restore(copied)
				sleep(time.Second)
				check("after the restore", c.wantAfter)
				set(c.written, 5)
				sleep(9 * time.Second)
				check("at last", c.wantAtLast)
			})
		})
	}
}
