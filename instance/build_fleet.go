package instance

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/thejerf/suture/v4"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/platform"
)

const entryTimeout = 3 * time.Second

// buildFleet makes the membership.
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

// fetchIfNewer lets the part that follows the configuration fetch a newer one from a peer.
func (i *Instance) fetchIfNewer(address string, revision uint64) {
	if i.registry != nil {
		i.registry.FetchIfNewer(address, revision)
		return
	}
	i.rules.HandlePeerRevision(address, revision)
}

// entryRetryInterval is the time between tries to write this instance's entry while the platform is down.
const entryRetryInterval = time.Second

// writeEntryUntilStored writes this instance's entry, as often as it takes.
func (i *Instance) writeEntryUntilStored(ctx context.Context) {
	for !i.writeEntry(ctx, fleet.Live) && !i.leaving.Load() {
		if delay.For(ctx, entryRetryInterval) != nil {
			return
		}
	}
}

// writeEntry writes this instance's entry at the platform; it returns true if that succeeded.
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
	old, err := i.platform.Get(ctx, platform.InstanceKind, i.Options.Name)
	if i.registry != nil {
		i.raiseIncarnation(old, &entry)
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		i.events.Record(event.Event{Code: event.PlatformUnreachable, Detail: err.Error()})
		return false
	}
	if _, err := i.platform.Update(ctx, platform.InstanceKind, i.Options.Name, old.Version, entry); err != nil {
		i.events.Record(event.Event{Code: event.PlatformUnreachable, Detail: err.Error()})
		return false
	}
	return true
}

// raiseIncarnation gives this run a higher number than the one before, if the clock was set back between them: peers take the
// statements of a lower one for old.
func (i *Instance) raiseIncarnation(old platform.Object, entry *platform.Instance) {
	var previous platform.Instance
	if len(old.Data) == 0 || json.Unmarshal(old.Data, &previous) != nil || previous.Incarnation <= entry.Incarnation {
		return
	}
	entry.Incarnation = i.fleet.RaiseIncarnation(previous.Incarnation)
}

// deleteEntry removes this instance's entry at the platform.
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
