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

// sweepBench is a sweeper with two engines of which it sweeps the first for all.
type sweepBench struct {
	*Sweeper
	now       time.Time
	held      map[string][]engine.Holding
	states    map[string]OwnerState
	running   map[string]bool
	connected bool
	loss      time.Time
	cancelled []string
	silent    bool
}

func newSweepBench() *sweepBench {
	b := &sweepBench{
		now:       time.Unix(0, 0),
		held:      make(map[string][]engine.Holding),
		states:    make(map[string]OwnerState),
		running:   make(map[string]bool),
		connected: true,
	}
	b.Sweeper = &Sweeper{
		Owner:          "i1-5",
		Engines:        func() []string { return []string{"d1", "d2"} },
		SelectAssigned: func([]string) []string { return []string{"d1"} },
		OwnerState:     func(owner string) OwnerState { return b.states[owner] },
		LastLoss:       func() time.Time { return b.loss },
		Connected:      func() bool { return b.connected },
		IsRunning:      func(attempt string) bool { return b.running[attempt] },
		ListAttempts:   b.list,
		Cancel:         func(at, attempt string, _ bool) { b.cancelled = append(b.cancelled, at+" "+attempt) },
		Record:         func(event.Event) {},
		Now:            func() time.Time { return b.now },
	}
	return b
}

func (b *sweepBench) list(_ context.Context, at, owner string) ([]engine.Holding, error) {
	if b.silent {
		return nil, errors.New("no answer")
	}
	var out []engine.Holding
	for _, h := range b.held[at] {
		if owner == "" || owner == h.Owner {
			out = append(out, h)
		}
	}
	return out, nil
}

// sweepFor makes rounds for a time and returns what was cancelled.
func (b *sweepBench) sweepFor(t *testing.T, d time.Duration) []string {
	t.Helper()
	b.cancelled = nil
	for end := b.now.Add(d); !b.now.After(end); b.now = b.now.Add(time.Second) {
		b.Sweep(t.Context())
	}
	slices.Sort(b.cancelled)
	return slices.Compact(b.cancelled)
}

func TestSweeperCancelsWhatHasNoOwner(t *testing.T) {
	tests := []struct {
		name         string
		at           string
		held         engine.Holding
		state        OwnerState
		disconnected bool
		within       time.Duration
		cancelled    bool
	}{
		{"live owner", "d1", engine.Holding{Owner: "i2-1"}, OwnerLive, false, 2 * time.Minute, false},
		{"newer incarnation, reading", "d1", engine.Holding{Owner: "i2-1", Reading: true}, OwnerReplaced, false, 3 * time.Second, true},
		{"newer incarnation, just seen", "d1", engine.Holding{Owner: "i2-1"}, OwnerReplaced, false, time.Second, false},
		{"newer incarnation, cut off", "d1", engine.Holding{Owner: "i2-1"}, OwnerReplaced, true, 3 * time.Second, true},
		{"gone owner", "d1", engine.Holding{Owner: "i2-1"}, OwnerGone, false, 7 * time.Second, true},
		{"gone owner that reads", "d1", engine.Holding{Owner: "i2-1", Reading: true}, OwnerGone, false, 30 * time.Second, false},
		{"gone owner that reads for long", "d1", engine.Holding{Owner: "i2-1", Reading: true}, OwnerGone, false, 61 * time.Second, true},
		{"gone owner, cut off", "d1", engine.Holding{Owner: "i2-1"}, OwnerGone, true, 2 * time.Minute, false},
		{"unknown owner", "d1", engine.Holding{Owner: "i9-1"}, OwnerUnknown, false, 31 * time.Second, true},
		{"unknown owner, just seen", "d1", engine.Holding{Owner: "i9-1"}, OwnerUnknown, false, 20 * time.Second, false},
		{"unknown owner that reads", "d1", engine.Holding{Owner: "i9-1", Reading: true}, OwnerUnknown, false, 5 * time.Minute, false},
		{"other's engine", "d2", engine.Holding{Owner: "i2-1"}, OwnerGone, false, 2 * time.Minute, false},
		{"own attempt that runs", "d2", engine.Holding{Owner: "i1-5", Attempt: "run"}, OwnerLive, false, time.Minute, false},
		{"own attempt that ended", "d2", engine.Holding{Owner: "i1-5"}, OwnerLive, false, 3 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newSweepBench()
			b.running["run"] = true
			b.held[test.at] = []engine.Holding{test.held}
			b.states[test.held.Owner] = test.state
			b.connected = !test.disconnected
			if got := len(b.sweepFor(t, test.within)) > 0; got != test.cancelled {
				t.Errorf("unexpected cancel, got %v instead of %v", got, test.cancelled)
			}
		})
	}
}

