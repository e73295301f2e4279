package registry

import (
	"fmt"
	"time"

	"teaselgate/event"
	"teaselgate/platform"
)

// revival is an entry of a server that was known as removed when the store was restored from a copy which still has it.
type revival struct {
	entry Entry
	until time.Time // time at which the server is used again if its entry is still there
}

// recordEra takes the era of a list that is about to be merged. A newer one means that the store was restored: as after
// an outage, entries that it lacks may be written again within seconds. The caller holds the lock.
func (f *Follower) recordEra(era uint64) {
	if era <= f.era {
		return
	}
	if f.serversListed {
		f.storeBackAt = f.Now()
		f.Record(event.Event{Code: event.StoreRestored, Detail: fmt.Sprintf("era %d after %d", era, f.era)})
	}
	f.era = era
}

// supersedesConfig reports whether a configuration is newer than the one in force. Within an era the store's version
// decides. Between eras the number of the configuration decides, since a restored store may hold an earlier one until
// the operator has written the newest again. The caller holds the lock.
func (f *Follower) supersedesConfig(v platform.Version, number int64) bool {
	return f.decodedConfig == nil || isNewerConfig(v, number, f.config, f.decodedConfig.Version)
}

// isNewerConfig reports whether the configuration with a version and a number is newer than that with the version and
// number of other.
func isNewerConfig(v platform.Version, number int64, other platform.Version, otherNumber int64) bool {
	if v.Era() == other.Era() || number == otherNumber {
		return v > other
	}
	return number > otherNumber
}

// recordOutdatedConfig records a configuration of a newer era that is older than the one in force, once for each
// version. The caller holds the lock.
func (f *Follower) recordOutdatedConfig(v platform.Version, number int64) {
	if v <= f.outdatedConfig {
		return
	}
	f.outdatedConfig = v
	f.Record(event.Event{Code: event.RulesOutdated, Detail: fmt.Sprintf(
		"configuration %d of version %v, in force is %d of %v", number, v, f.decodedConfig.Version, f.config,
	)})
}

// resolveRestored decides on an entry of a newer era for a server that an earlier era knows. keep is true if the known
// state stays in force. The caller holds the lock.
//   - A later start of the server supersedes what is known.
//   - An earlier start does not: the store has yet to get the entry of the later one again.
//   - A server that was leaving never becomes ready again in the same start; the returned entry carries that on.
//   - A server that was removed is used again if its entry stays for revivalDelay.
func (f *Follower) resolveRestored(id string, old, e Entry) (resolved Entry, keep bool) {
	before, errBefore := platform.ReadServer(id, old.Data)
	after, errAfter := platform.ReadServer(id, e.Data)
	switch {
	case errBefore != nil || errAfter != nil || after.StartedMS > before.StartedMS || e.Revived:
		return e, false
	case !old.Gone && after.StartedMS < before.StartedMS:
		return e, true
	case before.Leaving && !after.Leaving && after.StartedMS == before.StartedMS:
		return Entry{Version: e.Version, Gone: old.Gone, Data: old.Data}, false
	case !old.Gone || old.Lapsed && after.StartedMS == before.StartedMS:
		return e, false
	}
	r, waiting := f.revivals[id]
	if !waiting {
		r.until = f.Now().Add(revivalDelay)
	}
	r.entry = e
	f.revivals[id] = r
	return e, true
}

// dropUnlistedRevivals forgets the entries that a complete list lacks. The caller holds the lock.
func (f *Follower) dropUnlistedRevivals(listed map[string]int) {
	for id := range f.revivals {
		if _, ok := listed[id]; !ok {
			delete(f.revivals, id)
		}
	}
}

// mergeRevivals merges the entries whose delay has passed, and reports whether there were any. The caller holds the lock.
func (f *Follower) mergeRevivals(now time.Time) bool {
	changed := false
	for id, r := range f.revivals {
		if now.Before(r.until) {
			continue
		}
		delete(f.revivals, id)
		r.entry.Revived = true
		changed = f.mergeServer(id, r.entry, false) || changed
	}
	return changed
}
