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

// Timing of the follower.
const (
	retryDelay         = 500 * time.Millisecond
	pollInterval       = time.Second
	pollTimeout        = time.Second
	maxReadAgeWatching = 2 * time.Second // of an instance that watches: its watch may have gone silent for good
	maxReadAgeRelayed  = 3 * time.Second // of one that does not: all those that watch may be cut off
)

// Follower puts each newer revision in force. Its exported fields are set before Serve.
type Follower struct {
	Platform           *platform.Client
	Record             func(event.Event)
	Call               func(ctx context.Context, address, method string, args, reply any) error
	Peers              func() []string // addresses of all known peers
	Watches            func() bool     // whether this instance watches the platform; others rely on their peers
	Isolated           func() bool     // whether too few peers are heard to learn of revisions from them
	OnPlatformResponse func()          // told of each answer of the platform

	current       atomic.Pointer[Revision]
	rejected      atomic.Pointer[Rejection]
	installMu     sync.Mutex // held while a revision is put in force
	peerRevisions chan peerRevision
	lastReadNanos atomic.Int64 // time of the newest read of the head, in Unix nanoseconds
	platformDown  atomic.Bool  // whether the platform's last answer was a failure
}

// Rejection is a revision that this instance refused to put in force.
type Rejection struct {
	Revision uint64 `json:"revision"`
	Change   string `json:"change"`
	Reason   string `json:"reason"`
}

// NewFollower returns a follower without peers.
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

// Current returns the revision in force, or nil before the instance has heard enough to have one.
func (f *Follower) Current() *Revision { return f.current.Load() }

// Rejected returns the newest revision that was refused, or nil.
func (f *Follower) Rejected() *Rejection { return f.rejected.Load() }

// Rules returns the rules in force; it is empty before the first revision.
func (f *Follower) Rules() *rule.Set {
	if r := f.current.Load(); r != nil {
		return r.Rules
	}
	return &rule.Set{}
}

// Serve follows the platform's head and the peers until the context ends.
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

// watchLoop waits for changes of the head while this instance is one that watches.
func (f *Follower) watchLoop(ctx context.Context) {
	var seen uint64
	for ctx.Err() == nil {
		if !f.Watches() {
			_ = delay.For(ctx, pollInterval)
			continue
		}
		version, err := f.watch(ctx, seen)
		if errors.Is(err, platform.ErrHistory) {
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

func (f *Follower) watch(ctx context.Context, seen uint64) (uint64, error) {
	list, err := f.Platform.Watch(ctx, HeadKind, seen)
	if err != nil {
		return seen, err
	}
	f.recordPlatformResponse()
	for _, o := range list.Objects {
		if o.Deleted || o.Name != HeadName {
			continue
		}
		newest, err := decodePointer(o)
		if err != nil {
			return seen, err
		}
		if err := f.adoptPointer(ctx, newest); err != nil {
			return seen, err
		}
	}
	return list.Version, nil
}

// pollLoop reads the head in case that a watch has gone silent, or that no peer brings news in time.
func (f *Follower) pollLoop(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if time.Since(f.lastRead()) >= f.maxReadAge() {
			f.poll(ctx)
		}
	}
}

// maxReadAge returns how old the newest answer of the platform may become.
func (f *Follower) maxReadAge() time.Duration {
	switch {
	case f.Isolated():
		return 0
	case f.Watches():
		return maxReadAgeWatching
	default:
		return maxReadAgeRelayed
	}
}

// poll reads the head once. After a failure it reads again on a new connection.
func (f *Follower) poll(ctx context.Context) {
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	_, newest, err := readPointer(pollCtx, f.Platform)
	if err == nil {
		f.recordPlatformResponse()
		err = f.adoptPointer(ctx, newest)
	} else {
		f.Platform.HTTP.CloseIdleConnections()
	}
	if err != nil {
		f.recordPlatformFailure(ctx, err)
	}
}

// readOnce reads the head and puts it in force.
func (f *Follower) readOnce(ctx context.Context) error {
	_, newest, err := readPointer(ctx, f.Platform)
	if err != nil {
		return err
	}
	f.recordPlatformResponse()
	return f.adoptPointer(ctx, newest)
}

// adoptPointer reads the head that the platform points to, if it is newer than what is in force.
func (f *Follower) adoptPointer(ctx context.Context, newest headPointer) error {
	if old := f.Current(); old != nil && newest.Revision <= old.Number {
		return nil
	}
	if r := f.Rejected(); r != nil && r.Revision == newest.Revision && r.Change == newest.Change {
		return nil
	}
	head, err := newest.readHead(ctx, f.Platform)
	if errors.Is(err, ErrInvalid) {
		f.recordRejection(Rejection{newest.Revision, newest.Change, err.Error()})
		return nil
	}
	if err != nil {
		return err
	}
	return f.adopt(ctx, head, newPlatformPartReader(f.Platform))
}

func (f *Follower) recordRejection(r Rejection) {
	f.rejected.Store(&r)
	f.Record(event.Event{Code: event.RulesRejected, Detail: r.Reason})
}

func (f *Follower) recordPlatformResponse() {
	f.lastReadNanos.Store(time.Now().UnixNano())
	f.OnPlatformResponse()
	if f.platformDown.Swap(false) {
		f.Record(event.Event{Code: event.PlatformBack})
	}
}

func (f *Follower) lastRead() time.Time { return time.Unix(0, f.lastReadNanos.Load()) }

// recordPlatformFailure notes the first of several failures in a row.
func (f *Follower) recordPlatformFailure(ctx context.Context, err error) {
	if ctx.Err() == nil && !f.platformDown.Swap(true) {
		f.Record(event.Event{Code: event.PlatformLost, Detail: err.Error()})
	}
}

// adopt puts a revision in force unless that one or a newer one already is. It reads without a
// lock: a silent source must not keep another one from bringing the revision.
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
		f.Record(event.Event{Code: event.RulesInForce, Detail: fmt.Sprintf("revision %d", head.Revision)})
	}
	return nil
}

// install makes a revision the one in force unless it is not newer.
func (f *Follower) install(r *Revision) bool {
	f.installMu.Lock()
	defer f.installMu.Unlock()
	if current := f.Current(); current != nil && r.Number <= current.Number {
		return false
	}
	f.current.Store(r)
	return true
}
