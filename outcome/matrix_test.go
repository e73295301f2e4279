package outcome_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselgate/entry"
	standengine "teaselgate/standin/engine"
	"teaselgate/standin/fault"
	standplatform "teaselgate/standin/platform"
)

const platformDelay = 100 * time.Millisecond // of a slow platform's answers

var (
	modelSteps = []string{"prefill", "prefilled", "import", "export", "imported", "decode", "token", "done"}
	plainSteps = []string{"received", "ran", "answering"}
	keyedSteps = []string{"claim", "claimed", "send", "sent", "received", "ran", "answering", "store", "stored"}

	kinds     = []kind{stream, complete, read, once, keyed}
	kindSteps = map[kind][]string{
		stream: modelSteps, complete: modelSteps, read: plainSteps, once: plainSteps, keyed: keyedSteps,
	}
)

// reasons tell why a fault can't meet a step. A cell names one by its number.
var reasons = map[string]string{
	"1":  "no engine takes part in the call",
	"2":  "the platform takes no part in the call",
	"3":  "no backend server takes part in the step: the instance waits for the platform",
	"4":  "an answer on an HTTP/1.1 connection that carries one call at a time can't belong to another call",
	"5":  "only a token can come twice or be left out; other messages are single answers",
	"6":  "the exchange is between two engines; the router sees only that the import fails, which the first rows show",
	"7":  "a prefill's result exists only between its answer and its import",
	"8":  "the call holds no lease or claim; its instance's pause is a slow server to the caller",
	"9":  "the answer is not that of a write: the platform has only read, or has not yet acted",
	"10": "the answer's header has gone; the service can't refuse any more",
}

// pending is the call that a fault meets.
type pending struct {
	kind   kind
	id     string
	gone   context.CancelFunc // the caller goes away
	left   chan struct{}      // closed when the caller has its answer or is gone
	repeat string             // what a repeat saw that was sent while the call's holder was paused
}

type row struct {
	fault string
	fire  func(*bench, *backend, *pending) fault.Action
	cells map[kind]string // what the caller saw at each step; for keyed calls also what a later repeat saw
}

func act(a fault.Action) func(*bench, *backend, *pending) fault.Action {
	return func(*bench, *backend, *pending) fault.Action { return a }
}

