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

// Timing of calls to the platform.
const (
	platformTimeout = time.Second
	watchRetryDelay = 500 * time.Millisecond
)

// relays is the number of peers that are asked to reach the platform.
const maxRelays = 2

// StoreArgs asks a peer to read, or with Object to update, a shard's object at the platform.
type StoreArgs struct {
	Name    string
	Version uint64
	Object  *Assignment
}

// StoreReply carries the platform's answer.
type StoreReply struct {
	End     WriteResult
	Version uint64 // 0: there is no object
	Object  Assignment
}

// Store carries out a call to the platform for a peer that has lost its own way to it.
func (r *Receiver) Store(args StoreArgs, reply *StoreReply) error {
	ctx, stop := context.WithTimeout(context.Background(), platformTimeout)
	defer stop()
	var err error
	*reply, err = r.limiter.callPlatformDirect(ctx, args)
	return err
}

// storeDirect calls the platform. A write always has an end; a reading that failed is an error.
func (l *Limiter) callPlatformDirect(ctx context.Context, args StoreArgs) (StoreReply, error) {
	if args.Object == nil {
		o, err := l.Platform.Get(ctx, ShardKind, args.Name)
		if errors.Is(err, platform.ErrNotFound) {
			return StoreReply{}, nil
		}
		if err != nil {
			return StoreReply{}, err
		}
		var s Assignment
		if err := json.Unmarshal(o.Data, &s); err != nil {
			return StoreReply{}, fmt.Errorf("allowance: unable to decode shard %s: %w", args.Name, err)
		}
		return StoreReply{Version: o.Version, Object: s}, nil
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

// store calls the platform, through peers if the own way is lost. Repeating a conditional update is harmless; a write
// of which any attempt has no known end has none.
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

// known tells whether the platform has decided on a write.
func (r WriteResult) decided() bool { return r == WriteApplied || r == WriteConflict }

// others returns some other live instances at random.
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

// followShards keeps the shards' objects as known here equal to the platform's.
func (l *Limiter) watchAssignments(ctx context.Context, manager *ShardManager) {
	var seen uint64
	for listed := false; ctx.Err() == nil; {
		var list platform.List
		var err error
		if listed {
			list, err = l.Platform.Watch(ctx, ShardKind, seen)
		} else {
			list, err = l.Platform.List(ctx, ShardKind)
		}
		if err != nil {
			if ctx.Err() == nil {
				l.Record(event.Event{Code: event.PlatformLost, Detail: err.Error()})
			}
			listed = listed && !errors.Is(err, platform.ErrHistory)
			if !manager.Ready() {
				l.learnFromPeer(ctx, manager)
			}
			_ = delay.For(ctx, watchRetryDelay)
			continue
		}
		l.applyList(manager, list, !listed)
		listed, seen = true, list.Version
	}
}

func (l *Limiter) applyList(manager *ShardManager, list platform.List, complete bool) {
	now := l.Now()
	found := make(map[int]bool)
	foreign := 0
	for _, o := range list.Objects {
		shard, ok := parseShardName(o.Name, manager.Shards())
		var s Assignment
		if !ok || o.Deleted || json.Unmarshal(o.Data, &s) != nil {
			foreign++
			continue
		}
		found[shard] = true
		manager.HandleRead(now, shard, o.Version, s)
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

// KnownArgs asks an instance for the shards' objects that it knows.
type KnownArgs struct{}

// KnownReply carries them.
type KnownReply struct{ Objects []KnownAssignment }

// Known answers an instance that starts while the platform is out.
func (r *Receiver) Known(_ KnownArgs, reply *KnownReply) error {
	c, err := r.limiter.started()
	if err != nil {
		return err
	}
	reply.Objects = c.manager.KnownAssignments()
	return nil
}

// learn asks another instance for the shards' objects while the platform can't be read.
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
