package fleet

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"teaselgate/event"
	"teaselgate/peer"
	"teaselgate/platform"
)

// Timing of the membership protocol.
const (
	probeInterval        = time.Second            // interval between rounds of probes
	probeTimeout         = 500 * time.Millisecond // timeout of a direct probe, and of an exchange of all members
	suspectTimeout       = 3 * time.Second        // time after which a suspect is marked as gone
	syncInterval         = 30 * time.Second       // interval between exchanges of all members
	platformPollInterval = 5 * time.Second        // regular interval between polls of the platform store
	isolatedPollInterval = time.Second            // interval between polls while too few peers are reachable
	contactWindow        = 4 * time.Second        // time for which a response counts as contact
)

// Number of peers that an instance probes in each interval: more in a small fleet than in a large one.
const (
	smallFleetSize = 16 // number of other instances from which on a fleet is large
	smallFanout    = 5
	largeFanout    = 2
	largeSyncPeers = 5 // peers with which an instance of a large fleet exchanges members when it starts
)

// Fleet tracks which instances are live, suspected, leaving or gone. Its exported fields are set before Serve.
type Fleet struct {
	Self            Member
	Seeds           []string                                           // peer addresses from the settings
	Revision        func() uint64                                      // revision of the rules or the configuration here
	OnNewerRevision func(from Member, revision uint64)                 // called for peers with a newer one; must not block
	Digest          func() uint64                                      // digest of the evidence of crashes here
	OnDigest        func(from Member, digest uint64)                   // called with those of peers; must not block
	LimitDigest     func() uint64                                      // digest of what is known here about limits of servers
	OnLimitDigest   func(from Member, digest uint64)                   // called with those of peers; must not block
	Instances       func(context.Context) ([]platform.Instance, error) // lists the instances in the platform store
	Call            func(ctx context.Context, address, method string, args, reply any) error
	Record          func(event.Event)
	Now             func() time.Time

	mu                sync.Mutex
	members           map[string]*entry // other instances by name
	updates           updateQueue       // updates to send to peers
	recentProbes      []probeResult     // probes within the contact window
	platformContactAt time.Time         // when the platform store last responded
	polledAt          time.Time         // when the platform store was last polled
	memberFailedAt    time.Time         // when another instance was last found to have failed
	background        sync.WaitGroup    // calls to peers and to the platform store
}

// probeResult is the result of one probe of a peer.
type probeResult struct {
	at        time.Time
	peer      string
	responded bool
}

// New returns a Fleet that knows only its own instance and calls peers through a pool.
func New(self Member, pool *peer.Pool) *Fleet {
	return &Fleet{
		Self:            self,
		Revision:        func() uint64 { return 0 },
		OnNewerRevision: func(Member, uint64) {},
		Digest:          func() uint64 { return 0 },
		OnDigest:        func(Member, uint64) {},
		LimitDigest:     func() uint64 { return 0 },
		OnLimitDigest:   func(Member, uint64) {},
		Instances: func(context.Context) ([]platform.Instance, error) {
			return nil, platform.ErrUnavailable
		},
		Call:    pool.Call,
		Record:  func(event.Event) {},
		Now:     time.Now,
		members: make(map[string]*entry),
	}
}

// Members returns this instance and all others known, including those that are gone or have left, sorted by name.
func (f *Fleet) Members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Member, 0, len(f.members)+1)
	out = append(out, f.Self)
	for _, e := range f.members {
		out = append(out, e.member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Live returns the live instances, this one included, sorted by name. They take new duties.
func (f *Fleet) Live() []Member {
	return slices.DeleteFunc(f.Members(), func(m Member) bool { return m.State != Live })
}

// Serving returns the live instances, or the leaving ones if none is live: when a rolling restart outpaces the drain of
// requests, all instances are leaving for a while and must still serve.
func (f *Fleet) Serving() []Member {
	members := f.Members()
	for _, state := range []State{Live, Leaving} {
		serving := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.State != state })
		if len(serving) > 0 {
			return serving
		}
	}
	return nil
}

// Member returns an instance by name.
func (f *Fleet) Member(name string) (Member, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name == f.Self.Name {
		return f.Self, nil
	}
	if e, ok := f.members[name]; ok {
		return e.member, nil
	}
	return Member{}, unknownMember.New("fleet: unknown instance %s", name)
}

