// Package registry follows the operator's configuration and the entries of backend servers in the platform store. The
// instances relay both to each other, so that all stay current while the store responds to only some of them.
package registry

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/gossip"
	"teaselgate/platform"
	"teaselgate/transfer"
)

// Timing of following the store, and the numbers of instances that do so.
const (
	retryDelay   = 200 * time.Millisecond // delay after a failed watch, and interval of removeLapsed
	fetchTimeout = time.Second            // timeout of a fetch of entries from a peer, a page at a time
	// lapseGrace is how long a server is kept whose entry is missing after an outage of the store. An entry that lapsed
	// during the outage is back within two seconds, and a server that is gone must get no requests after two seconds.
	lapseGrace    = 1800 * time.Millisecond
	tombstoneLife = time.Minute // how long a removed entry is kept as a tombstone
	// revivalDelay is how long an entry of a removed server must stay in a restored store before the server is used again:
	// longer than the entry of a server that sends no heartbeats is kept.
	revivalDelay = 5 * time.Second
	// pollInterval is the time between readings of the store by the first instances of the fleet, since a watch may miss
	// a change. After each reading they notify the other instances, so that all know a change within the two seconds that
	// are allowed.
	pollInterval           = 700 * time.Millisecond
	pollTimeout            = time.Second             // a healthy store tells its version within milliseconds
	changesTimeout         = 300 * time.Millisecond  // a store whose watches are silent does not reply to a call for changes
	unansweredPollInterval = 1500 * time.Millisecond // interval between readings while the store does not respond
	storeContactLife       = 2 * pollInterval        // time for which a contact with the store counts
	pollers                = 2                       // instances that always poll; with two, polling goes on when one ends
	watchers               = 3                       // instances that watch the store; the others are notified by them
	watchCheckInterval     = 500 * time.Millisecond  // interval between checks whether to watch
	// rankSettleTime is the time from the start to the first poll, and from the first reading of the store to the first
	// watch, in which an instance learns which others started earlier. Without it all instances of a fleet that starts at
	// once would watch and poll.
	rankSettleTime = 1200 * time.Millisecond
	// watchDelay is the delay between watches, since entries change in groups and each call to the store is charged.
	watchDelay = 100 * time.Millisecond
)

// Follower follows the operator's configuration and the entries of backend servers. Its exported fields are set before
// Serve.
type Follower struct {
	Watch           func(ctx context.Context, kind string, after platform.Version) (platform.List, error)
	Changes         func(ctx context.Context, kind string, after platform.Version) (platform.List, error) // as Watch, does not wait
	Newest          func(ctx context.Context) (platform.Version, error)                                   // version of the store's newest change
	Call            func(ctx context.Context, address, method string, args, reply any) error
	Peers           func() []string        // addresses of the other reachable instances
	NearPeers       func() []string        // addresses of those in the availability zone of this instance
	StartRank       func() int             // number of live instances that started earlier
	OnStoreResponse func()                 // called when the store responds
	OnPeerVersion   func(platform.Version) // called with the versions of peers, which tell the era of the store
	Record          func(event.Event)
	Now             func() time.Time
	Self            string // peer address of this instance

	Engines     EngineSettings // settings of model engines
	Evacuations bool           // whether operators request evacuations of availability zones in this store

	view           atomic.Pointer[View]
	mu             sync.Mutex
	config         platform.Version            // version of the configuration in force
	decodedConfig  *platform.Configuration     // that configuration, or nil
	servers        map[string]Entry            // entries and tombstones by id
	serversListed  bool                        // whether a complete list of the servers has been merged
	listedAt       time.Time                   // when that was first so
	changed        chan struct{}               // closed when the next view is put in force
	version        platform.Version            // newest version of the configuration and all entries
	digests        gossip.Digests              // digests of the entries in force
	lapseDeadlines map[string]time.Time        // time until which a lapsed entry is kept, by server id
	leaving        map[string]int64            // starts of servers that have said themselves that they leave, by id
	revivals       map[string]revival          // entries of removed servers in a restored store, by server id
	era            uint64                      // newest era of the store of which a list was merged
	outdatedConfig platform.Version            // last recorded configuration that is older than the one in force
	watched        map[string]platform.Version // version up to which the watch has brought all changes, by kind
	failing        map[string]bool             // whether store calls fail, by kind
	storeBackAt    time.Time                   // when the store last responded again after a failure
	fetching       map[string]bool             // peers from which a fetch is running, by address
	entriesVersion platform.Version            // newest version of the servers' entries
	storeContactAt time.Time                   // when any instance was last known to reach the store
	peersOutdated  chan struct{}               // signals that peers have yet to be notified of a change
	configNews     chan struct{}               // signals that peers have yet to be told of a configuration
	offer          *transfer.Offer             // parts of configurations for other instances
	wanted         *configTransfer             // newest configuration that is to be fetched, or nil
	configWanted   chan struct{}               // signals that wanted has changed
	background     sync.WaitGroup              // goroutines started by Serve, and calls to peers
	evacuations    evacuationSet
	returnedAt     map[string]time.Time  // when the newest evacuation of an availability zone ended
	cold           map[string]coldPeriod // newest cold periods of servers, by id
}

