// Package registry keeps what the operator configured and which backend servers have registered, as the platform's
// store says, and tells other instances what it knows while the store turns them away.
package registry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/platform"
)

// Timing of following the store.
const (
	retryDelay   = 200 * time.Millisecond // after a call that failed
	fetchTimeout = time.Second
	// lapseGrace is how long a server whose entry is missing after an outage of the store is kept: entries that lapsed
	// meanwhile are back within two seconds, and a server that is gone may get nothing after two seconds.
	lapseGrace = 1800 * time.Millisecond
	goneLife   = time.Minute // how long the removal of an entry is remembered
	// pulseInterval is the time between readings of the store by the first instances of the fleet, since a watch may
	// hear nothing of a change. They tell the others that they see the store, and what is new, so that all know well
	// within the two seconds that the users allow.
	pulseInterval = 700 * time.Millisecond
	pulseTimeout  = time.Second             // a healthy store answers in milliseconds
	blindInterval = 1500 * time.Millisecond // between readings of an instance that the store does not answer
	sightLife     = 2 * pulseInterval       // how long an instance relies on another that saw the store
	pulsers       = 2                       // instances that read often: the second for when the first has just ended
	watchers      = 3                       // instances that watch; the others learn from them
	watchCheck    = 500 * time.Millisecond  // between looks whether to watch
	watchPause    = 100 * time.Millisecond  // before the next watch: entries change in groups, and each call is priced
)

// Follower follows the operator's configuration and the servers' entries. Its exported fields are set before Serve.
type Follower struct {
	Watch         func(ctx context.Context, kind string, after uint64) (platform.List, error)
	Call          func(ctx context.Context, address, method string, args, reply any) error
	Peers         func() []string // addresses of the instances that are heard, without this one
	StartRank     func() int      // number of live instances that started earlier
	OnStoreAnswer func()          // told when the store answers
	Record        func(event.Event)
	Now           func() time.Time
	Self          string // peer address of this instance

	Engines EngineSettings

	view     atomic.Pointer[View]
	mu       sync.Mutex
	config   Entry
	decoded  *platform.Configuration // of config
	servers  map[string]Entry        // by id
	listed   bool                    // whether the servers were ever listed
	version  uint64                  // newest version of anything kept
	digest   uint64                  // of all that is kept
	lapses   map[string]time.Time
	down     map[string]bool // kinds whose store calls fail
	returned time.Time       // when the store last answered again
	fetching atomic.Bool
	sight    time.Time     // when an instance was last known to see the store
	news     chan struct{} // something newer is known than what peers were told
	calls    sync.WaitGroup
}

// Entry is one stored object as known here. A removed one is kept for a while, so that older news don't bring it back.
type Entry struct {
	Version uint64
	Gone    bool
	Data    []byte
	goneAt  time.Time
}

// NewFollower returns a follower that knows nothing yet.
func NewFollower(watch func(context.Context, string, uint64) (platform.List, error)) *Follower {
	return &Follower{
		Watch:         watch,
		Peers:         func() []string { return nil },
		StartRank:     func() int { return 0 },
		OnStoreAnswer: func() {},
		Record:        func(event.Event) {},
		Now:           time.Now,
		servers:       make(map[string]Entry),
		lapses:        make(map[string]time.Time),
		down:          make(map[string]bool),
		news:          make(chan struct{}, 1),
	}
}

// Current returns what is in force, nil before both the configuration and the servers are known.
func (f *Follower) Current() *View { return f.view.Load() }

// Serve follows both kinds until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	defer f.calls.Wait()
	f.calls.Go(func() { f.follow(ctx, platform.ConfigurationKind) })
	f.calls.Go(func() { f.follow(ctx, platform.ServerKind) })
	f.calls.Go(func() { f.pulse(ctx) })
	f.calls.Go(func() { f.tellPeers(ctx) })
	f.dropLapsed(ctx)
	return ctx.Err()
}

