package instance

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/thejerf/suture/v4"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/platform"
)

const (
	entryTimeout       = 3 * time.Second // limit for reading this instance's entry and then writing or deleting it
	entryRetryInterval = time.Second     // time between attempts to write the entry
	entryRewriteSpread = time.Second     // time over which the instances write their entries after a restore of the store
)

// buildFleet builds the fleet membership.
func (i *Instance) buildFleet(supervisor *suture.Supervisor) error {
	self := fleet.Member{
		Name:        i.Options.Name,
		Zone:        i.Options.Zone,
		Peer:        i.PeerAddress(),
		Admin:       i.AdminAddress(),
		Incarnation: i.incarnation,
	}
	i.fleet = fleet.New(self, i.peers)
	i.fleet.Seeds = i.Options.Peers
	i.fleet.Revision = i.revision
	i.fleet.Instances = i.platform.Instances
	i.fleet.OnNewerRevision = func(from fleet.Member, revision uint64) { i.fetchIfNewer(from.Peer, revision) }
	i.fleet.Record = i.events.Record
	supervisor.Add(i.fleet)
	return i.peerServer.Register(fleet.RPCName, i.fleet.Receiver())
}

// fetchIfNewer tells the follower of the configuration that a peer has a revision; the follower fetches it if it is
// newer than its own.
func (i *Instance) fetchIfNewer(address string, revision uint64) {
	if i.registry != nil {
		i.registry.FetchIfNewer(address, platform.Version(revision))
		return
	}
	i.rules.HandlePeerRevision(address, revision)
}

// keepEntryStored writes this instance's entry, and writes it again after each restore of the platform store, until the
// instance is leaving or the context ends.
func (i *Instance) keepEntryStored(ctx context.Context) {
	for {
		i.writeEntryUntilStored(ctx)
		select {
		case <-ctx.Done():
			return
		case <-i.storeRestored:
		}
		if delay.For(ctx, rand.N(entryRewriteSpread)) != nil || i.leaving.Load() {
			return
		}
	}
}

// recordStoreRestored has this instance's entry and the evidence of crashes written again, which the store may have lost.
func (i *Instance) recordStoreRestored(uint64) {
	if i.quarantine != nil {
		i.quarantine.SaveAgain()
	}
	select {
	case i.storeRestored <- struct{}{}:
	default: // a write is due already
	}
}

// writeEntryUntilStored writes this instance's entry, and retries until it is stored, the instance is leaving or the
// context ends.
func (i *Instance) writeEntryUntilStored(ctx context.Context) {
	for !i.writeEntry(ctx, fleet.Live) && !i.leaving.Load() {
		if delay.For(ctx, entryRetryInterval) != nil {
			return
		}
	}
}

// writeEntry writes this instance's entry to the platform store, and reports whether that succeeded.
func (i *Instance) writeEntry(ctx context.Context, state fleet.State) bool {
	ctx, stop := context.WithTimeout(ctx, entryTimeout)
	defer stop()
	entry := platform.Instance{
		Name:  i.Options.Name,
		Zone:  i.Options.Zone,
		Peer:  i.PeerAddress(),
		Admin: i.AdminAddress(),
		State: state.String(),

		Incarnation: i.fleet.Incarnation(),
	}
	stored, err := i.platform.Create(ctx, platform.InstanceKind, i.Options.Name, entry)
	if errors.Is(err, platform.ErrConflict) {
		err = i.replaceEntry(ctx, stored, entry)
	}
	if err != nil {
		i.events.Record(event.Event{Code: event.PlatformUnreachable, Detail: err.Error()})
		return false
	}
	return true
}

// replaceEntry replaces this instance's stored entry, which an earlier run or an earlier state of this one has written.
func (i *Instance) replaceEntry(ctx context.Context, stored platform.Object, entry platform.Instance) error {
	if i.registry != nil {
		i.raiseIncarnation(stored, &entry)
	}
	_, err := i.platform.Update(ctx, platform.InstanceKind, i.Options.Name, stored.Version, entry)
	return err
}

// raiseIncarnation raises the incarnation of this run above that of the previous run if it is lower, because the clock
// was set back between them: peers ignore updates of a lower incarnation as stale.
func (i *Instance) raiseIncarnation(old platform.Object, entry *platform.Instance) {
	var previous platform.Instance
	if len(old.Data) == 0 || json.Unmarshal(old.Data, &previous) != nil || previous.Incarnation <= entry.Incarnation {
		return
	}
	entry.Incarnation = i.fleet.RaiseIncarnation(previous.Incarnation)
}

// deleteEntry deletes this instance's entry from the platform store.
func (i *Instance) deleteEntry(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, entryTimeout)
	defer stop()
	entry, err := i.platform.Get(ctx, platform.InstanceKind, i.Options.Name)
	if err == nil {
		err = i.platform.Delete(ctx, platform.InstanceKind, i.Options.Name, entry.Version)
	}
	if err != nil {
		i.events.Record(event.Event{Code: event.PlatformUnreachable, Detail: err.Error()})
	}
}
