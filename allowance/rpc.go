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

// RPCName is the name under which the methods of Receiver are registered. It is short because each message contains it.
const RPCName = "A"

// errConnectionRefused is the error of a connection to a port on which no process listens.
const errConnectionRefused = syscall.ECONNREFUSED

// isConnectionRefused reports whether a host refused a connection because no process listens on the port. It checks
// each cause of a wrapped error itself, since errorx doesn't expose the causes to errors.Is.
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

// Receiver handles the calls of other instances.
type Receiver struct{ limiter *Limiter }

// Receiver returns the receiver to register under RPCName.
func (l *Limiter) Receiver() *Receiver { return &Receiver{l} }

// ProbeArgs asks an instance for its incarnation.
type ProbeArgs struct{}

// ProbeReply carries the incarnation that is running.
type ProbeReply struct{ Incarnation uint64 }

// EvictArgs carries an operator's declaration that an instance is gone.
type EvictArgs struct{ Gone Instance }

// EvictReply is empty.
type EvictReply struct{}

// Renew issues leases to a primary.
func (r *Receiver) Renew(args RenewArgs, reply *RenewReply) error {
	c, err := r.limiter.started()
	if err != nil {
		return err
	}
	*reply = c.manager.HandleRenew(r.limiter.Now(), args)
	return nil
}

// Resign takes over a shard from a primary.
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

// Probe returns the incarnation that is running.
func (r *Receiver) Probe(_ ProbeArgs, reply *ProbeReply) error {
	reply.Incarnation = r.limiter.Self.Incarnation
	return nil
}

// Evict handles an operator's declaration that an instance is gone.
func (r *Receiver) Evict(args EvictArgs, _ *EvictReply) error {
	c, err := r.limiter.started()
	if err != nil {
		return err
	}
	c.manager.Evict(r.limiter.Now(), args.Gone)
	r.limiter.Record(event.Event{Code: event.InstanceEvicted, Server: args.Gone.Name})
	return nil
}

// started returns the components, or an error before the first rules.
func (l *Limiter) started() (*components, error) {
	if c := l.components.Load(); c != nil {
		return c, nil
	}
	return nil, unavailable.New("allowance: no rules are in force yet")
}

// String returns the detail of the event for the change.
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
	// If the call fails, the successor takes over when the lease that it issued has expired.
	_ = l.Call(ctx, resignation.To.Peer, RPCName+".Resign", resignation.Args, &reply)
}

// probe marks an incarnation gone if a newer one answers at its address or the host refuses the connection.
func (l *Limiter) probe(ctx context.Context, manager *ShardManager, instance Instance) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	var reply ProbeReply
	err := l.Call(ctx, instance.Peer, RPCName+".Probe", ProbeArgs{}, &reply)
	if errors.Is(err, peer.ErrNoReply) && ctx.Err() == nil {
		// The connection broke during the call. A new one shows whether the host refuses it.
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
	l.Record(event.Event{Code: event.ShardInstanceGone, Server: instance.Name, Detail: err.Error()})
	manager.MarkGone(l.Now(), instance)
}