// follow reads all objects of a kind, then their changes, while this instance is one that watches; after a failure it
// goes on where it was.
func (f *Follower) follow(ctx context.Context, kind string) {
	var seen uint64
	for ctx.Err() == nil {
		if seen > 0 && f.StartRank() >= watchers {
			seen = 0
			_ = delay.For(ctx, watchCheck)
			continue
		}
		if seen == 0 && f.StartRank() >= watchers && f.Current() != nil {
			_ = delay.For(ctx, watchCheck)
			continue
		}
		list, err := f.Watch(ctx, kind, seen)
		if errors.Is(err, platform.ErrHistoryDropped) {
			seen = 0
			continue
		}
		if err != nil {
			f.lost(ctx, kind, err)
			_ = delay.For(ctx, retryDelay)
			continue
		}
		f.regained(kind)
		f.take(kind, list, seen == 0)
		seen = list.Version
		_ = delay.For(ctx, watchPause)
	}
}

// pulse reads both kinds. Loads that it answers: the store goes on serving while its watches are silent, and it turns
// away just the instances that watch.
func (f *Follower) pulse(ctx context.Context) {
	for delay.For(ctx, pulseInterval) == nil {
		if f.StartRank() >= pulsers && f.sighted() {
			continue
		}
		if !f.readAll(ctx) {
			_ = delay.For(ctx, blindInterval-pulseInterval)
			continue
		}
		f.sees()
		f.tell(ctx, f.Peers(), true)
	}
}

// sighted tells whether an instance saw the store lately.
func (f *Follower) sighted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Now().Sub(f.sight) < sightLife
}

// LastStoreContact returns when an instance that is heard was last known to see the store; zero before the first time.
func (f *Follower) LastStoreContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sight
}

// sees notes that an instance has just seen the store.
func (f *Follower) sees() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sight = f.Now()
}

// readAll reads both kinds; it returns false if the store does not answer.
func (f *Follower) readAll(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, pulseTimeout)
	defer stop()
	for _, kind := range []string{platform.ConfigurationKind, platform.ServerKind} {
		list, err := f.Watch(ctx, kind, 0)
		if err != nil {
			f.lost(ctx, kind, err)
			return false
		}
		f.regained(kind)
		f.take(kind, list, true)
	}
	return true
}

func (f *Follower) lost(ctx context.Context, kind string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() == nil && !f.down[kind] {
		f.down[kind] = true
		f.Record(event.Event{Code: event.PlatformUnreachable, Detail: kind + ": " + err.Error()})
	}
}

// regained notes an answer of the store.
func (f *Follower) regained(kind string) {
	f.OnStoreAnswer()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.down[kind] {
		return
	}
	f.down[kind] = false
	f.returned = f.Now()
	f.Record(event.Event{Code: event.PlatformReachable, Detail: kind})
}

// take merges objects of the store. A whole listing also tells which servers are gone.
func (f *Follower) take(kind string, list platform.List, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	if kind == platform.ConfigurationKind {
		for _, o := range list.Objects {
			if o.Name == platform.ConfigurationName && !o.Deleted {
				changed = f.takeConfig(Entry{Version: o.Version, Data: o.Data}) || changed
			}
		}
	} else {
		changed = f.takeServers(list, whole)
	}
	if changed {
		f.rebuild()
	}
}

func (f *Follower) takeServers(list platform.List, whole bool) bool {
	returned := f.Now().Sub(f.returned) < lapseGrace
	changed := whole && !f.listed
	f.listed = f.listed || whole
	last := make(map[string]int, len(list.Objects)) // change of each entry that counts: it may have gone and come back
	for n, o := range list.Objects {
		last[o.Name] = n
	}
	for n, o := range list.Objects {
		if n < last[o.Name] {
			continue
		}
		if o.Deleted {
			changed = f.takeServer(o.Name, Entry{Version: max(o.Version, list.Version), Gone: true}, returned) || changed
			continue
		}
		changed = f.takeServer(o.Name, Entry{Version: o.Version, Data: o.Data}, false) || changed
	}
	if !whole {
		return changed
	}
	for id, e := range f.servers {
		if _, named := last[id]; !named && !e.Gone {
			changed = f.takeServer(id, Entry{Version: list.Version, Gone: true}, returned) || changed
		}
	}
	return changed
}