// Entry is a stored object as known to this instance. A removed one is kept as a tombstone, so that an older version
// does not bring it back.
type Entry struct {
	Version  platform.Version
	Gone     bool // whether the object has been removed
	Revived  bool // whether it is in use again after its removal, because a restored store kept it for revivalDelay
	Lapsed   bool // whether it counts as removed only because it was missing after an outage or a restore
	Data     []byte
	mergedAt time.Time // time at which this instance merged the entry
}

// NewFollower returns a follower without data, which reads the store with watch alone.
func NewFollower(watch func(context.Context, string, platform.Version) (platform.List, error)) *Follower {
	return &Follower{
		Watch:   watch,
		Changes: watch,
		Newest: func(ctx context.Context) (platform.Version, error) {
			list, err := watch(ctx, platform.ConfigurationKind, 0)
			return list.Version, err
		},
		Peers:           func() []string { return nil },
		NearPeers:       func() []string { return nil },
		StartRank:       func() int { return 0 },
		OnStoreResponse: func() {},
		OnPeerVersion:   func(platform.Version) {},
		Record:          func(event.Event) {},
		Now:             time.Now,
		servers:         make(map[string]Entry),
		lapseDeadlines:  make(map[string]time.Time),
		revivals:        make(map[string]revival),
		leaving:         make(map[string]int64),
		evacuations:     newEvacuationSet(),
		returnedAt:      make(map[string]time.Time),
		cold:            make(map[string]coldPeriod),
		watched:         make(map[string]platform.Version),
		failing:         make(map[string]bool),
		changed:         make(chan struct{}),
		peersOutdated:   make(chan struct{}, 1),
		configNews:      make(chan struct{}, 1),
		configWanted:    make(chan struct{}, 1),
		offer:           transfer.NewOffer(),
		fetching:        make(map[string]bool),
	}
}

// Current returns the view in force, or nil until both the configuration and the servers are known.
func (f *Follower) Current() *View { return f.view.Load() }

// Changed returns a channel that is closed when the next view is put in force.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// SettledAt returns the time until which the entries of live servers may be missing: they may have lapsed in an outage of
// the store that ended shortly before, or before this instance started.
func (f *Follower) SettledAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	latest := f.listedAt
	if f.storeBackAt.After(latest) {
		latest = f.storeBackAt
	}
	return latest.Add(lapseGrace)
}

// Serve follows the configuration and the servers until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	defer f.background.Wait()
	for _, kind := range f.kinds() {
		f.background.Go(func() { f.watchKind(ctx, kind) })
	}
	f.background.Go(func() { f.pollStore(ctx) })
	f.background.Go(func() { f.notifyPeers(ctx) })
	f.background.Go(func() { f.fetchConfigs(ctx) })
	f.removeLapsed(ctx)
	return ctx.Err()
}

// kinds returns the kinds of objects that are followed.
func (f *Follower) kinds() []string {
	kinds := []string{platform.ConfigurationKind, platform.ServerKind}
	if f.Evacuations {
		kinds = append(kinds, platform.EvacuationKind)
	}
	return kinds
}