// CallMember calls a method of an instance, given by name.
func (f *Fleet) CallMember(ctx context.Context, name, method string, args, reply any) error {
	m, err := f.Member(name)
	if err != nil {
		return err
	}
	return f.Call(ctx, m.Peer, method, args, reply)
}

// RecordPlatformContact records that the platform store has just responded.
func (f *Fleet) RecordPlatformContact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platformContactAt = f.Now()
}

// LastPlatformContact returns when the platform store last responded, or zero if it never has.
func (f *Fleet) LastPlatformContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.platformContactAt
}

// Connected reports whether the platform store, or at least half of the peers that were probed, responded within the
// contact window. Peers that are gone without having left are still probed, so that an instance in the minority of a
// partitioned fleet does not take its part for the whole. An instance without peers depends on the platform store.
func (f *Fleet) Connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	return now.Sub(f.platformContactAt) < contactWindow || f.reachesPeers(now)
}

// ReachesPeers reports whether at least half of the peers that were probed within the contact window, and at least one,
// responded.
func (f *Fleet) ReachesPeers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachesPeers(f.Now())
}

// reachesPeers is ReachesPeers for callers that hold the lock.
func (f *Fleet) reachesPeers(now time.Time) bool {
	responded := make(map[string]bool)
	for _, p := range f.recentProbes {
		if now.Sub(p.at) < contactWindow {
			responded[p.peer] = responded[p.peer] || p.responded
		}
	}
	count := 0
	for _, ok := range responded {
		if ok {
			count++
		}
	}
	return len(responded) > 0 && 2*count >= len(responded)
}

// CountReachable returns the number of reachable instances, and that of known instances that have not left. Both
// include this one.
func (f *Fleet) CountReachable() (reachable, known int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	reachable, known = 1, 1
	for _, e := range f.members {
		if e.member.State == Left {
			continue
		}
		known++
		if e.member.State == Live || e.member.State == Leaving {
			reachable++
		}
	}
	return reachable, known
}

// Incarnation returns the incarnation of this instance.
func (f *Fleet) Incarnation() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Self.Incarnation
}

// RaiseIncarnation raises the incarnation of this instance above that of an earlier run, if it is not higher already,
// and returns it.
func (f *Fleet) RaiseIncarnation(earlier uint64) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Self.Incarnation <= earlier {
		f.Self.Incarnation = earlier + 1
		f.Self.Heartbeat++
		f.updates.add(f.Self, len(f.members))
	}
	return f.Self.Incarnation
}

// GoneFor returns the instances that have been gone, without having left, for at least d.
func (f *Fleet) GoneFor(d time.Duration) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Member
	for _, e := range f.members {
		if e.member.State == Gone && f.Now().Sub(e.updatedAt) >= d {
			out = append(out, e.member)
		}
	}
	return out
}

// LastMemberFailure returns when another instance was last found to have failed, that is, ended without leaving. It
// returns zero if none ever was.
func (f *Fleet) LastMemberFailure() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.memberFailedAt
}

// AnnounceLeaving tells peers that this instance takes no new duties.
func (f *Fleet) AnnounceLeaving(ctx context.Context) { f.announce(ctx, Leaving) }

// AnnounceLeft tells peers that this instance handles no more calls.
func (f *Fleet) AnnounceLeft(ctx context.Context) { f.announce(ctx, Left) }

// announce sets the state of this instance and at once probes as many peers as in one interval, to notify them.
func (f *Fleet) announce(ctx context.Context, s State) {
	f.updateSelf(s)
	var probes sync.WaitGroup
	for _, m := range f.pickPeers(f.fanout(), Member.Reachable) {
		probes.Go(func() { f.probe(ctx, m) })
	}
	probes.Wait()
}

// updateSelf sets the state of this instance and queues it for peers under a new heartbeat.
func (f *Fleet) updateSelf(s State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Self.State = s
	f.Self.Heartbeat++
	f.updates.add(f.Self, len(f.members))
}

// fanout returns the number of peers to probe in one interval.
func (f *Fleet) fanout() int {
	if f.peerCount() < smallFleetSize {
		return smallFanout
	}
	return largeFanout
}

// peerCount returns the number of other instances known.
func (f *Fleet) peerCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members)
}

// pickPeers returns up to n random peers that a filter accepts.
func (f *Fleet) pickPeers(n int, accept func(Member) bool) []Member {
	f.mu.Lock()
	var out []Member
	for _, e := range f.members {
		if accept(e.member) {
			out = append(out, e.member)
		}
	}
	f.mu.Unlock()
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}
