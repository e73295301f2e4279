package instance

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"

	"teaselgate/allowance"
	"teaselgate/rule"
)

// admitFunc charges tokens to a client account. If it returns allowance.ErrExhausted or allowance.ErrUnavailable, the
// returned time is the earliest at which to retry.
type admitFunc func(context.Context, rule.Account, int64) (*allowance.Charge, time.Time, error)

// buildAllowance builds the limiter that enforces the client accounts' rates.
func (i *Instance) buildAllowance(supervisor *suture.Supervisor) error {
	limiter := allowance.NewLimiter(allowance.Instance{
		Name:        i.Options.Name,
		Incarnation: i.incarnation,
		Zone:        i.Options.Zone,
		Peer:        i.PeerAddress(),
	})
	limiter.Rules = func() *rule.Set {
		if r := i.rules.Current(); r != nil {
			return r.Rules
		}
		return nil
	}
	limiter.Platform = i.platform
	limiter.Members = i.fleet.Members
	limiter.Call = i.peers.Call
	limiter.Record = i.events.Record
	i.allowance = limiter
	i.admit = limiter.Take
	supervisor.Add(limiter)
	return i.peerServer.Register(allowance.RPCName, limiter.Receiver())
}
