package outcome_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"teaselgate/standin/fault"
	standplatform "teaselgate/standin/platform"
)

// Limits of one walk.
const (
	maxWalkCalls  = 12
	maxWalkFaults = 6
)

// walkKinds are the kinds of calls that a walk makes.
var walkKinds = []kind{stream, complete, read, once, keyed}

// walkSteps are the steps at which a walk's faults strike.
var walkSteps = []string{
	"prefill", "prefilled", "import", "export", "imported", "decode", "token", "done", "cancel", "cancelled",
	"received", "ran", "answering", "claim", "claimed", "send", "sent", "store", "stored",
}

// strike is a fault of a walk: an action that is taken when calls have reached a step some number of times.
type strike struct {
	step   string
	count  int
	action fault.Action
	effect string
}

// oracle knows what callers were told of each call that may not be repeated.
type oracle struct {
	mu        sync.Mutex
	confirmed map[string]bool
	keyed     map[string]bool
	notRun    map[string]bool // every attempt of the call was refused as not run
}

// TestWalkKeepsThePromises makes random calls through two instances while random faults strike, and compares
// what callers were told with what ran.
func TestWalkKeepsThePromises(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) { walk(t, r) })
}

func walk(t *testing.T, r *rapid.T) {
	b := newBench(t, 2)
	defer b.close()
	o := &oracle{confirmed: make(map[string]bool), keyed: make(map[string]bool), notRun: make(map[string]bool)}
	b.strikeAt(drawStrikes(r))
	var calls sync.WaitGroup
	for n := range rapid.IntRange(1, maxWalkCalls).Draw(r, "calls") {
		k := rapid.SampledFrom(walkKinds).Draw(r, "kind")
		node := b.nodes[rapid.IntRange(0, len(b.nodes)-1).Draw(r, "node")]
		leaves := rapid.IntRange(0, 5).Draw(r, "leaves") == 0
		id := fmt.Sprintf("call-%d", n)
		if k == keyed {
			id = fmt.Sprintf("key-%d", n%3) // some keys come twice, also at once
		}
		calls.Go(func() { o.note(k, id, b.walkCall(node, k, id, leaves)) })
	}
	calls.Wait()
	b.platform.SetFaults(standplatform.Faults{})
	b.strikeAt(nil)
	for _, n := range b.nodes {
		n.waitIdle(b)
	}
	b.settle()
	o.check(t, b)
	if t.Failed() {
		r.Fatalf("a promise broke")
	}
}

// walkCall makes a call whose caller may go away at once.
func (b *bench) walkCall(n *node, k kind, id string, leaves bool) string {
	ctx, stop := context.WithCancel(b.ctx)
	defer stop()
	if leaves {
		_ = fastWait(ctx, 0)
		go stop()
	}
	return b.call(ctx, n, k, id)
}

func drawStrikes(r *rapid.T) []*strike {
	out := make([]*strike, 0, maxWalkFaults)
	for range rapid.IntRange(0, maxWalkFaults).Draw(r, "faults") {
		out = append(out, &strike{
			step:   rapid.SampledFrom(walkSteps).Draw(r, "step"),
			count:  rapid.IntRange(1, 4).Draw(r, "count"),
			action: rapid.SampledFrom([]fault.Action{fault.Pass, fault.Break, fault.Break, fault.Hang}).Draw(r, "action"),
			effect: rapid.SampledFrom([]string{"", "", "kill server", "kill instance", "outage", "withdraw", "leave"}).Draw(r, "effect"),
		})
	}
	return out
}

// strikeAt sets the hooks of all stand-ins.
func (b *bench) strikeAt(strikes []*strike) {
	var mu sync.Mutex
	take := func(be *backend, step string) fault.Action {
		mu.Lock()
		defer mu.Unlock()
		for _, s := range strikes {
			if s.step != step {
				continue
			}
			if s.count--; s.count == 0 {
				b.effect(be, s.effect)
				return s.action
			}
		}
		return fault.Pass
	}
	for _, be := range b.backends {
		decide := func(s fault.Step) fault.Action { return take(be, s.Name) }
		if be.engine != nil {
			be.engine.Hook.Set(decide)
		} else {
			be.service.Hook.Set(decide)
		}
	}
	b.platform.Hook.Set(func(s fault.Step) fault.Action {
		if s.Name == standplatform.StepWrite {
			return take(nil, "claim")
		}
		return take(nil, "claimed")
	})
}

// effect does what a strike does besides its action. One server of each pool and one instance stay.
func (b *bench) effect(be *backend, name string) {
	switch name {
	case "kill server":
		if be != nil && be.name[1] != '0' {
			be.kill()
		}
	case "kill instance":
		b.running.Go(b.nodes[0].kill)
	case "outage":
		b.platform.SetFaults(standplatform.Faults{Outage: true})
	case "withdraw":
		b.withdrawKey()
	case "leave":
		if be != nil && be.name[1] != '0' {
			b.leave(be)
		}
	}
}

// note keeps what a caller was told.
func (o *oracle) note(k kind, id, saw string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if saw == sawWrong {
		o.confirmed["wrong answer to "+id] = true
	}
	if k != once && k != keyed {
		return
	}
	if _, known := o.notRun[id]; !known {
		o.notRun[id] = true
	}
	o.notRun[id] = o.notRun[id] && saw == sawNotRun
	o.confirmed[id] = o.confirmed[id] || saw == sawWhole || saw == sawReplay
}

// check compares what callers were told with what ran.
func (o *oracle) check(t *testing.T, b *bench) {
	t.Helper()
	for id, confirmed := range o.confirmed {
		if runs := b.runs(id); confirmed && runs != 1 {
			t.Errorf("unexpected runs of the confirmed call %s, got %d instead of 1", id, runs)
		}
	}
	for id, notRun := range o.notRun {
		runs := b.runs(id)
		if runs > 1 {
			t.Errorf("unexpected runs of %s, got %d instead of at most 1", id, runs)
		}
		if notRun && runs > 0 {
			t.Errorf("untrue refusal of %s: it ran", id)
		}
	}
}
