package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"teaselgate/platform"
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