// matrix holds every fault at every step of each kind of call.
var matrix = []row{
	{"server process ends", func(_ *bench, be *backend, _ *pending) fault.Action {
		be.kill()
		return fault.Break
	}, map[kind]string{
		stream:   "whole whole whole whole whole whole whole whole",
		complete: "whole whole whole whole whole whole whole whole",
		read:     "whole whole broken",
		once:     "unknown unknown broken",
		keyed:    "3 3 3 3 unknown/unknown unknown/unknown unknown/unknown 3 3",
	}},
	{"connection breaks", act(fault.Break), map[kind]string{
		stream:   "whole whole whole whole whole whole whole whole",
		complete: "whole whole whole whole whole whole whole whole",
		read:     "whole whole broken",
		once:     "unknown unknown broken",
		keyed:    "3 3 3 3 unknown/unknown unknown/unknown unknown/unknown 3 3",
	}},
	{"connection silent for good, or transfer stalls", act(fault.Hang), map[kind]string{
		stream:   "whole whole whole whole whole whole whole whole",
		complete: "whole whole whole whole whole whole whole whole",
		read:     "whole whole broken",
		once:     "unknown unknown broken",
		keyed:    "3 3 3 3 unknown/unknown unknown/unknown unknown/unknown 3 3",
	}},
	{"server refuses", act(fault.Refuse), map[kind]string{
		stream:   "whole whole whole whole whole whole 10 10",
		complete: "whole whole whole whole whole whole 10 10",
		read:     "passed passed 10",
		once:     "passed passed 10",
		keyed:    "3 3 3 3 passed/passed passed/passed 10 3 3",
	}},
	{"answer of another attempt", crossAnswer, map[kind]string{
		stream:   "whole whole whole 6 whole whole whole whole",
		complete: "whole whole whole 6 whole whole whole whole",
		read:     "4 4 4",
		once:     "4 4 4",
		keyed:    "4 4 4 4 4 4 4 4 4",
	}},
	{"token comes twice", act(fault.Duplicate), map[kind]string{
		stream:   "5 5 5 5 5 5 whole 5",
		complete: "5 5 5 5 5 5 whole 5",
		read:     "5 5 5",
		once:     "5 5 5",
		keyed:    "5 5 5 5 5 5 5 5 5",
	}},
	{"token left out", act(fault.Skip), map[kind]string{
		stream:   "5 5 5 5 5 5 whole 5",
		complete: "5 5 5 5 5 5 whole 5",
		read:     "5 5 5",
		once:     "5 5 5",
		keyed:    "5 5 5 5 5 5 5 5 5",
	}},
	{"prefill's result expires", func(_ *bench, be *backend, _ *pending) fault.Action {
		be.engine.SetFaults(standengine.Faults{ExpireEarly: true})
		return fault.Pass
	}, map[kind]string{
		stream:   "whole 7 7 7 7 7 7 7",
		complete: "whole 7 7 7 7 7 7 7",
		read:     "1 1 1",
		once:     "1 1 1",
		keyed:    "1 1 1 1 1 1 1 1 1",
	}},
	{"caller goes away", func(_ *bench, _ *backend, p *pending) fault.Action {
		p.gone()
		<-p.left
		return fault.Pass
	}, map[kind]string{
		stream:   "gone gone gone gone gone gone gone gone",
		complete: "gone gone gone gone gone gone gone gone",
		read:     "gone gone gone",
		once:     "gone gone gone",
		keyed:    "gone/whole|gone/replayed gone/whole|gone/replayed gone/replayed gone/replayed gone/replayed gone/replayed gone/replayed gone/replayed gone/replayed",
	}},
	{"key withdrawn", func(b *bench, _ *backend, _ *pending) fault.Action {
		b.withdrawKey()
		return fault.Pass
	}, map[kind]string{
		stream:   "ran ran ran ran ran ran broken|ran whole|broken|ran",
		complete: "ran ran ran ran ran ran ran whole|ran",
		read:     "whole whole whole",
		once:     "whole whole whole",
		keyed:    "not-run/not-run not-run/not-run whole/not-run whole/not-run whole/not-run whole/not-run whole/not-run whole/not-run whole/not-run",
	}},
	{"platform down", func(b *bench, be *backend, _ *pending) fault.Action {
		b.platform.SetFaults(standplatform.Faults{Outage: true})
		if be == nil {
			return fault.Refuse
		}
		return fault.Pass
	}, map[kind]string{
		stream:   "whole whole whole whole whole whole whole whole",
		complete: "whole whole whole whole whole whole whole whole",
		read:     "whole whole whole",
		once:     "whole whole whole",
		keyed:    "not-run/whole not-run/whole not-run/whole not-run/whole whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed",
	}},
	{"platform slow", func(b *bench, _ *backend, _ *pending) fault.Action {
		b.platform.SetFaults(standplatform.Faults{Delay: platformDelay})
		return fault.Pass
	}, map[kind]string{
		stream:   "whole whole whole whole whole whole whole whole",
		complete: "whole whole whole whole whole whole whole whole",
		read:     "whole whole whole",
		once:     "whole whole whole",
		keyed: "whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed " +
			"whole/replayed whole/replayed",
	}},
	{"platform's answer lost", act(fault.Break), map[kind]string{
		stream:   "2 2 2 2 2 2 2 2",
		complete: "2 2 2 2 2 2 2 2",
		read:     "2 2 2",
		once:     "2 2 2",
		keyed:    "whole/replayed whole/replayed whole/replayed whole/replayed 9 9 9 whole/replayed whole/replayed",
	}},
	{"platform's answer never comes", act(fault.Hang), map[kind]string{
		stream:   "2 2 2 2 2 2 2 2",
		complete: "2 2 2 2 2 2 2 2",
		read:     "2 2 2",
		once:     "2 2 2",
		keyed:    "whole/replayed whole/replayed whole/replayed whole/replayed 9 9 9 whole/replayed whole/replayed",
	}},
	{"instance process ends", func(b *bench, _ *backend, _ *pending) fault.Action {
		b.nodes[0].kill()
		return fault.Pass
	}, map[kind]string{
		stream:   "broken broken broken broken broken broken broken broken",
		complete: "broken broken broken broken broken broken broken broken",
		read:     "broken broken broken",
		once:     "broken broken broken",
		keyed:    "broken/whole broken/whole broken/unknown broken/unknown broken/unknown broken/unknown broken/unknown broken/replayed broken/replayed",
	}},
	{"instance leaves", func(b *bench, _ *backend, _ *pending) fault.Action {
		b.running.Go(func() { _ = b.nodes[0].server.Shutdown(b.ctx) })
		return fault.Pass
	}, map[kind]string{
		stream:   "whole whole whole whole whole whole whole whole",
		complete: "whole whole whole whole whole whole whole whole",
		read:     "whole whole whole",
		once:     "whole whole whole",
		keyed: "whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed " +
			"whole/replayed whole/replayed",
	}},
	{"instance ends its requests at the shutdown deadline", func(b *bench, _ *backend, p *pending) fault.Action {
		b.nodes[0].end(entry.ErrShuttingDown)
		if p.kind == once || p.kind == keyed {
			return fault.Pass
		}
		return fault.Hang
	}, map[kind]string{
		stream:   "unknown unknown unknown unknown unknown unknown broken|unknown broken|unknown",
		complete: "unknown unknown unknown unknown unknown unknown unknown unknown",
		read:     "unknown unknown broken|unknown",
		once:     "whole whole whole",
		keyed: "not-run/whole not-run/whole whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed " +
			"whole/replayed whole/replayed",
	}},
	{"backend server leaves", func(b *bench, be *backend, _ *pending) fault.Action {
		if be != nil {
			b.leave(be)
		}
		return fault.Pass
	}, map[kind]string{
		stream:   "whole whole whole whole whole whole whole whole",
		complete: "whole whole whole whole whole whole whole whole",
		read:     "whole whole whole",
		once:     "whole whole whole",
		keyed:    "3 3 3 3 whole/replayed whole/replayed whole/replayed 3 3",
	}},
	{"claim lapses while its holder is paused", func(b *bench, _ *backend, p *pending) fault.Action {
		p.repeat = b.call(b.ctx, b.nodes[1], p.kind, p.id)
		return fault.Pass
	}, map[kind]string{
		stream:   "8 8 8 8 8 8 8 8",
		complete: "8 8 8 8 8 8 8 8",
		read:     "8 8 8",
		once:     "8 8 8",
		keyed: "replayed/whole unknown/whole unknown/whole whole/unknown whole/unknown whole/unknown whole/unknown " +
			"whole/unknown whole/replayed",
	}},
}

