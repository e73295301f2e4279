package registry

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"teaselgate/platform"
)

// runPollerOfLargeConfiguration runs one follower of a store with a configuration above largeList. Its calls for changes get no
// reply while watches are silent. The test gets the number of bytes of configurations that the follower has read so far.
func runPollerOfLargeConfiguration(t *testing.T, s *fakeStore, test func(f *Follower, readBytes *atomic.Int64)) {
	t.Helper()
	s.put("config", "main", largeConfigurationJSON(1, 1400, "a.example"))
	s.put("servers", "a", serverEntryJSON("10.0.0.1:80", "ready"))
	var readBytes atomic.Int64
	runFollowersWith(t, s, 1, func(_ int, f *Follower) {
		count := func(kind string, list platform.List) {
			if kind == platform.ConfigurationKind {
				readBytes.Add(int64(list.Size()))
			}
		}
		watch, changes := f.Watch, f.Changes
		f.Watch = func(ctx context.Context, kind string, after platform.Version) (platform.List, error) {
			list, err := watch(ctx, kind, after)
			count(kind, list)
			return list, err
		}
		f.Changes = func(ctx context.Context, kind string, after platform.Version) (platform.List, error) {
			if s.isSilent() {
				<-ctx.Done()
				return platform.List{}, platform.ErrUnavailable
			}
			list, err := changes(ctx, kind, after)
			count(kind, list)
			return list, err
		}
	}, func(followers []*Follower) { test(followers[0], &readBytes) })
}

// A change of a server must not have the pollers read a large configuration again: they are the oldest instances, which many
// others ask for permits and placements over the same link.
func TestLargeConfigurationIsNotReadAgainForOtherChanges(t *testing.T) {
	s := newFakeStore()
	runPollerOfLargeConfiguration(t, s, func(_ *Follower, readBytes *atomic.Int64) {
		sleep(3 * time.Second)
		before := readBytes.Load()
		for n := range 20 {
			s.put("servers", "a", startedServerJSON("10.0.0.1:80", "ready", n+1))
			sleep(500 * time.Millisecond)
		}
		if more := readBytes.Load() - before; more > 0 {
			t.Errorf("%d bytes of the unchanged configuration were read, before them %d", more, before)
		}
	})
}

// While watches are silent, a change of a large configuration must be noticed all the same.
func TestLargeConfigurationIsReadWhileWatchesAreSilent(t *testing.T) {
	const bound = 2 * time.Second // required bound for changes of the configuration
	s := newFakeStore()
	runPollerOfLargeConfiguration(t, s, func(f *Follower, _ *atomic.Int64) {
		sleep(3 * time.Second)
		s.set(func() { s.watchesSilent = true })
		for n := range 5 {
			sleep(time.Duration(n+10) * 100 * time.Millisecond)
			s.put("config", "main", largeConfigurationJSON(n+2, 1400, "a.example"))
			sleep(bound)
			if got := f.Current().Configuration.Version; got != int64(n+2) {
				t.Errorf("configuration %d is in force instead of %d", got, n+2)
			}
		}
	})
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
