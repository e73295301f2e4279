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
	followDelay     = 500 * time.Millisecond
)

// relays is the number of peers that are asked to reach the platform.
const relays = 2

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
	*reply, err = r.node.storeDirect(ctx, args)
	return err
}

// storeDirect calls the platform. A write always has an end; a reading that failed is an error.
func (n *Limiter) storeDirect(ctx context.Context, args StoreArgs) (StoreReply, error) {
	if args.Object == nil {
		o, err := n.Platform.Get(ctx, ShardKind, args.Name)
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
	o, err := n.Platform.Update(ctx, ShardKind, args.Name, args.Version, args.Object)
	return StoreReply{End: writeEnd(err), Version: o.Version}, nil
}

func writeEnd(err error) WriteResult {
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
func (n *Limiter) store(ctx context.Context, args StoreArgs) (StoreReply, error) {
	direct, stop := context.WithTimeout(ctx, platformTimeout)
	defer stop()
	reply, err := n.storeDirect(direct, args)
	if err == nil && reply.End.known() {
		return reply, nil
	}
	for _, m := range n.others(relays) {
		through, failure := n.storeThrough(ctx, m, args)
		if failure == nil && through.End.known() {
			return through, nil
		}
		if failure != nil || through.End == WriteUnknown {
			reply.End = WriteUnknown
		}
	}
	return reply, err
}

func (n *Limiter) storeThrough(ctx context.Context, m fleet.Member, args StoreArgs) (StoreReply, error) {
	ctx, stop := context.WithTimeout(ctx, platformTimeout)
	defer stop()
	var reply StoreReply
	err := n.Call(ctx, m.Peer, RPCName+".Store", args, &reply)
	return reply, err
}

// known tells whether the platform has decided on a write.
func (e WriteResult) known() bool { return e == WriteApplied || e == WriteConflict }

// others returns some other live instances at random.
func (n *Limiter) others(count int) []fleet.Member {
	var out []fleet.Member
	for _, m := range n.Members() {
		if m.State == fleet.Live && m.Name != n.Self.Name {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(count, len(out))]
}

func (n *Limiter) read(ctx context.Context, k *ShardManager, shard int) {
	reply, err := n.store(ctx, StoreArgs{Name: ShardName(shard, k.Shards())})
	if err != nil {
		k.HandleReadFailure(n.Now(), shard)
		return
	}
	k.HandleRead(n.Now(), shard, reply.Version, reply.Object)
}

func (n *Limiter) write(ctx context.Context, k *ShardManager, w Write) {
	args := StoreArgs{Name: ShardName(w.Shard, k.Shards()), Version: w.Version, Object: &w.Object}
	reply, err := n.store(ctx, args)
	if err != nil {
		reply.End = WriteUnknown
	}
	k.HandleWriteResult(n.Now(), w, reply.End, reply.Version)
}

// followShards keeps the shards' objects as known here equal to the platform's.
func (n *Limiter) followShards(ctx context.Context, k *ShardManager) {
	var seen uint64
	for listed := false; ctx.Err() == nil; {
		var list platform.List
		var err error
		if listed {
			list, err = n.Platform.Watch(ctx, ShardKind, seen)
		} else {
			list, err = n.Platform.List(ctx, ShardKind)
		}
		if err != nil {
			if ctx.Err() == nil {
				n.Record(event.Event{Code: event.PlatformUnreachable, Detail: err.Error()})
			}
			listed = listed && !errors.Is(err, platform.ErrHistoryDropped)
			if !k.Ready() {
				n.learn(ctx, k)
			}
			_ = delay.For(ctx, followDelay)
			continue
		}
		n.takeList(k, list, !listed)
		listed, seen = true, list.Version
	}
}

func (n *Limiter) takeList(k *ShardManager, list platform.List, whole bool) {
	now := n.Now()
	found := make(map[int]bool)
	others := 0
	for _, o := range list.Objects {
		shard, ok := parseShardName(o.Name, k.Shards())
		var s Assignment
		if !ok || o.Deleted || json.Unmarshal(o.Data, &s) != nil {
			others++
			continue
		}
		found[shard] = true
		k.HandleRead(now, shard, o.Version, s)
	}
	if !whole {
		return
	}
	k.SetStartFull(others == 0)
	for shard := range k.Shards() {
		if !found[shard] {
			k.HandleRead(now, shard, 0, Assignment{})
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
	c, err := r.node.opened()
	if err != nil {
		return err
	}
	reply.Objects = c.keeper.KnownAssignments()
	return nil
}

// learn asks another instance for the shards' objects while the platform can't be read.
func (n *Limiter) learn(ctx context.Context, k *ShardManager) {
	for _, m := range n.others(1) {
		ctx, stop := context.WithTimeout(ctx, peerTimeout)
		defer stop()
		var reply KnownReply
		if n.Call(ctx, m.Peer, RPCName+".Known", KnownArgs{}, &reply) == nil {
			k.HandleKnownAssignments(n.Now(), reply.Objects)
		}
	}
}
