package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"teaselgate/platform"
)

// RPCName is the name under which the membership's methods are registered.
const RPCName = "Fleet"

// relays is the number of peers asked to probe one that did not answer.
const relays = 2

// PingArgs is the message of a probe.
type PingArgs struct {
	From     Member
	About    Member // what the caller holds of the callee, who corrects it at once if it is wrong
	Revision uint64
	Updates  []Member
}

// PingReply answers a probe.
type PingReply struct {
	From     Member
	Revision uint64
	Updates  []Member
}

// RelayArgs asks a peer to probe another.
type RelayArgs struct {
	Target Member
}

// RelayReply tells whether the target answered.
type RelayReply struct {
	Heard bool
}

// SyncArgs carries all that the caller knows.
type SyncArgs struct {
	Members []Member
}

// SyncReply carries all that the callee knows.
type SyncReply struct {
	Members []Member
}

// Receiver answers the membership's calls of peers.
type Receiver struct{ fleet *Fleet }

// Receiver returns what is to be registered under RPCName.
func (f *Fleet) Receiver() *Receiver { return &Receiver{f} }

// Ping answers a probe.
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

// Sync exchanges all that both sides know.
func (r *Receiver) Sync(args SyncArgs, reply *SyncReply) error {
	reply.Members = r.fleet.Members()
	r.fleet.merge(args.Members)
	return nil
}

func (f *Fleet) pingReply() PingReply {
	revision := f.Revision()
	f.mu.Lock()
	defer f.mu.Unlock()
	return PingReply{From: f.Self, Revision: revision, Updates: f.updates.next()}
}

// Serve probes peers until the context ends.
func (f *Fleet) Serve(ctx context.Context) error {
	defer f.calls.Wait()
	f.join(ctx)
	probe := time.NewTicker(probeInterval)
	defer probe.Stop()
	repair := time.NewTicker(syncInterval)
	defer repair.Stop()
	poll := time.NewTicker(lonelyPolling)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-probe.C:
			f.probeRound(ctx)
		case <-repair.C:
			f.syncSometimes(ctx)
		case <-poll.C:
			f.pollWhenDue(ctx)
		}
	}
}

// join learns the first peers from the platform and from the settings.
func (f *Fleet) join(ctx context.Context) {
	f.restate(f.Self.State) // so that those it exchanges with have its own word at once
	var asking sync.WaitGroup
	asking.Go(func() { f.poll(ctx) })
	asking.Go(func() { f.askSeeds(ctx) })
	asking.Wait()
	f.syncMany(ctx)
	f.restate(f.Self.State)
}

// askSeeds exchanges all members with the instances that the settings name, some of which may be down or gone.
func (f *Fleet) askSeeds(ctx context.Context) {
	var asking sync.WaitGroup
	for _, address := range f.Seeds {
		if address != f.Self.Peer {
			asking.Go(func() { f.sync(ctx, address) })
		}
	}
	asking.Wait()
}

// syncMany exchanges all members with many peers at once, so that all of a small fleet know at once of an instance that
// starts, also when all start together.
func (f *Fleet) syncMany(ctx context.Context) {
	var syncs sync.WaitGroup
	for _, m := range f.pick(smallFleet, Member.Reachable) {
		syncs.Go(func() { f.sync(ctx, m.Peer) })
	}
	syncs.Wait()
}

// pollWhenDue asks the platform for its list: often only while too few peers are heard, and then the seeds too. Load that
// it answers: an instance starts while the platform is down, and the seeds are restarted in turn.
func (f *Fleet) pollWhenDue(ctx context.Context) {
	f.mu.Lock()
	now := f.Now()
	lonely := !f.hearsPeers(now)
	due := lonely || now.Sub(f.polled) >= platformPolling
	if due {
		f.polled = now
	}
	f.mu.Unlock()
	if due {
		f.calls.Go(func() { f.poll(ctx) })
	}
	if lonely {
		f.calls.Go(func() { f.askSeeds(ctx) })
	}
}

