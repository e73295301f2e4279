package instance

import (
	"slices"

	"github.com/thejerf/suture/v4"

	"teaselgate/config"
	"teaselgate/fleet"
)

// maxWatchersPerZone is the maximum number of instances in each availability zone that watch the platform store for new
// revisions of the rules; the others learn of revisions from their peers.
const maxWatchersPerZone = 3

// buildConfig builds the follower of the rules.
func (i *Instance) buildConfig(supervisor *suture.Supervisor) error {
	i.rules = config.NewFollower(i.platform)
	i.rules.Record = i.events.Record
	i.rules.Call = i.peers.Call
	i.rules.Peers = i.peerAddresses
	i.rules.Watches = i.isRulesWatcher
	i.rules.Isolated = func() bool { return !i.fleet.ReachesPeers() }
	i.rules.OnPlatformResponse = func() { i.fleet.RecordPlatformContact() }
	supervisor.Add(i.rules)
	return i.peerServer.Register(config.RPCName, i.rules.Receiver())
}

// revision returns the number of the revision of the rules in force or, if the configuration comes from the platform
// store, the newest version of the stored objects; 0 before the first.
func (i *Instance) revision() uint64 {
	if i.registry != nil {
		return uint64(i.registry.Version())
	}
	if r := i.rules.Current(); r != nil {
		return r.Number
	}
	return 0
}

// peerAddresses returns the addresses of the known peers that are neither gone nor left, and of the configured ones,
// without that of this instance.
func (i *Instance) peerAddresses() []string {
	var out []string
	for _, m := range i.fleet.Members() {
		if m.State != fleet.Gone && m.State != fleet.Left {
			out = append(out, m.Peer)
		}
	}
	out = append(out, i.Options.Peers...)
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(address string) bool { return address == i.PeerAddress() })
}

// isRulesWatcher reports whether fewer than maxWatchersPerZone live instances of this availability zone come before
// this one by name.
func (i *Instance) isRulesWatcher() bool {
	rank := 0
	for _, m := range i.fleet.Live() {
		if m.Zone == i.Options.Zone && m.Name < i.Options.Name {
			rank++
		}
	}
	return rank < maxWatchersPerZone
}
