package outcome

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"teaselgate/engine"
	"teaselgate/event"
)

// Limits of sweeping.
const (
	sweepInterval           = 4 * time.Second
	ownEnginesPerRound      = 4 // engines at which an instance lists its own attempts in each round
	maxConcurrentSweeps     = 16
	assignedEnginesPerRound = 3                // engines listed for all owners in a round if no instance was lost recently
	fullSweepPeriod         = 90 * time.Second // after the loss of an instance; exceeds the delays of OwnerGone
)

// OwnerState is the state of the instance that owns an attempt, named by its incarnation.
type OwnerState int

// The states of an owner.
const (
	OwnerLive     OwnerState = iota
	OwnerReplaced            // a newer incarnation of the instance runs
	OwnerGone                // the instance does not respond to the other instances
	OwnerUnknown             // no instance of that name is known
)

// sweepDelays are the times for which an attempt must have been without a live owner before it is cancelled. If a
// connection still reads the attempt's stream, the delay is longer unless the owner was replaced: the owner may only be
// cut off from the other instances.
var sweepDelays = map[OwnerState]struct{ idle, reading time.Duration }{
	OwnerReplaced: {2 * time.Second, 2 * time.Second},
	OwnerGone:     {6 * time.Second, time.Minute},
	OwnerUnknown:  {30 * time.Second, 10 * time.Minute},
}

// Sweeper cancels orphaned attempts at engines: attempts whose owner is not live, and attempts of this instance that no
// longer run here. Its exported fields are set before Serve.
type Sweeper struct {
	Owner             string                            // incarnation of this instance
	Engines           func() []string                   // returns the addresses of all engines
	SelectAssigned    func(addresses []string) []string // returns those that this instance sweeps for all owners
	OwnerState        func(owner string) OwnerState
	LastMemberFailure func() time.Time            // returns when an instance was last lost without leaving gracefully
	Connected         func() bool                 // reports whether this instance can reach the others
	IsRunning         func(attemptID string) bool // reports whether an attempt of this instance runs
	ListAttempts      func(ctx context.Context, address, owner string) ([]engine.Holding, error)
	Cancel            func(address, attemptID string, uncertain bool)
	Record            func(event.Event)
	Now               func() time.Time

	mu           sync.Mutex
	unconfirmed  map[string]bool             // addresses of engines that have not confirmed a cancel
	orphans      map[engineAttempt]time.Time // when each orphaned attempt was first seen without a live owner
	nextOwn      int                         // position in the list of engines for the next search for own attempts
	nextAssigned int                         // position in the list of assigned engines for the next round
}

// MarkUnconfirmed has each following round search an engine for attempts of this instance, until a round finds no
// orphaned attempt there.
func (s *Sweeper) MarkUnconfirmed(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unconfirmed == nil {
		s.unconfirmed = make(map[string]bool)
	}
	s.unconfirmed[address] = true
}

// Serve sweeps at intervals until the context ends.
func (s *Sweeper) Serve(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.Sweep(ctx)
		}
	}
}

// Sweep makes one round over the engines that are due.
func (s *Sweeper) Sweep(ctx context.Context) {
	found := make(map[engineAttempt]time.Time)
	var mu sync.Mutex
	var running sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentSweeps)
	for address, owner := range s.plan() {
		semaphore <- struct{}{}
		running.Go(func() {
			defer func() { <-semaphore }()
			atEngine := s.sweepEngine(ctx, address, owner)
			mu.Lock()
			defer mu.Unlock()
			maps.Copy(found, atEngine)
		})
	}
	running.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orphans = found
}

