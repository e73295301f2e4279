package outcome

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"teaselgate/engine"
	"teaselgate/event"
)

// testSweeper is a sweeper with the engines d1 and d2, of which it sweeps d1 for all owners. Its fields set what it
// sees, and record what it cancels.
type testSweeper struct {
	*Sweeper
	now               time.Time
	held              map[string][]engine.Holding // attempts by engine address
	ownerStates       map[string]OwnerState
	running           map[string]bool
	connected         bool
	lastMemberFailure time.Time
	cancelled         []string
	unresponsive      bool
}

func newTestSweeper() *testSweeper {
	s := &testSweeper{
		now:         time.Unix(0, 0),
		held:        make(map[string][]engine.Holding),
		ownerStates: make(map[string]OwnerState),
		running:     make(map[string]bool),
		connected:   true,
	}
	s.Sweeper = &Sweeper{
		Owner:             "i1-5",
		Engines:           func() []string { return []string{"d1", "d2"} },
		SelectAssigned:    func([]string) []string { return []string{"d1"} },
		OwnerState:        func(owner string) OwnerState { return s.ownerStates[owner] },
		LastMemberFailure: func() time.Time { return s.lastMemberFailure },
		Connected:         func() bool { return s.connected },
		IsRunning:         func(attemptID string) bool { return s.running[attemptID] },
		ListAttempts:      s.list,
		Cancel:            func(address, attemptID string, _ bool) { s.cancelled = append(s.cancelled, address+" "+attemptID) },
		Record:            func(event.Event) {},
		Now:               func() time.Time { return s.now },
	}
	return s
}

func (s *testSweeper) list(_ context.Context, address, owner string) ([]engine.Holding, error) {
	if s.unresponsive {
		return nil, errors.New("no response")
	}
	var out []engine.Holding
	for _, attempt := range s.held[address] {
		if owner == "" || owner == attempt.Owner {
			out = append(out, attempt)
		}
	}
	return out, nil
}

// sweepFor makes a round each second for a time, and returns the cancelled attempts.
func (s *testSweeper) sweepFor(t *testing.T, d time.Duration) []string {
	t.Helper()
	s.cancelled = nil
	for end := s.now.Add(d); !s.now.After(end); s.now = s.now.Add(time.Second) {
		s.Sweep(t.Context())
	}
	slices.Sort(s.cancelled)
	return slices.Compact(s.cancelled)
}

func TestSweeperCancelsOrphanedAttempts(t *testing.T) {
	tests := []struct {
		name         string
		address      string
		held         engine.Holding
		state        OwnerState
		disconnected bool          // whether the sweeper's instance can't reach the others
		duration     time.Duration // time for which the sweeper makes rounds
		cancelled    bool          // whether the attempt is to be cancelled
	}{
		{"live owner", "d1", engine.Holding{Owner: "i2-1"}, OwnerLive, false, 2 * time.Minute, false},
		{
			"newer incarnation, reading", "d1",
			engine.Holding{Owner: "i2-1", Reading: true},
			OwnerReplaced, false, 3 * time.Second, true,
		},
		{"newer incarnation, just seen", "d1", engine.Holding{Owner: "i2-1"}, OwnerReplaced, false, time.Second, false},
		{
			"newer incarnation, disconnected", "d1",
			engine.Holding{Owner: "i2-1"},
			OwnerReplaced, true, 3 * time.Second, true,
		},
		{"gone owner", "d1", engine.Holding{Owner: "i2-1"}, OwnerGone, false, 7 * time.Second, true},
		{
			"gone owner, reading", "d1",
			engine.Holding{Owner: "i2-1", Reading: true},
			OwnerGone, false, 30 * time.Second, false,
		},
		{
			"gone owner, reading for long", "d1",
			engine.Holding{Owner: "i2-1", Reading: true},
			OwnerGone, false, 61 * time.Second, true,
		},
		{"gone owner, disconnected", "d1", engine.Holding{Owner: "i2-1"}, OwnerGone, true, 2 * time.Minute, false},
		{"unknown owner", "d1", engine.Holding{Owner: "i9-1"}, OwnerUnknown, false, 31 * time.Second, true},
		{"unknown owner, just seen", "d1", engine.Holding{Owner: "i9-1"}, OwnerUnknown, false, 20 * time.Second, false},
		{
			"unknown owner, reading", "d1",
			engine.Holding{Owner: "i9-1", Reading: true},
			OwnerUnknown, false, 5 * time.Minute, false,
		},
		{
			"engine assigned to another instance", "d2",
			engine.Holding{Owner: "i2-1"},
			OwnerGone, false, 2 * time.Minute, false,
		},
		{
			"own running attempt", "d2",
			engine.Holding{Owner: "i1-5", Attempt: "run"},
			OwnerLive, false, time.Minute, false,
		},
		{"own ended attempt", "d2", engine.Holding{Owner: "i1-5"}, OwnerLive, false, 3 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTestSweeper()
			s.running["run"] = true
			s.held[test.address] = []engine.Holding{test.held}
			s.ownerStates[test.held.Owner] = test.state
			s.connected = !test.disconnected
			if got := len(s.sweepFor(t, test.duration)) > 0; got != test.cancelled {
				t.Errorf("unexpected cancel, got %v instead of %v", got, test.cancelled)
			}
		})
	}
}

