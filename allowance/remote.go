package allowance

import (
	"context"
	"errors"
	"fmt"
	"syscall"

	"github.com/joomcode/errorx"

	"teaselgate/event"
	"teaselgate/peer"
)

// RPCName is the name under which the allowance's methods are registered. It is short because it is in each message.
const RPCName = "A"

// errRefused is what a host answers on a port on which nothing listens.
const errRefused = syscall.ECONNREFUSED

// isRefused tells whether the host of an address refused a connection: no process listens there. The causes of wrapped
// errors are looked at one by one, since errorx does not show them to errors.Is.
func isRefused(err error) bool {
	for err != nil {
		if errors.Is(err, errRefused) {
			return true
		}
		wrapped := errorx.Cast(err)
		if wrapped == nil {
			return false
		}
		err = wrapped.Cause()
	}
	return false
}

// Receiver answers the calls of peers.
type Receiver struct{ node *Limiter }

// Receiver returns what is to be registered under RPCName.
func (n *Limiter) Receiver() *Receiver { return &Receiver{n} }

// ProbeArgs asks an instance for its incarnation.
type ProbeArgs struct{}

// ProbeReply carries the incarnation.
type ProbeReply struct{ Incarnation uint64 }

// EvictArgs carries an operator's word that an instance is gone.
type EvictArgs struct{ Gone Instance }

// EvictReply is empty.
type EvictReply struct{}

// Renew answers a primary.
func (r *Receiver) Renew(args RenewArgs, reply *RenewReply) error {
	c, err := r.node.opened()
	if err != nil {
		return err
	}
	*reply = c.keeper.HandleRenew(r.node.Now(), args)
	return nil
}

// Resign takes a shard over from a primary.
func (r *Receiver) Resign(args ResignArgs, reply *ResignReply) error {
	c, err := r.node.opened()
	if err != nil {
		return err
	}
	*reply = c.keeper.HandleResign(r.node.Now(), args)
	return nil
}

// Take makes grants.
func (r *Receiver) Take(args TakeArgs, reply *TakeReply) error {
	c, err := r.node.opened()
	if err != nil {
		return err
	}
	*reply = c.keeper.HandleTake(r.node.Now(), args)
	return nil
}

// Probe answers that this incarnation runs.
func (r *Receiver) Probe(_ ProbeArgs, reply *ProbeReply) error {
	reply.Incarnation = r.node.Self.Incarnation
	return nil
}

// Evict takes in an operator's word.
func (r *Receiver) Evict(args EvictArgs, _ *EvictReply) error {
	c, err := r.node.opened()
	if err != nil {
		return err
	}
	c.keeper.Evict(r.node.Now(), args.Gone)
	r.node.Record(event.Event{Code: event.InstanceEvicted, Server: args.Gone.Name})
	return nil
}

// opened returns the core, or an error before the first rules.
func (n *Limiter) opened() (*core, error) {
	if c := n.core.Load(); c != nil {
		return c, nil
	}
	return nil, unavailable.New("allowance: no rules are in force yet")
}

// String names the change for the time line.
func (c RoleChange) String() string {
	return fmt.Sprintf("shard %d epoch %d %s", c.Shard, c.Epoch, c.Role)
}

func (n *Limiter) renew(ctx context.Context, k *ShardManager, r Renewal) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	sent := n.Now()
	var reply RenewReply
	err := n.Call(ctx, r.To.Peer, RPCName+".Renew", r.Args, &reply)
	switch {
	case err == nil:
		k.HandleRenewReply(n.Now(), sent, r, reply)
	case errors.Is(err, peer.ErrNoReply) && ctx.Err() == nil:
		n.probe(ctx, k, r.To)
	default:
		n.prove(k, r.To, err)
	}
}

func (n *Limiter) resign(ctx context.Context, r Resignation) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	var reply ResignReply
	_ = n.Call(ctx, r.To.Peer, RPCName+".Resign", r.Args, &reply) // the successor takes over later without it
}

// probe looks for a proof that an incarnation is gone: another one answers, or the host refuses the connection.
func (n *Limiter) probe(ctx context.Context, k *ShardManager, h Instance) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	var reply ProbeReply
	err := n.Call(ctx, h.Peer, RPCName+".Probe", ProbeArgs{}, &reply)
	if errors.Is(err, peer.ErrNoReply) && ctx.Err() == nil {
		err = n.Call(ctx, h.Peer, RPCName+".Probe", ProbeArgs{}, &reply)
	}
	if err == nil && reply.Incarnation > h.Incarnation {
		k.MarkGone(n.Now(), h)
	}
	n.prove(k, h, err)
}

func (n *Limiter) prove(k *ShardManager, h Instance, err error) {
	if !isRefused(err) {
		return
	}
	n.Record(event.Event{Code: event.ShardInstanceGone, Server: h.Name, Detail: err.Error()})
	k.MarkGone(n.Now(), h)
}
