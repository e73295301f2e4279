package instance

import (
	"github.com/thejerf/suture/v4"

	"teaselgate/rule"
	"teaselgate/slot"
)

// instancesPerSlot is the number of instances for each slot of a plain service from which on the slots are shared: an
// instance then sees so few of the service's requests that its own say nothing about how busy the servers are.
const instancesPerSlot = 2

// buildSlots builds the picker of plain servers, and the keeper and the client of their slots.
func (i *Instance) buildSlots(supervisor *suture.Supervisor) error {
	i.plain = slot.NewPicker(i.serverRules)
	i.slotKeeper = slot.NewKeeper(i.serverRules)
	i.slotKeeper.RetryShare = func() float64 { return sharedRetryShare * i.settings().Retry.Share }
	i.slots = slot.NewClient(i.plain, i.slotKeeper)
	i.slots.Call, i.slots.Record = i.peers.Call, i.events.Record
	i.slots.Keeper, i.slots.Shared = i.slotKeeperOf, i.sharesSlots
	i.slots.ShutdownDeadline = i.shutdownDeadline
	supervisor.Add(i.slotKeeper)
	supervisor.Add(i.slots)
	return i.peerServer.Register(slot.RPCName, i.slotKeeper.Receiver())
}

// slotKeeperOf returns the address of the instance that gives out the slots of a service, and whether that is this one.
func (i *Instance) slotKeeperOf(pool string) (address string, self bool) {
	m, ok := i.placer.SlotKeeper(pool)
	if !ok || m.Name == i.Options.Name {
		return "", ok
	}
	return m.Peer, false
}

// sharesSlots reports whether the slots of a service are shared by all instances.
func (i *Instance) sharesSlots(pool string) bool {
	rules := i.ruleSet()
	if rules == nil {
		return false
	}
	slots := 0
	for _, s := range i.slotServers.Pool(rules, pool) {
		if s.State == rule.ServerLive {
			slots += s.Slots
		}
	}
	_, known := i.fleet.CountReachable()
	return slots > 0 && known >= instancesPerSlot*slots
}