// poll takes instances that are not known yet from the platform's lagging list.
func (f *Fleet) poll(ctx context.Context) {
	list, err := f.Instances(ctx)
	if err != nil {
		return
	}
	f.RecordPlatformContact()
	named := make(map[string]bool, len(list))
	for _, i := range list {
		named[i.Name] = true
		if _, err := f.Member(i.Name); err != nil {
			f.mergeOne(listed(i))
		}
	}
	f.forget(named)
}

// listed makes a member of an entry of the platform's list; any statement of its own replaces it.
func listed(i platform.Instance) Member {
	m := Member{Name: i.Name, Zone: i.Zone, Peer: i.Peer, Admin: i.Admin, Incarnation: i.Incarnation}
	if i.State == Leaving.String() {
		m.State = Leaving
	}
	return m
}

// syncSometimes exchanges all members with a peer, the more seldom the larger the fleet: the
// exchange only repairs what the spreading of statements missed, and its size grows with the fleet.
func (f *Fleet) syncSometimes(ctx context.Context) {
	size := f.size()
	if size < smallFleet || rand.IntN(size) < smallFleet {
		f.syncRandom(ctx)
	}
}

func (f *Fleet) syncRandom(ctx context.Context) {
	for _, m := range f.pick(1, Member.Reachable) {
		f.sync(ctx, m.Peer)
	}
}

func (f *Fleet) sync(ctx context.Context, address string) {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	var reply SyncReply
	if f.Call(ctx, address, RPCName+".Sync", SyncArgs{f.Members()}, &reply) == nil {
		f.merge(reply.Members)
	}
}

// probeRound probes some peers at once and takes silent suspects for gone.
func (f *Fleet) probeRound(ctx context.Context) {
	f.expire(f.Now())
	notLeft := func(m Member) bool { return m.State != Left }
	for _, m := range f.pick(f.fanout(), notLeft) {
		f.calls.Go(func() { f.probe(ctx, m) })
	}
}

// probe pings a peer, directly or through others; a peer that stays silent becomes a suspect.
func (f *Fleet) probe(ctx context.Context, m Member) {
	direct, stop := context.WithTimeout(ctx, probeTimeout)
	err := f.ping(direct, m)
	stop()
	f.note(m.Name, err == nil)
	if err == nil || ctx.Err() != nil || !m.Reachable() || f.relayed(ctx, m) {
		return
	}
	m.State = Suspect
	f.mergeOne(m)
}

func (f *Fleet) ping(ctx context.Context, m Member) error {
	own := f.pingReply()
	var reply PingReply
	args := PingArgs{From: own.From, About: m.statement(), Revision: own.Revision, Updates: own.Updates}
	err := f.Call(ctx, m.Peer, RPCName+".Ping", args, &reply)
	if err != nil {
		return err
	}
	f.merge(append(reply.Updates, reply.From))
	if reply.Revision > own.Revision {
		f.OnNewerRevision(reply.From, reply.Revision)
	}
	return nil
}

// relayed asks other peers whether they hear a silent one.
func (f *Fleet) relayed(ctx context.Context, m Member) bool {
	ctx, stop := context.WithTimeout(ctx, 2*probeTimeout)
	defer stop()
	for _, via := range f.pick(relays, func(o Member) bool { return o.Reachable() && o.Name != m.Name }) {
		var reply RelayReply
		if f.Call(ctx, via.Peer, RPCName+".Relay", RelayArgs{m}, &reply) == nil && reply.Heard {
			return true
		}
	}
	return false
}

// note remembers a probe for Connected.
func (f *Fleet) note(name string, heard bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	kept := f.probes[:0]
	for _, p := range f.probes {
		if now.Sub(p.at) < hearingWindow {
			kept = append(kept, p)
		}
	}
	f.probes = append(kept, probeResult{now, name, heard})
}