// takeServer keeps an entry unless a newer one is known. One that lapsed during an outage is kept for a while.
func (f *Follower) takeServer(id string, e Entry, lapsed bool) bool {
	old, known := f.servers[id]
	if known && e.Version <= old.Version || !known && e.Gone {
		return false
	}
	if _, waits := f.lapses[id]; e.Gone && lapsed && waits {
		return false
	}
	if e.Gone && lapsed && !old.Gone {
		f.lapses[id] = f.Now().Add(lapseGrace)
		f.Record(event.Event{Code: event.ServerEntryMissing, Server: id, Detail: fmt.Sprintf("version %d", e.Version)})
		return false
	}
	delete(f.lapses, id)
	e.goneAt = f.Now()
	f.servers[id] = e
	f.version = max(f.version, e.Version)
	if e.Gone {
		f.Record(event.Event{Code: event.ServerRemoved, Server: id, Detail: fmt.Sprintf("version %d", e.Version)})
	}
	return true
}

func (f *Follower) takeConfig(e Entry) bool {
	if e.Version <= f.config.Version {
		return false
	}
	c, err := platform.ReadConfiguration(e.Data)
	if err != nil {
		f.Record(event.Event{Code: event.RulesRejected, Detail: fmt.Sprintf("version %d: %v", e.Version, err)})
		return false
	}
	f.config, f.decoded = e, c
	f.version = max(f.version, e.Version)
	f.Record(event.Event{Code: event.RulesApplied, Detail: fmt.Sprintf("configuration %d, version %d", c.Version, e.Version)})
	return true
}

// rebuild makes the view of what is known; the caller holds the lock.
func (f *Follower) rebuild() {
	if f.config.Version == 0 || !f.listed {
		return
	}
	var servers []platform.Server
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		e := f.servers[id]
		if e.Gone {
			continue
		}
		s, err := platform.ReadServer(id, e.Data)
		if err != nil {
			f.Record(event.Event{Code: event.ServerEntryInvalid, Server: id, Detail: err.Error()})
			continue
		}
		servers = append(servers, s)
	}
	old := f.view.Load()
	view := NewView(f.decoded, servers, f.Engines)
	f.view.Store(view)
	f.digest = f.digestOf()
	f.recordServers(old, view)
	select {
	case f.news <- struct{}{}:
	default:
	}
}

// recordServers notes each server that became usable, leaves, or does other work than before.
func (f *Follower) recordServers(old, current *View) {
	for id, s := range current.servers {
		var before platform.Server
		if old != nil {
			before = old.servers[id]
		}
		if s == before {
			continue
		}
		code := event.ServerReady
		if s.Leaving {
			code = event.ServerLeaving
		}
		f.Record(event.Event{
			Code: code, Server: id,
			Detail: fmt.Sprintf("%s of %s at %s, version %d", cmp.Or(string(s.Stage), "plain"), s.Service, s.Address, f.servers[id].Version),
		})
	}
}

// dropLapsed takes servers as gone whose entries are still missing after an outage of the store.
func (f *Follower) dropLapsed(ctx context.Context) {
	for delay.For(ctx, retryDelay) == nil {
		f.mu.Lock()
		now, changed := f.Now(), false
		for id, until := range f.lapses {
			if now.After(until) {
				changed = f.takeServer(id, Entry{Version: f.servers[id].Version + 1, Gone: true}, false) || changed
			}
		}
		for id, e := range f.servers {
			if e.Gone && now.Sub(e.goneAt) > goneLife {
				delete(f.servers, id)
			}
		}
		if changed {
			f.rebuild()
		}
		f.mu.Unlock()
	}
}
