package instance

import (
	"github.com/thejerf/suture/v4"

	"teaselgate/fleet"
	"teaselgate/quarantine"
)

// buildQuarantine builds the list of the parts of prompts that crash engines.
func (i *Instance) buildQuarantine(supervisor *suture.Supervisor) error {
	i.quarantine = quarantine.NewList()
	i.quarantine.Self = i.Options.Name
	i.quarantine.Live = func() []string { return memberNames(i.fleet.Live()) }
	i.quarantine.Peers = func() []string { return peerAddresses(i.reachableMembers()) }
	i.quarantine.Call = i.peers.Call
	i.quarantine.Get, i.quarantine.Update = i.platform.Get, i.platform.Update
	i.quarantine.Record = i.events.Record
	i.fleet.Digest = i.quarantine.Digest
	i.fleet.OnDigest = func(from fleet.Member, digest uint64) { i.quarantine.ExchangeIfDifferent(from.Peer, digest) }
	supervisor.Add(i.quarantine)
	return i.peerServer.Register(quarantine.RPCName, i.quarantine.Receiver())
}

func memberNames(members []fleet.Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}
