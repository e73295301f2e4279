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

// Timing of sweeping.
const (
	sweepInterval     = 4 * time.Second
	ownEnginesInRound = 4 // engines at which an instance looks for attempts of its own in each round
	sweepsAtOnce      = 16
	calmEngines       = 3                // engines listed for all owners in a round without an alert
	alertTime         = 90 * time.Second // after the loss of an instance, above the longest delay of a cancel
)

// OwnerState tells what is known of the instance that answers for an attempt.
type OwnerState int

// The states of an owner.
const (
	OwnerLive     OwnerState = iota
	OwnerReplaced            // a newer incarnation runs under its name
	OwnerGone                // it does not answer the other instances
	OwnerUnknown             // no instance of its name is known
)

// sweepDelays are the times for which an attempt must have had no owner before it is cancelled. Those that a
// connection still reads wait longer: their owner may be cut off from the other instances only.
var sweepDelays = map[OwnerState]struct{ idle, reading time.Duration }{
	OwnerReplaced: {2 * time.Second, 2 * time.Second},
	OwnerGone:     {6 * time.Second, time.Minute},
	OwnerUnknown:  {30 * time.Second, 10 * time.Minute},
}

// Sweeper cancels attempts at engines whose owners have ended, and own attempts that are not running any more.
// Its exported fields are set before Serve.
type Sweeper struct {
	Owner          string                      // incarnation of this instance
	Engines        func() []string             // addresses of all engines
	SelectAssigned func(ats []string) []string // the engines that this instance sweeps for all others
	OwnerState     func(owner string) OwnerState
	LastLoss       func() time.Time // when an instance was last lost without a graceful leave
	Connected      func() bool      // whether this instance hears the others, so that their absence means something
	IsRunning      func(attempt string) bool
	ListAttempts   func(ctx context.Context, at, owner string) ([]engine.Holding, error)
	Cancel         func(at, attempt string, uncertain bool)
	Record         func(event.Event)
	Now            func() time.Time

	mu       sync.Mutex
	dirty    map[string]bool      // engines that have not confirmed a cancel
	suspects map[target]time.Time // since when an attempt has had no owner
	next     int                  // position in the engines of the search for own attempts
	nextCalm int                  // position in the chosen engines while there is no alert
}

// MarkUnconfirmed has an engine searched for own attempts in the next rounds.
func (s *Sweeper) MarkUnconfirmed(at string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dirty == nil {
		s.dirty = make(map[string]bool)
	}
	s.dirty[at] = true
}

// Serve sweeps until the context ends.
func (s *Sweeper) Serve(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			s.Sweep(ctx)
		}
	}
}

// Sweep makes one round over the engines.
func (s *Sweeper) Sweep(ctx context.Context) {
	found := make(map[target]time.Time)
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan struct{}, sweepsAtOnce)
	for at, owner := range s.work() {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			orphans := s.sweepEngine(ctx, at, owner)
			mu.Lock()
			defer mu.Unlock()
			maps.Copy(found, orphans)
		})
	}
	running.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects = found
}

// work returns the engines of this round, each with the owner to list; empty means all owners.
func (s *Sweeper) work() map[string]string {
	engines := s.Engines()
	slices.Sort(engines)
	s.mu.Lock()
	defer s.mu.Unlock()
	work := make(map[string]string)
	for at := range s.dirty {
		if !slices.Contains(engines, at) {
			delete(s.dirty, at) // no engine any more
			continue
		}
		work[at] = s.Owner
	}
	for t := range s.suspects {
		if slices.Contains(engines, t.at) {
			work[t.at] = s.Owner
		}
	}
	for range min(ownEnginesInRound, len(engines)) {
		work[engines[s.next%len(engines)]] = s.Owner
		s.next++
	}
	for _, at := range s.due(s.SelectAssigned(engines)) {
		work[at] = ""
	}
	return work
}

// due returns the chosen engines of this round: all after the loss of an instance, else a few in turn and those
// with suspects. The caller holds the lock.
func (s *Sweeper) due(chosen []string) []string {
	if s.Now().Sub(s.LastLoss()) < alertTime || len(chosen) <= calmEngines {
		return chosen
	}
	slices.Sort(chosen)
	out := make([]string, 0, calmEngines+len(s.suspects))
	for range calmEngines {
		out = append(out, chosen[s.nextCalm%len(chosen)])
		s.nextCalm++
	}
	for t := range s.suspects {
		if slices.Contains(chosen, t.at) {
			out = append(out, t.at)
		}
	}
	return out
}

// sweepEngine cancels what has had no owner for long enough, and returns what else has none.
func (s *Sweeper) sweepEngine(ctx context.Context, at, owner string) map[target]time.Time {
	held, err := s.ListAttempts(ctx, at, owner)
	if err != nil {
		return s.suspectsAt(at)
	}
	found := make(map[target]time.Time)
	cancelled := 0
	for _, h := range held {
		state := s.stateOf(h)
		if state == OwnerLive {
			continue
		}
		t := target{at: at, attempt: h.Attempt}
		since := s.since(t)
		found[t] = since
		delay := sweepDelays[state].idle
		if h.Reading {
			delay = sweepDelays[state].reading
		}
		if s.Now().Sub(since) >= delay {
			s.Cancel(at, h.Attempt, false)
			cancelled++
		}
	}
	if len(found) == 0 {
		s.clean(at)
	}
	if cancelled > 0 {
		s.Record(event.Event{Code: event.OrphanedAttemptsCancelled, Server: at})
	}
	return found
}

func (s *Sweeper) stateOf(h engine.Holding) OwnerState {
	if h.Owner == s.Owner {
		if s.IsRunning(h.Attempt) {
			return OwnerLive
		}
		return OwnerReplaced
	}
	state := s.OwnerState(h.Owner)
	if state != OwnerReplaced && !s.Connected() {
		return OwnerLive
	}
	return state
}

func (s *Sweeper) since(t target) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since, ok := s.suspects[t]; ok {
		return since
	}
	return s.Now()
}

func (s *Sweeper) suspectsAt(at string) map[target]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[target]time.Time)
	for t, since := range s.suspects {
		if t.at == at {
			found[t] = since
		}
	}
	return found
}

func (s *Sweeper) clean(at string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.dirty, at)
}