// crossAnswer gives the answer of a step another attempt's id.
func crossAnswer(_ *bench, be *backend, p *pending) fault.Action {
	be.engine.SetFaults(standengine.Faults{CrossNext: 1})
	return fault.Cross
}

func TestFaultMatrix(t *testing.T) {
	for _, r := range matrix {
		for _, k := range kinds {
			cells := strings.Fields(r.cells[k])
			if len(cells) != len(kindSteps[k]) {
				t.Fatalf("unexpected cells of %q for a %s, got %d instead of %d", r.fault, k, len(cells), len(kindSteps[k]))
			}
			for i, step := range kindSteps[k] {
				if reasons[cells[i]] != "" {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/%s", r.fault, k, step), func(t *testing.T) {
					t.Parallel()
					runCell(t, r, k, step, cells[i])
				})
			}
		}
	}
}

// runCell meets one call with one fault at one step and checks every promise.
func runCell(t *testing.T, r row, k kind, step, want string) {
	b := newBench(t, 2)
	defer b.close()
	ctx, gone := context.WithCancel(t.Context())
	defer gone()
	p := &pending{kind: k, id: "call", gone: gone, left: make(chan struct{})}
	var mu sync.Mutex
	b.onStep(step, func(be *backend) fault.Action {
		mu.Lock()
		defer mu.Unlock()
		return r.fire(b, be, p)
	})
	saw := b.call(ctx, b.nodes[0], k, p.id)
	close(p.left)
	mu.Lock() // the fault is carried out
	defer mu.Unlock()
	b.check(k, p.id, saw, 0)
	if k == keyed {
		saw += "/" + b.repeat(p)
	}
	b.settle()
	if !matches(saw, want) {
		t.Errorf("unexpected answer, got %s instead of %s", saw, want)
	}
}

// matches compares what callers saw with a cell, which may name two when either may come first.
func matches(saw, want string) bool {
	return slices.Contains(strings.Split(want, "|"), saw)
}

// repeat sends a keyed call again through the other instance once the platform works again.
func (b *bench) repeat(p *pending) string {
	if p.repeat != "" {
		return p.repeat
	}
	b.platform.SetFaults(standplatform.Faults{})
	b.nodes[0].waitIdle(b)
	before := b.runs(p.id)
	saw := b.call(b.ctx, b.nodes[1], p.kind, p.id)
	b.check(p.kind, p.id, saw, before)
	return saw
}

// waitIdle waits until an instance has ended its calls and stored its claims.
func (n *node) waitIdle(b *bench) {
	if n.dead.Load() {
		return
	}
	ctx, stop := context.WithTimeout(b.ctx, settleLimit)
	defer stop()
	_ = n.server.Shutdown(ctx)
	if left := n.claims.Drain(ctx); left > 0 {
		b.t.Errorf("unexpected unsaved claims, got %d instead of 0", left)
	}
}

// check compares what a caller saw with what ran, of which some may have run before its call.
func (b *bench) check(k kind, id, saw string, before int) {
	b.t.Helper()
	if saw == sawWrong {
		b.t.Errorf("unexpected answer: it is not the call's own")
	}
	if k == stream || k == complete {
		if n := b.prefills.Load(); saw == sawNotRun && n > 0 {
			b.t.Errorf("untrue refusal: %d requests had reached an engine", n)
		}
		return
	}
	runs := b.runs(id)
	confirmed := saw == sawWhole || saw == sawReplay
	switch {
	case runs > 1 && k != read:
		b.t.Errorf("unexpected runs, got %d instead of at most 1", runs)
	case confirmed && runs == 0:
		b.t.Errorf("unexpected runs of a confirmed call, got 0 instead of 1")
	case saw == sawNotRun && runs > before:
		b.t.Errorf("untrue refusal: the call ran %d times", runs)
	}
}
