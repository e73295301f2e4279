package registry

import (
	"context"
	"errors"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/platform"
)

// watchKind reads all objects of a kind and then watches their changes while this instance is one of the watchers.
// After a failure it continues from the last version seen. An instance that is no watcher reads only until it has a
// view.
func (f *Follower) watchKind(ctx context.Context, kind string) {
	var seen platform.Version
	for ctx.Err() == nil {
		if seen > 0 && f.StartRank() >= watchers {
			seen = 0
			_ = delay.For(ctx, watchCheckInterval)
			continue
		}
		if seen == 0 && f.StartRank() >= watchers && f.Current() != nil {
			_ = delay.For(ctx, watchCheckInterval)
			continue
		}
		list, err := f.Watch(ctx, kind, seen)
		if errors.Is(err, platform.ErrHistoryDropped) {
			seen = 0
			continue
		}
		if err != nil {
			f.recordStoreFailure(ctx, kind, err)
			_ = delay.For(ctx, retryDelay)
			continue
		}
		f.recordStoreResponse(kind)
		f.mergeList(kind, list, seen == 0)
		if seen == 0 {
			f.recordStoreContact()
			_ = delay.For(ctx, rankSettleTime)
		}
		seen = list.Version
		f.recordWatched(kind, seen)
		_ = delay.For(ctx, watchDelay)
	}
}

// pollStore reads what has changed in the store at intervals and notifies all peers, if this instance is one of the pollers or
// no instance has recently had contact with the store. This covers a store whose watches return nothing while it serves reads,
// and one that responds to all instances except those that watch it.
func (f *Follower) pollStore(ctx context.Context) {
	reads := make(map[string]*storeRead)
	for _, kind := range f.kinds() {
		reads[kind] = new(storeRead)
	}
	_ = delay.For(ctx, rankSettleTime-pollInterval)
	for delay.For(ctx, pollInterval) == nil {
		if f.StartRank() >= pollers && f.hasStoreContact() {
			continue
		}
		if !f.readChanges(ctx, reads) {
			_ = delay.For(ctx, unansweredPollInterval-pollInterval)
			continue
		}
		f.recordStoreContact()
		f.notify(ctx, f.Peers(), true)
	}
}

// storeRead is what was last read of a kind.
type storeRead struct {
	seen    platform.Version // version up to which all changes were read
	size    int              // bytes of the objects in the last complete list
	noticed platform.Version // version that was noticed at the last reading and left to the watch, or 0
}

// largeList is the size in bytes of a complete list from which on only changes are read, and the watch has until the next reading
// to bring them. Otherwise an instance with a narrow link would get each change twice at the same time, and all objects after each
// change of another kind. The size decides, not the time that the list took: a slow store must not delay the entries of leaving
// servers further.
const largeList = 128 << 10 // 100 ms at 10 Mbit/s

// leaveToWatch reports whether a change is left to the watch, which has brought all up to a version.
func (r *storeRead) leaveToWatch(newest, watched platform.Version) bool {
	switch {
	case r.size < largeList:
		return false
	case watched >= newest:
		r.seen, r.noticed = newest, 0
		return true
	case r.noticed == 0 || watched >= r.noticed:
		r.noticed = newest
		return true
	}
	r.noticed = 0
	return false
}

// readChanges reads and merges what has changed in the store, and reports whether the store responded.
func (f *Follower) readChanges(ctx context.Context, reads map[string]*storeRead) bool {
	newestCtx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	newest, err := f.Newest(newestCtx)
	if err != nil {
		f.recordStoreFailure(ctx, platform.ConfigurationKind, err)
		return false
	}
	f.recordStoreResponse(platform.ConfigurationKind)
	for kind, read := range reads {
		if read.seen >= newest && !f.awaitsList(kind) {
			continue // nothing at all has changed since
		}
		if read.leaveToWatch(newest, f.watchedVersion(kind)) {
			continue
		}
		if !f.readKind(ctx, kind, read, newest) {
			return false
		}
	}
	return true
}

// watchedVersion returns the version up to which the watch of a kind has brought all changes.
func (f *Follower) watchedVersion(kind string) platform.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watched[kind]
}

// recordWatched records that the watch of a kind has brought all changes up to a version.
func (f *Follower) recordWatched(kind string, version platform.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watched[kind] = version
}

// awaitsList reports whether another list of a kind is needed although nothing has changed: the store's statement on an
// evacuation is taken from the next list after the hold.
func (f *Follower) awaitsList(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return kind == platform.EvacuationKind && len(f.evacuations.holds) > 0
}

// readKind reads and merges what has changed of a kind up to a version, from a complete list unless that is large. It reports
// whether the store responded.
func (f *Follower) readKind(ctx context.Context, kind string, read *storeRead, newest platform.Version) bool {
	if read.size >= largeList && f.readOnlyChanges(ctx, kind, read, newest) {
		return true
	}
	list, err := f.Watch(ctx, kind, 0)
	if err != nil {
		f.recordStoreFailure(ctx, kind, err)
		return false
	}
	f.recordStoreResponse(kind)
	f.mergeList(kind, list, true)
	read.seen, read.size = list.Version, list.Size()
	return true
}

// readOnlyChanges reads and merges the changes of a kind, and reports whether the store named all up to a version. It does not
// while watches are silent or the history is gone; the complete list that is read then shows whether the store responds.
func (f *Follower) readOnlyChanges(ctx context.Context, kind string, read *storeRead, newest platform.Version) bool {
	ctx, stop := context.WithTimeout(ctx, changesTimeout)
	defer stop()
	list, err := f.Changes(ctx, kind, read.seen)
	if err != nil || list.Version < newest {
		return false
	}
	f.recordStoreResponse(kind)
	f.mergeList(kind, list, false)
	read.seen = list.Version
	return true
}

// hasStoreContact reports whether any instance has recently had contact with the store.
func (f *Follower) hasStoreContact() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Now().Sub(f.storeContactAt) < storeContactLife
}

// LastStoreContact returns when any instance was last known to have contact with the store, or zero if none ever had.
func (f *Follower) LastStoreContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeContactAt
}

// recordStoreContact records that an instance has just had contact with the store.
func (f *Follower) recordStoreContact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeContactAt = f.Now()
}

// recordStoreFailure records the start of an outage of the store for a kind.
func (f *Follower) recordStoreFailure(ctx context.Context, kind string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() == nil && !f.failing[kind] {
		f.failing[kind] = true
		f.Record(event.Event{Code: event.PlatformUnreachable, Detail: kind + ": " + err.Error()})
	}
}

// recordStoreResponse records that the store responded, and the end of an outage for a kind.
func (f *Follower) recordStoreResponse(kind string) {
	f.OnStoreResponse()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing[kind] {
		return
	}
	f.failing[kind] = false
	f.storeBackAt = f.Now()
	f.Record(event.Event{Code: event.PlatformReachable, Detail: kind})
}