// mergeList merges objects from the store. In a complete list, servers that it lacks are gone.
func (f *Follower) mergeList(kind string, list platform.List, complete bool) {
	var configs []config
	if kind == platform.ConfigurationKind {
		configs = f.decodeListed(list)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	f.recordEra(list.Version.Era())
	switch kind {
	case platform.ConfigurationKind:
		for _, c := range configs {
			changed = f.mergeConfig(c, "the store") || changed
		}
	case platform.EvacuationKind:
		changed = f.mergeEvacuations(list, complete)
	default:
		changed = f.mergeServers(list, complete)
	}
	if changed {
		f.rebuildView()
	}
}

// mergeServers merges the entries of servers and reports whether anything changed. The caller holds the lock.
func (f *Follower) mergeServers(list platform.List, complete bool) bool {
	afterOutage := f.Now().Sub(f.storeBackAt) < lapseGrace
	changed := complete && f.recordListed()
	last := lastChanges(list)
	for n, o := range list.Objects {
		if n < last[o.Name] {
			continue
		}
		if o.Deleted {
			changed = f.mergeServer(o.Name, Entry{Version: max(o.Version, list.Version), Gone: true}, afterOutage) || changed
			continue
		}
		changed = f.mergeServer(o.Name, Entry{Version: o.Version, Data: o.Data}, false) || changed
	}
	if !complete {
		return changed
	}
	f.dropUnlistedRevivals(last)
	for id, e := range f.servers {
		if _, listed := last[id]; !listed && !e.Gone {
			changed = f.mergeServer(id, Entry{Version: list.Version, Gone: true}, afterOutage) || changed
		}
	}
	return changed
}

// lastChanges returns the index of the last change of each object, which may have been removed and added again.
func lastChanges(list platform.List) map[string]int {
	last := make(map[string]int, len(list.Objects))
	for n, o := range list.Objects {
		last[o.Name] = n
	}
	return last
}

// recordListed records that a complete list of the servers was merged, and reports whether it was the first. The caller
// holds the lock.
func (f *Follower) recordListed() bool {
	if f.serversListed {
		return false
	}
	f.serversListed, f.listedAt = true, f.Now()
	return true
}

// mergeServer stores an entry if it is newer than the known one, and reports whether it did. A removal that may be a
// lapse during an outage is delayed for lapseGrace from the first time that the entry is missing.
// The caller holds the lock.
func (f *Follower) mergeServer(id string, e Entry, mayHaveLapsed bool) bool {
	old, known := f.servers[id]
	if known && e.Version <= old.Version || !known && e.Gone {
		return false
	}
	if known && !e.Gone && e.Version.Era() > old.Version.Era() {
		var keep bool
		if e, keep = f.resolveRestored(id, old, e); keep {
			return false
		}
	}
	if e.Gone && mayHaveLapsed && f.delayLapse(id, old, e) {
		return false
	}
	delete(f.lapseDeadlines, id)
	delete(f.revivals, id)
	if e.Gone && len(e.Data) == 0 {
		e.Data = old.Data // tells the server's last start and state
	}
	e.mergedAt = f.Now()
	f.servers[id] = e
	f.version, f.entriesVersion = max(f.version, e.Version), max(f.entriesVersion, e.Version)
	if e.Gone {
		f.Record(event.Event{Code: event.ServerRemoved, Server: id, Detail: fmt.Sprintf("version %v", e.Version)})
	}
	return true
}

// delayLapse reports whether a removal that may be a lapse is to be delayed, and starts the delay at the first one.
// The caller holds the lock.
func (f *Follower) delayLapse(id string, old, removal Entry) bool {
	if _, waiting := f.lapseDeadlines[id]; waiting {
		return true
	}
	if old.Gone {
		return false
	}
	f.lapseDeadlines[id] = f.Now().Add(lapseGrace)
	f.Record(event.Event{Code: event.ServerEntryMissing, Server: id, Detail: fmt.Sprintf("version %v", removal.Version)})
	return true
}

// rebuildView puts a new view of the known configuration and servers in force, and has the peers notified. The caller
// holds the lock.
func (f *Follower) rebuildView() {
	if f.config == 0 || !f.serversListed || f.Evacuations && f.evacuations.listed == 0 {
		return
	}
	f.replaceView()
	f.digests = f.computeDigests()
	signal(f.peersOutdated)
}

// signal sends on a channel with room for one signal, unless one is waiting there.
func signal(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// replaceView puts a new view of the known configuration and servers in force. The caller holds the lock.
func (f *Follower) replaceView() {
	var servers []platform.Server
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		e := f.servers[id]
		if e.Gone {
			continue
		}
		server, err := platform.ReadServer(id, e.Data)
		if err != nil {
			f.Record(event.Event{Code: event.ServerEntryInvalid, Server: id, Detail: err.Error()})
			continue
		}
		server.Leaving = server.Leaving || f.saysLeaving(server)
		server.Evacuated = f.evacuations.inForce(server.Zone)
		servers = append(servers, server)
	}
	f.markCold(servers)
	old := f.view.Load()
	view := NewView(f.decodedConfig, servers, f.Engines)
	f.view.Store(view)
	close(f.changed)
	f.changed = make(chan struct{})
	f.recordServerChanges(old, view)
}

// recordServerChanges records each server that is new or whose entry has changed, as ready or as leaving.
func (f *Follower) recordServerChanges(old, current *View) {
	for id, s := range current.servers {
		var before platform.Server
		if old != nil {
			before = old.servers[id]
		}
		if isSameEntry(s, before) {
			continue
		}
		code := event.ServerReady
		if s.Leaving {
			code = event.ServerLeaving
		}
		f.Record(event.Event{
			Code: code, Server: id,
			Detail: fmt.Sprintf("%s of %s at %s, version %v",
				cmp.Or(string(s.Stage), "plain"), s.Service, s.Address, f.servers[id].Version),
		})
	}
}

// isSameEntry reports whether two states of a server come from the same entry.
func isSameEntry(a, b platform.Server) bool {
	b.Evacuated, b.ColdSince, b.ColdUntil = a.Evacuated, a.ColdSince, a.ColdUntil
	return a == b
}

// removeLapsed removes expired tombstones and, after an outage of the store, the servers whose entries have been
// missing for lapseGrace. It runs until the context ends.
func (f *Follower) removeLapsed(ctx context.Context) {
	for delay.For(ctx, retryDelay) == nil {
		f.mu.Lock()
		now, changed := f.Now(), false
		for id, until := range f.lapseDeadlines {
			if now.After(until) {
				changed = f.mergeServer(id, Entry{Version: f.servers[id].Version + 1, Gone: true, Lapsed: true}, false) || changed
			}
		}
		changed = f.mergeRevivals(now) || changed
		for id, e := range f.servers {
			if e.Gone && now.Sub(e.mergedAt) > tombstoneLife {
				delete(f.servers, id)
				delete(f.leaving, id)
			}
		}
		if changed {
			f.rebuildView()
		}
		f.mu.Unlock()
	}
}