func TestSweeperKeepsTheAgeOfSuspectsAtASilentEngine(t *testing.T) {
	b := newSweepBench()
	b.held["d1"] = []engine.Holding{{Owner: "i2-1"}}
	b.states["i2-1"] = OwnerGone
	b.sweepFor(t, 3*time.Second)
	b.silent = true
	b.sweepFor(t, 3*time.Second)
	b.silent = false
	if got := b.sweepFor(t, time.Second); len(got) != 1 {
		t.Errorf("unexpected cancels, got %v instead of one", got)
	}
}

func TestDirtyEngineIsSearchedUntilClean(t *testing.T) {
	b := newSweepBench()
	engines := []string{"d7"}
	b.Engines = func() []string { return engines }
	b.SelectAssigned = func([]string) []string { return nil }
	b.held["d7"] = []engine.Holding{{Owner: "i1-5", Attempt: "lost"}}
	b.MarkUnconfirmed("d7")
	if got := b.sweepFor(t, 3*time.Second); len(got) != 1 {
		t.Errorf("unexpected cancels, got %v instead of one", got)
	}
	b.held["d7"] = nil
	b.sweepFor(t, time.Second)
	if len(b.dirty) != 0 {
		t.Errorf("unexpected dirty engines, got %v instead of none", b.dirty)
	}
	b.MarkUnconfirmed("d7")
	engines = nil
	if work := b.work(); len(work)+len(b.dirty) != 0 {
		t.Errorf("unexpected work, got %v instead of none", work)
	}
}

func TestCalmSweeperAsksFewEnginesAndAllAfterALoss(t *testing.T) {
	b := newSweepBench()
	engines := []string{"d1", "d2", "d3", "d4", "d5", "d6", "d7"}
	b.Engines = func() []string { return nil }
	b.SelectAssigned = func([]string) []string { return slices.Clone(engines) }
	b.now = time.Unix(1_800_000_000, 0)
	seen := make(map[string]bool)
	for range (len(engines) + calmEngines - 1) / calmEngines {
		work := b.work()
		if len(work) > calmEngines {
			t.Errorf("unexpected engines in a calm round, got %d instead of at most %d", len(work), calmEngines)
		}
		for at := range work {
			seen[at] = true
		}
	}
	if len(seen) != len(engines) {
		t.Errorf("unexpected engines in calm rounds, got %d instead of all %d", len(seen), len(engines))
	}
	b.suspects = map[target]time.Time{{at: "d2", attempt: "a"}: b.now, {at: "d5", attempt: "b"}: b.now, {at: "d7", attempt: "c"}: b.now}
	for range 3 {
		work := b.work()
		for _, at := range []string{"d2", "d5", "d7"} {
			if owner, ok := work[at]; !ok || owner != "" {
				t.Errorf("unexpected round without all owners at %s, where an attempt has none", at)
			}
		}
	}
	b.loss = b.now.Add(-alertTime / 2)
	if work := b.work(); len(work) != len(engines) {
		t.Errorf("unexpected engines after a loss, got %d instead of %d", len(work), len(engines))
	}
}
