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
		_ = delay.For(ctx, watchDelay)
	}
}

// pollStore reads all kinds at intervals and notifies all peers, if this instance is one of the pollers or no instance
// has recently had contact with the store. This covers a store whose watches return nothing while it serves reads, and
// one that responds to all instances except those that watch it.
func (f *Follower) pollStore(ctx context.Context) {
	_ = delay.For(ctx, rankSettleTime-pollInterval)
	for delay.For(ctx, pollInterval) == nil {
		if f.StartRank() >= pollers && f.hasStoreContact() {
			continue
		}
		if !f.readStore(ctx) {
			_ = delay.For(ctx, unansweredPollInterval-pollInterval)
			continue
		}
		f.recordStoreContact()
		f.notify(ctx, f.Peers(), true)
	}
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

// readStore reads and merges all kinds, and reports whether the store responded.
func (f *Follower) readStore(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, pollTimeout)
	defer stop()
	for _, kind := range f.kinds() {
		list, err := f.Watch(ctx, kind, 0)
		if err != nil {
			f.recordStoreFailure(ctx, kind, err)
			return false
		}
		f.recordStoreResponse(kind)
		f.mergeList(kind, list, true)
	}
	return true
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
