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

// Timing of membership.
const (
	probeInterval   = time.Second
	probeTimeout    = 500 * time.Millisecond
	suspectTimeout  = 3 * time.Second
	syncInterval    = 30 * time.Second
	platformPolling = 5 * time.Second
	lonelyPolling   = time.Second // of the platform, while too few peers are heard
	hearingWindow   = 4 * time.Second
)

// Peers that an instance probes in each interval: nearly all of a small fleet, few of a large one.
const (
	smallFleet  = 16
	smallFanout = 5
	largeFanout = 2
)

// Fleet follows the membership. Its exported fields are set before Serve.
type Fleet struct {
	Self            Member
	Seeds           []string // peer addresses from the settings
	Revision        func() uint64
	OnNewerRevision func(from Member, revision uint64) // told that a peer has a newer revision; returns at once
	Instances       func(context.Context) ([]platform.Instance, error)
	Call            func(ctx context.Context, address, method string, args, reply any) error
	Record          func(event.Event)
	Now             func() time.Time

	mu       sync.Mutex
	members  map[string]*entry // without self
	updates  updateQueue
	probes   []probeResult // within the hearing window
	platform time.Time     // when the platform was last heard
	polled   time.Time     // when the platform was last asked
	lost     time.Time     // when an instance was last found to have ended without leaving
	calls    sync.WaitGroup
}

// probeResult is one probe of a peer.
type probeResult struct {
	at    time.Time
	peer  string
	heard bool
}

// New returns a fleet of one that calls peers through a pool.
func New(self Member, pool *peer.Pool) *Fleet {
	return &Fleet{
		Self:            self,
		Revision:        func() uint64 { return 0 },
		OnNewerRevision: func(Member, uint64) {},
		Instances: func(context.Context) ([]platform.Instance, error) {
			return nil, platform.ErrUnavailable
		},
		Call:    pool.Call,
		Record:  func(event.Event) {},
		Now:     time.Now,
		members: make(map[string]*entry),
	}
}

// Members returns this instance and all others known, gone ones too, by name.
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

// Live returns the instances that take new duties, this one included, by name.
func (f *Fleet) Live() []Member {
	return slices.DeleteFunc(f.Members(), func(m Member) bool { return m.State != Live })
}

// Serving returns the live instances, or those that are leaving while none is live. Load that it answers: instances are
// rolled faster than they end, so that for a while all of them are leaving and still serve.
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

// Member finds an instance by name.
func (f *Fleet) Member(name string) (Member, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name == f.Self.Name {
		return f.Self, nil
	}
	if e, ok := f.members[name]; ok {
		return e.member, nil
	}
	return Member{}, noMember.New("fleet: no instance %s is known", name)
}

// CallMember runs a method at an instance by name.
func (f *Fleet) CallMember(ctx context.Context, name, method string, args, reply any) error {
	m, err := f.Member(name)
	if err != nil {
		return err
	}
	return f.Call(ctx, m.Peer, method, args, reply)
}

// RecordPlatformContact notes that the platform answered just now.
func (f *Fleet) RecordPlatformContact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.platform = f.Now()
}

// LastPlatformContact returns when the platform last answered; zero before the first time.
func (f *Fleet) LastPlatformContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.platform
}

// Connected tells whether the instance has heard the platform, or at least half of the peers
// it tried, within the hearing window. Peers that are gone without having left are tried too, so
// that an instance in the smaller part of a divided fleet does not take that part for the whole.
// An instance that has no peers counts the platform only.
func (f *Fleet) Connected() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	return now.Sub(f.platform) < hearingWindow || f.hearsPeers(now)
}

// ReachesPeers tells whether the instance has heard at least half of the peers it tried, and at
// least one, within the hearing window.
func (f *Fleet) ReachesPeers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hearsPeers(f.Now())
}

// hearsPeers counts the peers that answered of those tried lately; the caller holds the lock.
func (f *Fleet) hearsPeers(now time.Time) bool {
	heard := make(map[string]bool)
	for _, p := range f.probes {
		if now.Sub(p.at) < hearingWindow {
			heard[p.peer] = heard[p.peer] || p.heard
		}
	}
	answered := 0
	for _, ok := range heard {
		if ok {
			answered++
		}
	}
	return len(heard) > 0 && 2*answered >= len(heard)
}

// CountReachable returns how many instances are heard, this one included, and how many are known that have not left.
func (f *Fleet) CountReachable() (heard, known int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	heard, known = 1, 1
	for _, e := range f.members {
		if e.member.State == Left {
			continue
		}
		known++
		if e.member.State == Live || e.member.State == Leaving {
			heard++
		}
	}
	return heard, known
}

// Incarnation returns the number of this run of the instance.
func (f *Fleet) Incarnation() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Self.Incarnation
}

// RaiseIncarnation raises the number of this run above that of an earlier one that is as high, and returns it.
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

// GoneFor returns the instances that have been gone for a time, without a word that they left.
func (f *Fleet) GoneFor(d time.Duration) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Member
	for _, e := range f.members {
		if e.member.State == Gone && f.Now().Sub(e.since) >= d {
			out = append(out, e.member)
		}
	}
	return out
}

// LastMemberFailure returns when an instance was last found to have ended without a graceful leave.
func (f *Fleet) LastMemberFailure() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost
}

// AnnounceLeaving tells peers that this instance takes no new duties.
func (f *Fleet) AnnounceLeaving(ctx context.Context) { f.spread(ctx, Leaving) }

// AnnounceLeft tells peers that this instance answers no more calls.
func (f *Fleet) AnnounceLeft(ctx context.Context) { f.spread(ctx, Left) }

func (f *Fleet) spread(ctx context.Context, s State) {
	f.restate(s)
	var probes sync.WaitGroup
	for _, m := range f.pick(f.fanout(), Member.Reachable) {
		probes.Go(func() { f.probe(ctx, m) })
	}
	probes.Wait()
}

// restate spreads a new statement on this instance itself.
func (f *Fleet) restate(s State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Self.State = s
	f.Self.Heartbeat++
	f.updates.add(f.Self, len(f.members))
}

// fanout returns the number of peers to probe in one interval.
func (f *Fleet) fanout() int {
	if f.size() < smallFleet {
		return smallFanout
	}
	return largeFanout
}

// size returns the number of other instances known.
func (f *Fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members)
}

// pick returns up to n random peers that a filter admits.
func (f *Fleet) pick(n int, admit func(Member) bool) []Member {
	f.mu.Lock()
	var out []Member
	for _, e := range f.members {
		if admit(e.member) {
			out = append(out, e.member)
		}
	}
	f.mu.Unlock()
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}