func TestUnresponsiveEngineDoesNotResetOrphanAge(t *testing.T) {
	s := newTestSweeper()
	s.held["d1"] = []engine.Holding{{Owner: "i2-1"}}
	s.ownerStates["i2-1"] = OwnerGone
	s.sweepFor(t, 3*time.Second)
	s.unresponsive = true
	s.sweepFor(t, 3*time.Second)
	s.unresponsive = false
	if got := s.sweepFor(t, time.Second); len(got) != 1 {
		t.Errorf("unexpected cancels, got %v instead of one", got)
	}
}

func TestUnconfirmedEngineIsSearchedUntilNoAttemptIsLeft(t *testing.T) {
	s := newTestSweeper()
	engines := []string{"d7"}
	s.Engines = func() []string { return engines }
	s.SelectAssigned = func([]string) []string { return nil }
	s.held["d7"] = []engine.Holding{{Owner: "i1-5", Attempt: "lost"}}
	s.MarkUnconfirmed("d7")
	if got := s.sweepFor(t, 3*time.Second); len(got) != 1 {
		t.Errorf("unexpected cancels, got %v instead of one", got)
	}
	s.held["d7"] = nil
	s.sweepFor(t, time.Second)
	if len(s.unconfirmed) != 0 {
		t.Errorf("unexpected unconfirmed engines, got %v instead of none", s.unconfirmed)
	}
	s.MarkUnconfirmed("d7")
	engines = nil
	if plan := s.plan(); len(plan)+len(s.unconfirmed) != 0 {
		t.Errorf("unexpected plan or unconfirmed engines after the engine was removed, got plan %v instead of none", plan)
	}
}

func TestSweeperListsFewEnginesUntilLoss(t *testing.T) {
	s := newTestSweeper()
	engines := []string{"d1", "d2", "d3", "d4", "d5", "d6", "d7"}
	s.Engines = func() []string { return nil }
	s.SelectAssigned = func([]string) []string { return slices.Clone(engines) }
	s.now = time.Unix(1_800_000_000, 0)
	seen := make(map[string]bool)
	for range (len(engines) + assignedEnginesPerRound - 1) / assignedEnginesPerRound {
		plan := s.plan()
		if len(plan) > assignedEnginesPerRound {
			t.Errorf("unexpected number of engines in a round without a loss, got %d instead of at most %d",
				len(plan), assignedEnginesPerRound)
		}
		for address := range plan {
			seen[address] = true
		}
	}
	if len(seen) != len(engines) {
		t.Errorf("unexpected number of engines over the rounds without a loss, got %d instead of %d", len(seen), len(engines))
	}
	s.orphans = map[engineAttempt]time.Time{
		{address: "d2", attemptID: "a"}: s.now,
		{address: "d5", attemptID: "b"}: s.now,
		{address: "d7", attemptID: "c"}: s.now,
	}
	for range 3 {
		plan := s.plan()
		for _, address := range []string{"d2", "d5", "d7"} {
			if owner, ok := plan[address]; !ok || owner != "" {
				t.Errorf("unexpected round, %s with an orphaned attempt is not listed for all owners", address)
			}
		}
	}
	s.lastMemberFailure = s.now.Add(-fullSweepPeriod / 2)
	if plan := s.plan(); len(plan) != len(engines) {
		t.Errorf("unexpected number of engines after a loss, got %d instead of %d", len(plan), len(engines))
	}
}
