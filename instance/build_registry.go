package instance

import (
	"slices"

	"github.com/thejerf/suture/v4"

	"teaselgate/fleet"
	"teaselgate/registry"
	"teaselgate/rule"
)

// buildRegistry builds the follower of the operator's configuration and the servers' entries in the platform store.
func (i *Instance) buildRegistry(supervisor *suture.Supervisor) error {
	i.registry = registry.NewFollower(i.platform.Watch)
	i.registry.Changes, i.registry.Newest = i.platform.Changes, i.platform.Newest
	i.registry.Call = i.peers.Call
	i.registry.Self = i.PeerAddress()
	i.registry.Peers = func() []string { return peerAddresses(i.reachableMembers()) }
	i.registry.NearPeers = func() []string {
		return peerAddresses(slices.DeleteFunc(i.reachableMembers(), func(m fleet.Member) bool { return m.Zone != i.Options.Zone }))
	}
	i.registry.StartRank = i.startRank
	i.registry.OnStoreResponse = func() { i.fleet.RecordPlatformContact() }
	i.registry.OnPeerVersion = i.platform.LearnEra
	i.registry.Record = i.events.Record
	i.registry.Engines = registry.EngineSettings{
		Fenced: i.Options.Engine.Fenced, Place: rule.PlacementPolicy(i.Options.Engine.Place),
	}
	i.registry.Evacuations = i.Options.Evacuations
	supervisor.Add(i.registry)
	supervisor.Add(&entryPruner{i})
	return i.peerServer.Register(registry.RPCName, i.registry.Receiver())
}

// reachableMembers returns the other instances that are reachable.
func (i *Instance) reachableMembers() []fleet.Member {
	return slices.DeleteFunc(i.fleet.Members(), func(m fleet.Member) bool {
		return m.Name == i.Options.Name || !m.Reachable()
	})
}

// peerAddresses returns the addresses of members for calls between instances.
func peerAddresses(members []fleet.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Peer)
	}
	return out
}

// startRank returns the number of live instances that started earlier than this one.
func (i *Instance) startRank() int {
	n := 0
	for _, m := range i.fleet.Live() {
		if m.Incarnation < i.fleet.Incarnation() {
			n++
		}
	}
	return n
}
