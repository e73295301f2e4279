package instance

import (
	"github.com/thejerf/suture/v4"

	"teaselgate/cell"
)

// buildCell builds the dispatchers and the placer, which choose backend servers for requests.
func (i *Instance) buildCell(supervisor *suture.Supervisor) error {
	engineCalls := cell.EngineCalls{Load: i.engines.Load, Requests: i.engines.Requests, Events: i.engines.CacheEvents}
	if i.registry != nil {
		engineCalls = i.engineReportCalls()
	}
	hub := cell.NewHub(i.serverRules, engineCalls, i.events.Record)
	hub.Reachable = i.fleet.CountReachable
	hub.Leaving = func() bool { return i.leaving.Load() && len(i.fleet.Live()) > 0 }
	if i.registry != nil {
		hub.Peers, hub.Call, hub.Self = i.reachableMembers, i.peers.Call, i.Options.Name
	}
	i.placer = cell.NewPlacer(i.serverRules, hub)
	i.placer.Self = i.Options.Name
	i.placer.Live = i.fleet.Serving
	i.placer.Call = i.peers.Call
	i.placer.ShutdownDeadline = i.shutdownDeadline
	supervisor.Add(hub)
	supervisor.Add(i.placer)
	return i.peerServer.Register(cell.RPCName, hub.Receiver())
}
