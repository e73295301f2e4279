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

// Limits of one random walk.
const (
	maxWalkCalls  = 12
	maxWalkFaults = 6
)

// walkKinds are the kinds of requests that a walk makes.
var walkKinds = []requestKind{kindStream, kindCompletion, kindRead, kindOnce, kindOnceKeyed}

// walkSteps are the steps from which the faults of a walk are drawn. A fault at send, sent, store or stored never
// occurs, since injectFaults does not report these steps.
var walkSteps = []string{
	"prefill", "prefilled", "import", "export", "imported", "decode", "token", "done", "cancel", "cancelled",
	"received", "ran", "answering", "claim", "claimed", "send", "sent", "store", "stored",
}

// walkFault is a fault of a walk. It is injected when requests have reached its step count times.
type walkFault struct {
	step       string
	count      int
	action     fault.Action
	sideEffect string // argument of testbed.sideEffect; empty for none
}

// oracle keeps the results of at-most-once requests, by request ID.
type oracle struct {
	mu        sync.Mutex
	confirmed map[string]bool // whether a run was confirmed to a caller
	keyed     map[string]bool
	notRun    map[string]bool // whether every request with the ID was refused as not run
}

// TestWalkResultsMatchRuns makes random requests through two instances while random faults are injected, and compares
// the results with what ran.
func TestWalkResultsMatchRuns(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) { walk(t, r) })
}

// walk makes one random walk.
func walk(t *testing.T, r *rapid.T) {
	b := newTestbed(t, 2)
	defer b.close()
	o := &oracle{confirmed: make(map[string]bool), keyed: make(map[string]bool), notRun: make(map[string]bool)}
	b.injectFaults(drawFaults(r))
	var calls sync.WaitGroup
	for n := range rapid.IntRange(1, maxWalkCalls).Draw(r, "calls") {
		k := rapid.SampledFrom(walkKinds).Draw(r, "kind")
		target := b.instances[rapid.IntRange(0, len(b.instances)-1).Draw(r, "instance")]
		disconnects := rapid.IntRange(0, 5).Draw(r, "disconnects") == 0
		id := fmt.Sprintf("call-%d", n)
		if k == kindOnceKeyed {
			id = fmt.Sprintf("key-%d", n%3) // some keys are used more than once, also concurrently
		}
		calls.Go(func() { o.record(k, id, b.walkCall(target, k, id, disconnects)) })
	}
	calls.Wait()
	b.platform.SetFaults(standplatform.Faults{})
	b.injectFaults(nil)
	for _, inst := range b.instances {
		inst.waitIdle(b)
	}
	b.checkReleased()
	o.check(t, b)
	if t.Failed() {
		r.Fatalf("results and runs do not match")
	}
}

// walkCall makes a request. If disconnects is set, its caller disconnects right away.
func (b *testbed) walkCall(inst *instance, k requestKind, id string, disconnects bool) string {
	ctx, stop := context.WithCancel(b.ctx)
	defer stop()
	if disconnects {
		_ = fastWait(ctx, 0)
		go stop()
	}
	return b.call(ctx, inst, k, id)
}

// drawFaults draws the faults of a walk.
func drawFaults(r *rapid.T) []*walkFault {
	out := make([]*walkFault, 0, maxWalkFaults)
	for range rapid.IntRange(0, maxWalkFaults).Draw(r, "faults") {
		out = append(out, &walkFault{
			step:   rapid.SampledFrom(walkSteps).Draw(r, "step"),
			count:  rapid.IntRange(1, 4).Draw(r, "count"),
			action: rapid.SampledFrom([]fault.Action{fault.Pass, fault.Abort, fault.Abort, fault.Hang}).Draw(r, "action"),
			sideEffect: rapid.SampledFrom([]string{
				"", "", "kill server", "kill instance", "outage", "withdraw", "leave",
			}).Draw(r, "side effect"),
		})
	}
	return out
}

// injectFaults sets the hooks of all stand-ins, so that they inject the faults. At the platform, each write has the
// steps "claim" and "claimed", whichever write of a claim it is.
func (b *testbed) injectFaults(faults []*walkFault) {
	var mu sync.Mutex
	actionAt := func(be *backend, step string) fault.Action {
		mu.Lock()
		defer mu.Unlock()
		for _, f := range faults {
			if f.step != step {
				continue
			}
			if f.count--; f.count == 0 {
				b.sideEffect(be, f.sideEffect)
				return f.action
			}
		}
		return fault.Pass
	}
	for _, be := range b.backends {
		decide := func(s fault.Step) fault.Action { return actionAt(be, s.Name) }
		if be.engine != nil {
			be.engine.Hook.Set(decide)
		} else {
			be.service.Hook.Set(decide)
		}
	}
	b.platform.Hook.Set(func(s fault.Step) fault.Action {
		if s.Name == standplatform.StepWrite {
			return actionAt(nil, "claim")
		}
		return actionAt(nil, "claimed")
	})
}

// sideEffect does what a fault does besides its action. It spares one backend server of each pool and one instance.
func (b *testbed) sideEffect(be *backend, name string) {
	switch name {
	case "kill server":
		if be != nil && be.name[1] != '0' {
			be.kill()
		}
	case "kill instance":
		b.running.Go(b.instances[0].kill)
	case "outage":
		b.platform.SetFaults(standplatform.Faults{Outage: true})
	case "withdraw":
		b.withdrawKey()
	case "leave":
		if be != nil && be.name[1] != '0' {
			b.startLeaving(be)
		}
	}
}

// record records the result of a request.
func (o *oracle) record(k requestKind, id, result string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if result == resultWrong {
		o.confirmed["wrong response to "+id] = true // no request has this ID, so that check reports an error
	}
	if k != kindOnce && k != kindOnceKeyed {
		return
	}
	if _, known := o.notRun[id]; !known {
		o.notRun[id] = true
	}
	o.notRun[id] = o.notRun[id] && result == resultNotRun
	o.confirmed[id] = o.confirmed[id] || result == resultWhole || result == resultReplayed
}

// check compares the results with what ran.
func (o *oracle) check(t *testing.T, b *testbed) {
	t.Helper()
	for id, confirmed := range o.confirmed {
		if runs := b.runs(id); confirmed && runs != 1 {
			t.Errorf("unexpected runs of the confirmed request %s, got %d instead of 1", id, runs)
		}
	}
	for id, notRun := range o.notRun {
		runs := b.runs(id)
		if runs > 1 {
			t.Errorf("unexpected runs of %s, got %d instead of at most 1", id, runs)
		}
		if notRun && runs > 0 {
			t.Errorf("unexpected refusal of %s as not run, it ran", id)
		}
	}
}
