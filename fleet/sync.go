package fleet

import (
	"context"
	"slices"
	"strconv"

	"teaselgate/gossip"
)

// memberBytes is the approximate size of a member in a message without its texts.
const memberBytes = 16

// group returns the group of a member in exchanges between instances.
func (a Member) group() int { return gossip.GroupOf(gossip.Hash(a.Name)) }

// size returns the approximate size of a member in a message, in bytes.
func (a Member) size() int {
	return memberBytes + len(a.Name) + len(a.Zone) + len(a.Peer) + len(a.Admin)
}

// digestMembers returns digests of members, by group. Ended ones are left out, since instances forget them at different times.
func digestMembers(members []Member) gossip.Digests {
	var out gossip.Digests
	for _, m := range members {
		if !m.ended() {
			out[m.group()] ^= gossip.Hash(m.Name, strconv.FormatUint(m.Incarnation, 10), strconv.FormatUint(m.Heartbeat, 10), m.State.String())
		}
	}
	return out
}

// page returns a page of the members in the groups that differ from other digests, the own digests, and the group with which the
// next page begins, or 0 if there is none.
func (f *Fleet) page(other []uint64, from int) (members []Member, digests []uint64, next int) {
	members = f.Members()
	own := digestMembers(members)
	var sizes [gossip.Groups]int
	for _, m := range members {
		sizes[m.group()] += m.size()
	}
	page, next := own.Differing(other).Page(from, sizes)
	return slices.DeleteFunc(members, func(m Member) bool { return !page[m.group()] }), own[:], next
}

// syncWith exchanges members with the instance at an address: first it takes those of the groups that differ, then it sends its
// own ones of the groups that still do. It fails silently, since the seeds of the settings may be down, and lost members are
// learnt from probes or at the next exchange.
func (f *Fleet) syncWith(ctx context.Context, address string) {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	f.mu.Lock()
	self := f.Self
	f.mu.Unlock()
	var theirs []uint64
	err := gossip.EachPage(ctx, func(ctx context.Context, from int) (int, error) {
		var reply SyncReply
		own := digestMembers(f.Members())
		args := SyncArgs{Members: []Member{self}, Digests: own[:], Next: from}
		if err := f.Call(ctx, address, RPCName+".Sync", args, &reply); err != nil {
			return 0, err
		}
		f.merge(reply.Members)
		theirs = reply.Digests
		return reply.Next, nil
	})
	if err != nil || len(theirs) == 0 {
		return
	}
	_ = gossip.EachPage(ctx, func(ctx context.Context, from int) (int, error) {
		members, digests, next := f.page(theirs, from)
		if len(members) == 0 {
			return 0, nil
		}
		args := SyncArgs{Members: members, Digests: digests, Next: gossip.Groups} // there is no such group, so the reply has none
		return next, f.Call(ctx, address, RPCName+".Sync", args, &SyncReply{})
	})
}
