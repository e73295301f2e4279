package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"teaselgate/platform"
)

// RPCName is the name under which the membership methods are registered for other instances.
const RPCName = "Fleet"

// relayCount is the number of peers that are asked to probe a peer that did not respond.
const relayCount = 2

// PingArgs is the message of a probe.
type PingArgs struct {
	From     Member   // the sender
	About    Member   // callee as the caller knows it; the callee refutes it if it is wrong
	Revision uint64   // revision of the rules or the configuration at the sender
	Updates  []Member // queued updates of the sender
	Digest   uint64   // digest of the evidence of crashes at the sender
	Limits   uint64   // digest of what the sender knows about the limits of servers
}

// PingReply is the reply to a probe.
type PingReply struct {
	From     Member   // the sender
	Revision uint64   // revision of the rules or the configuration at the sender
	Updates  []Member // queued updates of the sender
	Digest   uint64   // digest of the evidence of crashes at the sender
	Limits   uint64   // digest of what the sender knows about the limits of servers
}

// RelayArgs asks a peer to probe another.
type RelayArgs struct {
	Target Member
}

// RelayReply reports whether the target responded.
type RelayReply struct {
	Heard bool
}

// SyncArgs carries members that the caller knows, and asks for a page of those in which the callee differs. Without digests it
// carries all members, and the reply those that the caller does not know or of which it has older updates.
type SyncArgs struct {
	Members []Member
	Digests []uint64 // digests of all members at the caller, by group
	Next    int      // group with which the page begins
}

// SyncReply carries a page of members.
type SyncReply struct {
	Members []Member
	Digests []uint64 // digests of all members at the callee, by group
	Next    int      // group with which the next page begins; 0 if there is none
}

// Receiver serves the RPC methods of a Fleet.
type Receiver struct{ fleet *Fleet }

// Receiver returns the net/rpc receiver to register under RPCName.
func (f *Fleet) Receiver() *Receiver { return &Receiver{f} }

// Ping handles a probe.
func (r *Receiver) Ping(args PingArgs, reply *PingReply) error {
	r.fleet.merge(append(args.Updates, args.From, args.About))
	*reply = r.fleet.pingReply()
	if args.Revision > reply.Revision {
		r.fleet.OnNewerRevision(args.From, args.Revision)
	}
	return nil
}

// Relay probes another peer for the caller.
func (r *Receiver) Relay(args RelayArgs, reply *RelayReply) error {
	ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
	defer stop()
	reply.Heard = r.fleet.ping(ctx, args.Target) == nil
	return nil
}

// Sync merges members of the caller and replies with those that differ.
func (r *Receiver) Sync(args SyncArgs, reply *SyncReply) error {
	if len(args.Digests) > 0 {
		r.fleet.merge(args.Members)
		reply.Members, reply.Digests, reply.Next = r.fleet.page(args.Digests, args.Next)
		return nil
	}
	known := make(map[string]Member, len(args.Members))
	for _, m := range args.Members {
		known[m.Name] = m
	}
	for _, m := range r.fleet.Members() {
		if old, ok := known[m.Name]; !ok || m.supersedes(old) {
			reply.Members = append(reply.Members, m)
		}
	}
	r.fleet.merge(args.Members)
	return nil
}

// pingReply returns the reply to a probe, with the next queued updates.
func (f *Fleet) pingReply() PingReply {
	revision, digest, limits := f.Revision(), f.Digest(), f.LimitDigest()
	f.mu.Lock()
	defer f.mu.Unlock()
	return PingReply{From: f.Self, Revision: revision, Updates: f.updates.next(), Digest: digest, Limits: limits}
}

// Serve joins the fleet and probes peers until the context ends.
func (f *Fleet) Serve(ctx context.Context) error {
	defer f.background.Wait()
	f.join(ctx)
	probeTick := time.NewTicker(probeInterval)
	defer probeTick.Stop()
	syncTick := time.NewTicker(syncInterval)
	defer syncTick.Stop()
	pollTick := time.NewTicker(isolatedPollInterval)
	defer pollTick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-probeTick.C:
			f.probeRound(ctx)
		case <-syncTick.C:
			f.syncOccasionally(ctx)
		case <-pollTick.C:
			f.pollIfDue(ctx)
		}
	}
}

// join learns the first peers from the platform store and from the settings, and exchanges members with them.
func (f *Fleet) join(ctx context.Context) {
	f.updateSelf(f.Self.State) // so that the first exchanges carry an update by this instance itself
	var exchanges sync.WaitGroup
	exchanges.Go(func() { f.pollPlatform(ctx) })
	exchanges.Go(func() { f.syncSeeds(ctx) })
	exchanges.Wait()
	f.syncPeers(ctx)
	f.updateSelf(f.Self.State)
}

// syncSeeds exchanges all members with the instances that the settings name. Some of them may be down or replaced.
func (f *Fleet) syncSeeds(ctx context.Context) {
	var exchanges sync.WaitGroup
	for _, address := range f.Seeds {
		if address != f.Self.Peer {
			exchanges.Go(func() { f.syncWith(ctx, address) })
		}
	}
	exchanges.Wait()
}

