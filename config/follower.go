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
	retryDelay     = 500 * time.Millisecond
	pulse          = time.Second
	pulseTimeout   = time.Second
	watchedPolling = 2 * time.Second // of an instance that watches: its watch may have gone silent for good
	relayedPolling = 3 * time.Second // of one that does not: all those that watch may be cut off
)

// Follower puts each newer revision in force. Its exported fields are set before Serve.
type Follower struct {
	Platform *platform.Client
	Record   func(event.Event)
	Call     func(ctx context.Context, address, method string, args, reply any) error
	Peers    func() []string // addresses of all known peers
	Watches  func() bool     // whether this instance watches the platform; others rely on their peers
	Isolated   func() bool     // whether too few peers are heard to learn of revisions from them
	OnPlatformResponse    func()          // told of each answer of the platform

	current atomic.Pointer[Revision]
	rejects atomic.Pointer[Rejection]
	putting sync.Mutex // held while a revision is put in force
	nudges  chan nudge
	read    atomic.Int64 // time of the newest read of the head, in Unix nanoseconds
	down    atomic.Bool  // whether the platform's last answer was a failure
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
		Platform: p,
		Record:   func(event.Event) {},
		Peers:    func() []string { return nil },
		Watches:  func() bool { return true },
		Isolated:   func() bool { return true },
		OnPlatformResponse:    func() {},
		nudges:   make(chan nudge, 1),
	}
}

// Current returns the revision in force, or nil before the instance has heard enough to have one.
func (f *Follower) Current() *Revision { return f.current.Load() }

// Rejected returns the newest revision that was refused, or nil.
func (f *Follower) Rejected() *Rejection { return f.rejects.Load() }

// Rules returns the rules in force; it is empty before the first revision.
func (f *Follower) Rules() *rule.Set {
	if r := f.current.Load(); r != nil {
		return r.Rules
	}
	return &rule.Set{}
}

// Serve follows the platform's head and the peers until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	if err := f.start(ctx); err != nil {
		return err
	}
	var loops sync.WaitGroup
	loops.Go(func() { f.watchLoop(ctx) })
	loops.Go(func() { f.relayLoop(ctx) })
	loops.Go(func() { f.pulseLoop(ctx) })
	loops.Wait()
	return ctx.Err()
}

// watchLoop waits for changes of the head while this instance is one that watches.
func (f *Follower) watchLoop(ctx context.Context) {
	var seen uint64
	for ctx.Err() == nil {
		if !f.Watches() {
			_ = delay.For(ctx, pulse)
			continue
		}
		version, err := f.watch(ctx, seen)
		if errors.Is(err, platform.ErrHistoryDropped) {
			seen = 0
			continue
		}
		if err != nil {
			f.lost(ctx, err)
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
	f.heard()
	for _, o := range list.Objects {
		if o.Deleted || o.Name != HeadName {
			continue
		}
		at, err := decodePointer(o)
		if err != nil {
			return seen, err
		}
		if err := f.adoptPointer(ctx, at); err != nil {
			return seen, err
		}
	}
	return list.Version, nil
}

// pulseLoop reads the head in case that a watch has gone silent, or that no peer brings news in time.
func (f *Follower) pulseLoop(ctx context.Context) {
	tick := time.NewTicker(pulse)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if time.Since(f.lastRead()) >= f.polling() {
			f.pulse(ctx)
		}
	}
}

// polling returns how old the newest answer of the platform may become.
func (f *Follower) polling() time.Duration {
	switch {
	case f.Isolated():
		return 0
	case f.Watches():
		return watchedPolling
	default:
		return relayedPolling
	}
}

// pulse reads the head once. After a failure it reads again on a new connection.
func (f *Follower) pulse(ctx context.Context) {
	short, stop := context.WithTimeout(ctx, pulseTimeout)
	defer stop()
	_, at, err := readPointer(short, f.Platform)
	if err == nil {
		f.heard()
		err = f.adoptPointer(ctx, at)
	} else {
		f.Platform.HTTP.CloseIdleConnections()
	}
	if err != nil {
		f.lost(ctx, err)
	}
}

// readOnce reads the head and puts it in force.
func (f *Follower) readOnce(ctx context.Context) error {
	_, at, err := readPointer(ctx, f.Platform)
	if err != nil {
		return err
	}
	f.heard()
	return f.adoptPointer(ctx, at)
}

// adoptPointer reads the head that the platform points to, if it is newer than what is in force.
func (f *Follower) adoptPointer(ctx context.Context, at pointer) error {
	if old := f.Current(); old != nil && at.Revision <= old.Number {
		return nil
	}
	if r := f.Rejected(); r != nil && r.Revision == at.Revision && r.Change == at.Change {
		return nil
	}
	head, err := at.follow(ctx, f.Platform)
	if errors.Is(err, ErrInvalid) {
		f.reject(Rejection{at.Revision, at.Change, err.Error()})
		return nil
	}
	if err != nil {
		return err
	}
	return f.adopt(ctx, head, fromPlatform(f.Platform))
}

func (f *Follower) reject(r Rejection) {
	f.rejects.Store(&r)
	f.Record(event.Event{Code: event.RulesRejected, Detail: r.Reason})
}

func (f *Follower) heard() {
	f.read.Store(time.Now().UnixNano())
	f.OnPlatformResponse()
	if f.down.Swap(false) {
		f.Record(event.Event{Code: event.PlatformReachable})
	}
}

func (f *Follower) lastRead() time.Time { return time.Unix(0, f.read.Load()) }

// lost notes the first of several failures in a row.
func (f *Follower) lost(ctx context.Context, err error) {
	if ctx.Err() == nil && !f.down.Swap(true) {
		f.Record(event.Event{Code: event.PlatformUnreachable, Detail: err.Error()})
	}
}

// adopt puts a revision in force unless that one or a newer one already is. It reads without a
// lock: a silent source must not keep another one from bringing the revision.
func (f *Follower) adopt(ctx context.Context, head Head, read fetch) error {
	old := f.Current()
	if old != nil && head.Revision <= old.Number {
		return nil
	}
	if r := f.Rejected(); r != nil && r.Revision == head.Revision && r.Change == head.Change {
		return nil
	}
	revision, err := follow(ctx, head, old, read)
	if errors.Is(err, ErrInvalid) {
		f.reject(Rejection{head.Revision, head.Change, err.Error()})
		return nil
	}
	if err != nil {
		return err
	}
	if f.put(revision) {
		f.Record(event.Event{Code: event.RulesApplied, Detail: fmt.Sprintf("revision %d", head.Revision)})
	}
	return nil
}

// put makes a revision the one in force unless it is not newer.
func (f *Follower) put(r *Revision) bool {
	f.putting.Lock()
	defer f.putting.Unlock()
	if current := f.Current(); current != nil && r.Number <= current.Number {
		return false
	}
	f.current.Store(r)
	return true
}