// plan returns the addresses of the engines to sweep in this round, each with the owner whose attempts to list. An
// empty owner stands for all owners.
func (s *Sweeper) plan() map[string]string {
	engines := s.Engines()
	slices.Sort(engines)
	s.mu.Lock()
	defer s.mu.Unlock()
	plan := make(map[string]string)
	for address := range s.unconfirmed {
		if !slices.Contains(engines, address) {
			delete(s.unconfirmed, address) // the engine was removed
			continue
		}
		plan[address] = s.Owner
	}
	for a := range s.orphans {
		if slices.Contains(engines, a.address) {
			plan[a.address] = s.Owner
		}
	}
	for range min(ownEnginesPerRound, len(engines)) {
		plan[engines[s.nextOwn%len(engines)]] = s.Owner
		s.nextOwn++
	}
	for _, address := range s.dueEngines(s.SelectAssigned(engines)) {
		plan[address] = ""
	}
	return plan
}

// dueEngines returns the assigned engines to list for all owners in this round: all of them for fullSweepPeriod after
// the loss of an instance, otherwise a few in turn and those with orphaned attempts. The caller must hold s.mu.
func (s *Sweeper) dueEngines(assigned []string) []string {
	if s.Now().Sub(s.LastMemberFailure()) < fullSweepPeriod || len(assigned) <= assignedEnginesPerRound {
		return assigned
	}
	slices.Sort(assigned)
	out := make([]string, 0, assignedEnginesPerRound+len(s.orphans))
	for range assignedEnginesPerRound {
		out = append(out, assigned[s.nextAssigned%len(assigned)])
		s.nextAssigned++
	}
	for a := range s.orphans {
		if slices.Contains(assigned, a.address) {
			out = append(out, a.address)
		}
	}
	return out
}

// sweepEngine cancels the attempts at an engine that have been orphaned for long enough. It returns all orphaned
// attempts there, or those of the last round if the engine does not respond.
func (s *Sweeper) sweepEngine(ctx context.Context, address, owner string) map[engineAttempt]time.Time {
	attempts, err := s.ListAttempts(ctx, address, owner)
	if err != nil {
		return s.orphansAt(address)
	}
	found := make(map[engineAttempt]time.Time)
	cancelled := 0
	for _, attempt := range attempts {
		state := s.ownerState(attempt)
		if state == OwnerLive {
			continue
		}
		a := engineAttempt{address: address, attemptID: attempt.Attempt}
		orphanedSince := s.orphanedSince(a)
		found[a] = orphanedSince
		delay := sweepDelays[state].idle
		if attempt.Reading {
			delay = sweepDelays[state].reading
		}
		if s.Now().Sub(orphanedSince) >= delay {
			s.Cancel(address, attempt.Attempt, false)
			cancelled++
		}
	}
	if len(found) == 0 {
		s.clearUnconfirmed(address)
	}
	if cancelled > 0 {
		s.Record(event.Event{Code: event.OrphanedAttemptsCancelled, Server: address})
	}
	return found
}

// ownerState returns the state of an attempt's owner. An attempt of this instance that no longer runs counts as one of
// a replaced owner. While this instance is cut off, owners that are not replaced count as live.
func (s *Sweeper) ownerState(attempt engine.Holding) OwnerState {
	if attempt.Owner == s.Owner {
		if s.IsRunning(attempt.Attempt) {
			return OwnerLive
		}
		return OwnerReplaced
	}
	state := s.OwnerState(attempt.Owner)
	if state != OwnerReplaced && !s.Connected() {
		return OwnerLive
	}
	return state
}

// orphanedSince returns when an attempt was first seen without a live owner: in an earlier round, or now.
func (s *Sweeper) orphanedSince(a engineAttempt) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if orphanedSince, ok := s.orphans[a]; ok {
		return orphanedSince
	}
	return s.Now()
}

// orphansAt returns the orphaned attempts that the last round found at an engine.
func (s *Sweeper) orphansAt(address string) map[engineAttempt]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[engineAttempt]time.Time)
	for a, orphanedSince := range s.orphans {
		if a.address == address {
			found[a] = orphanedSince
		}
	}
	return found
}

func (s *Sweeper) clearUnconfirmed(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unconfirmed, address)
}
