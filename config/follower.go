package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/platform"
	"teaselgate/rule"
)

// Intervals and timeouts of the follower. The maxResponseAge constants are the ages of the platform's last response at
// which the head is polled.
const (
	retryDelay             = 500 * time.Millisecond // before a retry of the initial load; of a watch, up to twice as long
	pollInterval           = time.Second
	pollTimeout            = time.Second
	maxResponseAgeWatching = 2 * time.Second // at an instance that watches the platform, in case the watch stalls
	maxResponseAgeRelayed  = 3 * time.Second // at the others, in case no watching instance reaches the platform
)

// Follower puts each newer revision in force at this instance. Its exported fields are set before Serve.
type Follower struct {
	Platform *platform.Client
	Record   func(event.Event)
	Call     func(ctx context.Context, address, method string, args, reply any) error // calls a peer
	// Peers returns the addresses of all known peers.
	Peers func() []string
	// Watches reports whether this instance watches the platform. The others learn of revisions from their peers.
	Watches func() bool
	// Isolated reports whether too few peers are reachable to learn of revisions from them.
	Isolated func() bool
	// OnPlatformResponse is called after each successful read or watch of the head.
	OnPlatformResponse func()

	current           atomic.Pointer[Revision]
	rejected          atomic.Pointer[Rejection]
	installMu         sync.Mutex // held while current is compared and replaced
	peerRevisions     chan peerRevision
	lastResponseNanos atomic.Int64 // time of the last response of the platform, in Unix nanoseconds
	platformDown      atomic.Bool  // whether the last call to the platform failed
}

// Rejection describes a revision that this instance did not put in force because it is invalid.
type Rejection struct {
	Revision uint64 `json:"revision"`
	Change   string `json:"change"`
	Reason   string `json:"reason"`
}

// NewFollower returns a follower that has no peers and watches the platform itself.
func NewFollower(p *platform.Client) *Follower {
	return &Follower{
		Platform:           p,
		Record:             func(event.Event) {},
		Peers:              func() []string { return nil },
		Watches:            func() bool { return true },
		Isolated:           func() bool { return true },
		OnPlatformResponse: func() {},
		peerRevisions:      make(chan peerRevision, 1),
	}
}

// Current returns the revision in force, or nil until the first one was loaded.
func (f *Follower) Current() *Revision { return f.current.Load() }

// Rejected returns the last rejected revision, or nil.
func (f *Follower) Rejected() *Rejection { return f.rejected.Load() }

// Rules returns the rules in force; the set is empty before the first revision.
func (f *Follower) Rules() *rule.Set {
	if r := f.current.Load(); r != nil {
		return r.Rules
	}
	return &rule.Set{}
}

// Serve loads the first revision, then follows the platform's head and the peers until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	if err := f.loadInitialRevision(ctx); err != nil {
		return err
	}
	var loops sync.WaitGroup
	loops.Go(func() { f.watchLoop(ctx) })
	loops.Go(func() { f.relayLoop(ctx) })
	loops.Go(func() { f.pollLoop(ctx) })
	loops.Wait()
	return ctx.Err()
}

// watchLoop watches the head in the platform store while Watches reports true.
func (f *Follower) watchLoop(ctx context.Context) {
	var seen platform.Version
	for ctx.Err() == nil {
		if !f.Watches() {
			_ = delay.For(ctx, pollInterval)
			continue
		}
		version, err := f.watch(ctx, seen)
		if errors.Is(err, platform.ErrHistoryDropped) {
			seen = 0
			continue
		}
		if err != nil {
			f.recordPlatformFailure(ctx, err)
			_ = delay.For(ctx, retryDelay+rand.N(retryDelay))
			continue
		}
		seen = version
	}
}

// watch waits for changes of the head after the version seen, puts the newest revision in force and returns the
// version to watch from next.
func (f *Follower) watch(ctx context.Context, seen platform.Version) (platform.Version, error) {
	list, err := f.Platform.Watch(ctx, HeadKind, seen)
	if err != nil {
		return seen, err
	}
	f.recordPlatformResponse()
	for _, object := range list.Objects {
		if object.Deleted || object.Name != HeadName {
			continue
		}
		pointer, err := decodePointer(object)
		if err != nil {
			return seen, err
		}
		if err := f.adoptPointer(ctx, pointer); err != nil {
			return seen, err
		}
	}
	return list.Version, nil
}