// syncPeers exchanges members with several peers at once, so that all of a small fleet soon know of an instance that
// starts, even when all start together. In a large fleet that would move the square of its size in members to each
// instance; there the probes spread the rest.
func (f *Fleet) syncPeers(ctx context.Context) {
	peers := smallFleetSize
	if f.peerCount() > smallFleetSize {
		peers = largeSyncPeers
	}
	var exchanges sync.WaitGroup
	for _, m := range f.pickPeers(peers, Member.Reachable) {
		exchanges.Go(func() { f.syncWith(ctx, m.Peer) })
	}
	exchanges.Wait()
}

// pollIfDue polls the platform store at its regular interval. While too few peers are reachable it polls each time, and
// asks the seeds too: an instance that starts while the store is down must find seeds that are restarted later.
func (f *Fleet) pollIfDue(ctx context.Context) {
	f.mu.Lock()
	now := f.Now()
	isolated := !f.reachesPeers(now)
	due := isolated || now.Sub(f.polledAt) >= platformPollInterval
	if due {
		f.polledAt = now
	}
	f.mu.Unlock()
	if due {
		f.background.Go(func() { f.pollPlatform(ctx) })
	}
	if isolated {
		f.background.Go(func() { f.syncSeeds(ctx) })
	}
}

// pollPlatform reads the list of instances in the platform store, which may be outdated. It adds those that are not yet
// known, and removes ended members that the list no longer has.
func (f *Fleet) pollPlatform(ctx context.Context) {
	list, err := f.Instances(ctx)
	if err != nil {
		return
	}
	f.RecordPlatformContact()
	listed := make(map[string]bool, len(list))
	for _, i := range list {
		listed[i.Name] = true
		if _, err := f.Member(i.Name); err != nil {
			f.mergeMember(memberFromInstance(i))
		}
	}
	f.removeEnded(listed)
}

// memberFromInstance returns the member for an entry of the platform store. Any update by the instance itself
// supersedes it.
func memberFromInstance(i platform.Instance) Member {
	m := Member{Name: i.Name, Zone: i.Zone, Peer: i.Peer, Admin: i.Admin, Incarnation: i.Incarnation}
	if i.State == Leaving.String() {
		m.State = Leaving
	}
	return m
}

// syncOccasionally exchanges members with a random peer, less often in a larger fleet: the exchange only repairs
// what the spread of updates missed.
func (f *Fleet) syncOccasionally(ctx context.Context) {
	size := f.peerCount()
	if size < smallFleetSize || rand.IntN(size) < smallFleetSize {
		f.syncRandomPeer(ctx)
	}
}

func (f *Fleet) syncRandomPeer(ctx context.Context) {
	for _, m := range f.pickPeers(1, Member.Reachable) {
		f.syncWith(ctx, m.Peer)
	}
}

// probeRound marks expired suspects as gone, and probes some peers in the background.
func (f *Fleet) probeRound(ctx context.Context) {
	f.expireSuspects(f.Now())
	notLeft := func(m Member) bool { return m.State != Left }
	for _, m := range f.pickPeers(f.fanout(), notLeft) {
		f.background.Go(func() { f.probe(ctx, m) })
	}
}

// probe pings a peer, directly or through other peers. A live or leaving peer that does not respond becomes a suspect.
func (f *Fleet) probe(ctx context.Context, m Member) {
	direct, stop := context.WithTimeout(ctx, probeTimeout)
	err := f.ping(direct, m)
	stop()
	f.recordProbe(m.Name, err == nil)
	if err == nil || ctx.Err() != nil || !m.Reachable() || f.reachedByPeers(ctx, m) {
		return
	}
	m.State = Suspect
	f.mergeMember(m)
}

// ping probes a member directly and merges its reply.
func (f *Fleet) ping(ctx context.Context, m Member) error {
	own := f.pingReply()
	var reply PingReply
	args := PingArgs{
		From: own.From, About: m.stateOnly(), Revision: own.Revision, Updates: own.Updates, Digest: own.Digest, Limits: own.Limits,
	}
	err := f.Call(ctx, m.Peer, RPCName+".Ping", args, &reply)
	if err != nil {
		return err
	}
	f.merge(append(reply.Updates, reply.From))
	if reply.Revision > own.Revision {
		f.OnNewerRevision(reply.From, reply.Revision)
	}
	f.OnDigest(reply.From, reply.Digest)
	f.OnLimitDigest(reply.From, reply.Limits)
	return nil
}

// reachedByPeers asks other peers to probe a member, and reports whether one of them reached it.
func (f *Fleet) reachedByPeers(ctx context.Context, m Member) bool {
	ctx, stop := context.WithTimeout(ctx, 2*probeTimeout)
	defer stop()
	for _, via := range f.pickPeers(relayCount, func(o Member) bool { return o.Reachable() && o.Name != m.Name }) {
		var reply RelayReply
		if f.Call(ctx, via.Peer, RPCName+".Relay", RelayArgs{m}, &reply) == nil && reply.Heard {
			return true
		}
	}
	return false
}

// recordProbe records the result of a probe for Connected and ReachesPeers, and drops old results.
func (f *Fleet) recordProbe(name string, responded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	kept := f.recentProbes[:0]
	for _, p := range f.recentProbes {
		if now.Sub(p.at) < contactWindow {
			kept = append(kept, p)
		}
	}
	f.recentProbes = append(kept, probeResult{now, name, responded})
}
