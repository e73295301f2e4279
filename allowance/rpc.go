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
const errConnectionRefused = syscall.ECONNREFUSED

// isRefused tells whether the host of an address refused a connection: no process listens there. The causes of wrapped
// errors are looked at one by one, since errorx does not show them to errors.Is.
func isConnectionRefused(err error) bool {
	for err != nil {
		if errors.Is(err, errConnectionRefused) {
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
type Receiver struct{ limiter *Limiter }

// Receiver returns what is to be registered under RPCName.
func (l *Limiter) Receiver() *Receiver { return &Receiver{l} }

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
	c, err := r.limiter.started()
	if err != nil {
		return err
	}
	*reply = c.manager.HandleRenew(r.limiter.Now(), args)
	return nil
}

// Resign takes a shard over from a primary.
func (r *Receiver) Resign(args ResignArgs, reply *ResignReply) error {
	c, err := r.limiter.started()
	if err != nil {
		return err
	}
	*reply = c.manager.HandleResign(r.limiter.Now(), args)
	return nil
}

// Take makes grants.
func (r *Receiver) Take(args TakeArgs, reply *TakeReply) error {
	c, err := r.limiter.started()
	if err != nil {
		return err
	}
	*reply = c.manager.HandleTake(r.limiter.Now(), args)
	return nil
}

// Probe answers that this incarnation runs.
func (r *Receiver) Probe(_ ProbeArgs, reply *ProbeReply) error {
	reply.Incarnation = r.limiter.Self.Incarnation
	return nil
}

// Evict takes in an operator's word.
func (r *Receiver) Evict(args EvictArgs, _ *EvictReply) error {
	c, err := r.limiter.started()
	if err != nil {
		return err
	}
	c.manager.Evict(r.limiter.Now(), args.Gone)
	r.limiter.Record(event.Event{Code: event.KeeperEvicted, Server: args.Gone.Name})
	return nil
}

// opened returns the core, or an error before the first rules.
func (l *Limiter) started() (*components, error) {
	if c := l.components.Load(); c != nil {
		return c, nil
	}
	return nil, unavailable.New("allowance: no rules are in force yet")
}

// String names the change for the time line.
func (c RoleChange) String() string {
	return fmt.Sprintf("shard %d epoch %d %s", c.Shard, c.Epoch, c.Role)
}

func (l *Limiter) sendRenewal(ctx context.Context, manager *ShardManager, renewal Renewal) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	sent := l.Now()
	var reply RenewReply
	err := l.Call(ctx, renewal.To.Peer, RPCName+".Renew", renewal.Args, &reply)
	switch {
	case err == nil:
		manager.HandleRenewReply(l.Now(), sent, renewal, reply)
	case errors.Is(err, peer.ErrNoReply) && ctx.Err() == nil:
		l.probe(ctx, manager, renewal.To)
	default:
		l.markGoneIfRefused(manager, renewal.To, err)
	}
}

func (l *Limiter) sendResignation(ctx context.Context, resignation Resignation) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	var reply ResignReply
	_ = l.Call(ctx, resignation.To.Peer, RPCName+".Resign", resignation.Args, &reply) // the successor takes over later without it
}

// probe looks for a proof that an incarnation is gone: another one answers, or the host refuses the connection.
func (l *Limiter) probe(ctx context.Context, manager *ShardManager, instance Instance) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	var reply ProbeReply
	err := l.Call(ctx, instance.Peer, RPCName+".Probe", ProbeArgs{}, &reply)
	if errors.Is(err, peer.ErrNoReply) && ctx.Err() == nil {
		err = l.Call(ctx, instance.Peer, RPCName+".Probe", ProbeArgs{}, &reply)
	}
	if err == nil && reply.Incarnation > instance.Incarnation {
		manager.MarkGone(l.Now(), instance)
	}
	l.markGoneIfRefused(manager, instance, err)
}

func (l *Limiter) markGoneIfRefused(manager *ShardManager, instance Instance, err error) {
	if !isConnectionRefused(err) {
		return
	}
	l.Record(event.Event{Code: event.KeeperGone, Server: instance.Name, Detail: err.Error()})
	manager.MarkGone(l.Now(), instance)
}
