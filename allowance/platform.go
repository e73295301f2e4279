package allowance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/platform"
)

// Timeout of calls to the platform and delay after a failed watch.
const (
	platformTimeout = time.Second
	watchRetryDelay = 500 * time.Millisecond
)

// maxRelays is the number of other instances through which a call to the platform is tried.
const maxRelays = 2

// StoreArgs asks another instance to read a shard's object at the platform or, if Object is set, to update it.
type StoreArgs struct {
	Name    string           // name of the object
	Version platform.Version // version that the update replaces; 0 to create the object
	Object  *Assignment
}

// StoreReply carries the result of a call to the platform.
type StoreReply struct {
	End     WriteResult      // result of a write
	Version platform.Version // 0 if there is no object
	Object  Assignment
}

// Store calls the platform on behalf of an instance that can't reach it.
func (r *Receiver) Store(args StoreArgs, reply *StoreReply) error {
	ctx, stop := context.WithTimeout(context.Background(), platformTimeout)
	defer stop()
	var err error
	*reply, err = r.limiter.callPlatformDirect(ctx, args)
	return err
}

// callPlatformDirect calls the platform without a relay. It returns an error only for a failed read; the result of a
// write is in the reply.
func (l *Limiter) callPlatformDirect(ctx context.Context, args StoreArgs) (StoreReply, error) {
	if args.Object == nil {
		o, err := l.Platform.Get(ctx, ShardKind, args.Name)
		if errors.Is(err, platform.ErrNotFound) {
			return StoreReply{}, nil
		}
		if err != nil {
			return StoreReply{}, err
		}
		var a Assignment
		if err := json.Unmarshal(o.Data, &a); err != nil {
			return StoreReply{}, fmt.Errorf("allowance: unable to decode shard %s: %w", args.Name, err)
		}
		return StoreReply{Version: o.Version, Object: a}, nil
	}
	o, err := l.Platform.Update(ctx, ShardKind, args.Name, args.Version, args.Object)
	return StoreReply{End: writeResult(err), Version: o.Version}, nil
}

func writeResult(err error) WriteResult {
	switch {
	case err == nil:
		return WriteApplied
	case errors.Is(err, platform.ErrConflict):
		return WriteConflict
	case errors.Is(err, platform.ErrUnavailable):
		return WriteNotApplied
	default:
		return WriteUnknown
	}
}

// callPlatform calls the platform and, if that fails, asks other instances to call it. Repeating a conditional update
// is harmless. If no attempt at a write is decided and the result of any is unknown, that of the write is unknown.
func (l *Limiter) callPlatform(ctx context.Context, args StoreArgs) (StoreReply, error) {
	direct, stop := context.WithTimeout(ctx, platformTimeout)
	defer stop()
	reply, err := l.callPlatformDirect(direct, args)
	if err == nil && reply.End.decided() {
		return reply, nil
	}
	for _, m := range l.randomPeers(maxRelays) {
		relayed, relayErr := l.callPlatformThrough(ctx, m, args)
		if relayErr == nil && relayed.End.decided() {
			return relayed, nil
		}
		if relayErr != nil || relayed.End == WriteUnknown {
			reply.End = WriteUnknown
		}
	}
	return reply, err
}

func (l *Limiter) callPlatformThrough(ctx context.Context, m fleet.Member, args StoreArgs) (StoreReply, error) {
	ctx, stop := context.WithTimeout(ctx, platformTimeout)
	defer stop()
	var reply StoreReply
	err := l.Call(ctx, m.Peer, RPCName+".Store", args, &reply)
	return reply, err
}

// decided reports whether the platform has applied the write or has rejected it for good.
func (r WriteResult) decided() bool { return r == WriteApplied || r == WriteConflict }

