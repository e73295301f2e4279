package instance

import (
	"time"

	"github.com/google/uuid"
	"github.com/thejerf/suture/v4"

	"teaselgate/order"
	"teaselgate/rule"
)

// buildOrder builds the controllers that send orders to engines, and the follower of the records that they write.
func (i *Instance) buildOrder(supervisor *suture.Supervisor) error {
	i.orderRecords = &order.RecordFollower{Watch: i.platform.Watch, Peers: i.peerAddresses, Call: i.peers.Call}
	supervisor.Add(i.orderRecords)
	supervisor.Add(&order.Controllers{Rules: i.rules.Rules, NewController: i.newController})
	return i.peerServer.Register(order.RPCName, i.orderRecords.Receiver())
}

// newController returns the controller of a group of pools, which sends orders while this instance holds the group's
// lease.
func (i *Instance) newController(group string) *order.GroupController {
	lease := &order.Lease{
		Name:            group,
		Holder:          i.owner(),
		Get:             i.platform.Get,
		Update:          i.platform.Update,
		FirstOrderDelay: func() time.Duration { return order.FirstOrderDelay(i.rules.Rules(), group) },
		NewClaim:        uuid.NewString,
		Era:             i.platform.Era,
		Now:             time.Now,
		HoldNow:         i.leaseClock.Now,
	}
	return &order.GroupController{
		Group:     group,
		Lease:     lease,
		Engines:   order.EngineClient{Order: i.engines.Order, Load: i.engines.Load, Requests: i.engines.Requests},
		Rules:     i.rules.Rules,
		Preferred: func() bool { return !i.leaving.Load() && i.isAssigned("order "+group) },
		Record:    i.events.Record,
		Now:       time.Now,
	}
}

// serverRules returns the rules in force, with each server in the pool to which the order records have moved it.
func (i *Instance) serverRules() *rule.Set {
	if i.orderRecords == nil {
		return i.ruleSet()
	}
	return i.orderRecords.Apply(i.ruleSet())
}
