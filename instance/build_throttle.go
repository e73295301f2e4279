package instance

import (
	"time"

	"github.com/thejerf/suture/v4"

	"teaselgate/fleet"
	"teaselgate/rule"
	"teaselgate/throttle"
	"teaselgate/upstream"
)

// buildThrottle has the limits of backend servers, named or because they are cold, kept by all instances together.
func (i *Instance) buildThrottle(supervisor *suture.Supervisor) error {
	i.throttle.Peers = func() []string { return peerAddresses(i.reachableMembers()) }
	i.throttle.Call = i.peers.Call
	i.throttle.Reachable = i.fleet.CountReachable
	i.throttle.Keeper = i.limitKeeper
	i.throttle.Listed = func(key upstream.ServerKey) bool {
		_, ok := i.registeredServer(key)
		return ok
	}
	i.throttle.Cold = func(key upstream.ServerKey) (float64, bool) {
		view := i.registry.Current()
		if view == nil {
			return 0, false
		}
		return view.ColdRate(key.Server, key.Address, time.Now())
	}
	i.placer.Hub.Limits = i.throttle
	i.fleet.LimitDigest = i.throttle.Digest
	i.fleet.OnLimitDigest = func(from fleet.Member, digest uint64) { i.throttle.ExchangeIfDifferent(from.Peer, digest) }
	supervisor.Add(i.throttle)
	return i.peerServer.Register(throttle.RPCName, i.throttle.Receiver())
}

// limitKeeper returns the address of the instance that grants the requests of a server, or an empty one if this one does.
func (i *Instance) limitKeeper(key upstream.ServerKey) string {
	server, ok := i.registeredServer(key)
	if !ok {
		return ""
	}
	keeper, ok := i.placer.Keeper(server)
	if !ok || keeper.Name == i.Options.Name {
		return ""
	}
	return keeper.Peer
}

// registeredServer returns the rule of a registered backend server.
func (i *Instance) registeredServer(key upstream.ServerKey) (rule.Server, bool) {
	view := i.registry.Current()
	if view == nil {
		return rule.Server{}, false
	}
	return view.ServerRule(key.Server, key.Address)
}