// pollLoop reads the head when the last response of the platform is too old, as when a watch stalls. An instance that
// does not watch the platform thus reads the head every maxResponseAgeRelayed, in case no peer relays newer revisions.
func (f *Follower) pollLoop(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if time.Since(f.lastPlatformResponse()) >= f.maxResponseAge() {
			f.poll(ctx)
		}
	}
}

// maxResponseAge returns the age of the last response at which the head is read again.
func (f *Follower) maxResponseAge() time.Duration {
	switch {
	case f.Isolated():
		return 0
	case f.Watches():
		return maxResponseAgeWatching
	default:
		return maxResponseAgeRelayed
	}
}

// poll reads the head once and puts its revision in force. If the read fails, it closes the idle connections, so
// that the next read uses a new one.
func (f *Follower) poll(ctx context.Context) {
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	_, pointer, err := readPointer(pollCtx, f.Platform)
	if err == nil {
		f.recordPlatformResponse()
		err = f.adoptPointer(ctx, pointer)
	} else {
		f.Platform.HTTP.CloseIdleConnections()
	}
	if err != nil {
		f.recordPlatformFailure(ctx, err)
	}
}

// readOnce reads the head and puts its revision in force.
func (f *Follower) readOnce(ctx context.Context) error {
	_, pointer, err := readPointer(ctx, f.Platform)
	if err != nil {
		return err
	}
	f.recordPlatformResponse()
	return f.adoptPointer(ctx, pointer)
}

// adoptPointer reads the head that a pointer names and puts its revision in force. It skips a revision that is not
// newer than the one in force, and the one that was rejected last.
func (f *Follower) adoptPointer(ctx context.Context, pointer headPointer) error {
	if current := f.Current(); current != nil && pointer.Revision <= current.Number {
		return nil
	}
	if r := f.Rejected(); r != nil && r.Revision == pointer.Revision && r.Change == pointer.Change {
		return nil
	}
	head, err := pointer.readHead(ctx, f.Platform)
	if errors.Is(err, ErrInvalid) {
		f.recordRejection(Rejection{pointer.Revision, pointer.Change, err.Error()})
		return nil
	}
	if err != nil {
		return err
	}
	return f.adopt(ctx, head, newPlatformPartReader(f.Platform))
}

// recordRejection stores the last rejected revision and records its event.
func (f *Follower) recordRejection(r Rejection) {
	f.rejected.Store(&r)
	f.Record(event.Event{Code: event.RulesRejected, Detail: r.Reason})
}

// recordPlatformResponse records the time of a successful call to the platform, and an event if the last call failed.
func (f *Follower) recordPlatformResponse() {
	f.lastResponseNanos.Store(time.Now().UnixNano())
	f.OnPlatformResponse()
	if f.platformDown.Swap(false) {
		f.Record(event.Event{Code: event.PlatformReachable})
	}
}

// lastPlatformResponse returns the time of the last response of the platform.
func (f *Follower) lastPlatformResponse() time.Time { return time.Unix(0, f.lastResponseNanos.Load()) }

// recordPlatformFailure records an event for the first of consecutive failures.
func (f *Follower) recordPlatformFailure(ctx context.Context, err error) {
	if ctx.Err() == nil && !f.platformDown.Swap(true) {
		f.Record(event.Event{Code: event.PlatformUnreachable, Detail: err.Error()})
	}
}

// adopt loads the revision that a head names and puts it in force if it is newer than the one in force. It reads
// parts without holding a lock, so that a source that doesn't respond can't block another one.
func (f *Follower) adopt(ctx context.Context, head Head, read partReader) error {
	old := f.Current()
	if old != nil && head.Revision <= old.Number {
		return nil
	}
	if r := f.Rejected(); r != nil && r.Revision == head.Revision && r.Change == head.Change {
		return nil
	}
	revision, err := loadVerified(ctx, head, old, read)
	if errors.Is(err, ErrInvalid) {
		f.recordRejection(Rejection{head.Revision, head.Change, err.Error()})
		return nil
	}
	if err != nil {
		return err
	}
	if f.install(revision) {
		f.Record(event.Event{Code: event.RulesApplied, Detail: fmt.Sprintf("revision %d", head.Revision)})
	}
	return nil
}

// install puts a revision in force if it is newer than the one in force, and reports whether it was.
func (f *Follower) install(r *Revision) bool {
	f.installMu.Lock()
	defer f.installMu.Unlock()
	if current := f.Current(); current != nil && r.Number <= current.Number {
		return false
	}
	f.current.Store(r)
	return true
}
