package instance

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"

	"teaselgate/allowance"
	"teaselgate/rule"
)

// admitFunc charges tokens to a client account; with ErrExhausted comes the time to come back.
type admitFunc func(context.Context, rule.Account, int64) (*allowance.Charge, time.Time, error)

// buildAllowance makes the part that holds client accounts to their rates.
func (i *Instance) buildAllowance(supervisor *suture.Supervisor) error {
	node := allowance.NewLimiter(allowance.Instance{
		Name:        i.Options.Name,
		Incarnation: i.incarnation,
		Zone:        i.Options.Zone,
		Peer:        i.PeerAddress(),
	})
	node.Rules = func() *rule.Set {
		if r := i.rules.Current(); r != nil {
			return r.Rules
		}
		return nil
	}
	node.Platform = i.platform
	node.Members = i.fleet.Members
	node.Call = i.peers.Call
	node.Record = i.events.Record
	i.allowance = node
	i.admit = node.Take
	supervisor.Add(node)
	return i.peerServer.Register(allowance.RPCName, node.Receiver())
}