// randomPeers returns up to count other live instances, chosen at random.
func (l *Limiter) randomPeers(count int) []fleet.Member {
	var peers []fleet.Member
	for _, m := range l.Members() {
		if m.State == fleet.Live && m.Name != l.Self.Name {
			peers = append(peers, m)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

func (l *Limiter) readAssignment(ctx context.Context, manager *ShardManager, shard int) {
	reply, err := l.callPlatform(ctx, StoreArgs{Name: ShardName(shard, manager.Shards())})
	if err != nil {
		manager.HandleReadFailure(l.Now(), shard)
		return
	}
	manager.HandleRead(l.Now(), shard, reply.Version, reply.Object)
}

func (l *Limiter) writeAssignment(ctx context.Context, manager *ShardManager, w Write) {
	args := StoreArgs{Name: ShardName(w.Shard, manager.Shards()), Version: w.Version, Object: &w.Object}
	reply, err := l.callPlatform(ctx, args)
	if err != nil {
		reply.End = WriteUnknown
	}
	manager.HandleWriteResult(l.Now(), w, reply.End, reply.Version)
}

// watchAssignments keeps the shard manager up to date with the platform's objects.
func (l *Limiter) watchAssignments(ctx context.Context, manager *ShardManager) {
	var seenVersion platform.Version
	for listed := false; ctx.Err() == nil; {
		var list platform.List
		var err error
		if listed {
			list, err = l.Platform.Watch(ctx, ShardKind, seenVersion)
		} else {
			list, err = l.Platform.List(ctx, ShardKind)
		}
		if err != nil {
			if ctx.Err() == nil {
				l.Record(event.Event{Code: event.PlatformUnreachable, Detail: err.Error()})
			}
			listed = listed && !errors.Is(err, platform.ErrHistoryDropped)
			if !manager.Ready() {
				l.learnFromPeer(ctx, manager)
			}
			_ = delay.For(ctx, watchRetryDelay)
			continue
		}
		l.applyList(manager, list, !listed)
		listed, seenVersion = true, list.Version
	}
}

// applyList passes the objects of a list to the shard manager. A complete list also shows which shards have no object,
// and whether there are objects that can't be decoded or belong to another layout.
func (l *Limiter) applyList(manager *ShardManager, list platform.List, complete bool) {
	now := l.Now()
	found := make(map[int]bool)
	foreign := 0
	for _, o := range list.Objects {
		shard, ok := parseShardName(o.Name, manager.Shards())
		var a Assignment
		if !ok || o.Deleted || json.Unmarshal(o.Data, &a) != nil {
			foreign++
			continue
		}
		found[shard] = true
		manager.HandleRead(now, shard, o.Version, a)
	}
	if !complete {
		return
	}
	manager.SetStartFull(foreign == 0)
	for shard := range manager.Shards() {
		if !found[shard] {
			manager.HandleRead(now, shard, 0, Assignment{})
		}
	}
}

func parseShardName(name string, shards int) (int, bool) {
	layout, shard, ok := strings.Cut(name, ".")
	if !ok || layout != strconv.Itoa(shards) {
		return 0, false
	}
	n, err := strconv.Atoi(shard)
	return n, err == nil && n >= 0 && n < shards
}

// KnownArgs asks an instance for the assignments that it knows.
type KnownArgs struct{}

// KnownReply carries the known assignments.
type KnownReply struct{ Objects []KnownAssignment }

// Known returns the known assignments to an instance that starts during a platform outage.
func (r *Receiver) Known(_ KnownArgs, reply *KnownReply) error {
	c, err := r.limiter.started()
	if err != nil {
		return err
	}
	reply.Objects = c.manager.KnownAssignments()
	return nil
}

// learnFromPeer asks another instance for the assignments, since the platform can't be read.
func (l *Limiter) learnFromPeer(ctx context.Context, manager *ShardManager) {
	for _, m := range l.randomPeers(1) {
		ctx, stop := context.WithTimeout(ctx, peerTimeout)
		defer stop()
		var reply KnownReply
		if l.Call(ctx, m.Peer, RPCName+".Known", KnownArgs{}, &reply) == nil {
			manager.HandleKnownAssignments(l.Now(), reply.Objects)
		}
	}
}
