package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"teaselgate/delay"
	"teaselgate/rule"
)

// Sizes of the random tests.
const (
	worldKeys  = 3
	worldPools = 3
	worldSteps = 25
)

func worldKey(k int) string { return fmt.Sprintf("secret of key number %d", k) }

// act is one step of a random run.
type act struct {
	kind  string
	node  int
	other int
	line  int
	value int
	lag   int // how many revisions ago the operator read the rules
	pause time.Duration
}

// drawActs draws evenly, where rapid by itself prefers the first of each list.
func drawActs(t *rapid.T) []act {
	kinds := []string{
		"edit", "edit", "edit", "key", "key", "key", "bulk", "outage", "mend", "mend", "delay", "lose", "lose", "lose",
		"cut platform", "cut platform", "join platform", "cut pair", "cut pair", "join pair", "kill", "start", "silence", "silence",
	}
	pauses := []time.Duration{0, 0, 20, 100, 700, 3000, 9000}
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	acts := make([]act, 5+random.IntN(worldSteps))
	for i := range acts {
		acts[i] = act{
			kind:  kinds[random.IntN(len(kinds))],
			node:  random.IntN(worldNodes),
			other: random.IntN(worldNodes),
			line:  random.IntN(worldPools),
			value: 1 + random.IntN(9),
			lag:   random.IntN(3),
			pause: pauses[random.IntN(len(pauses))] * time.Millisecond,
		}
	}
	return acts
}

// TestChangesReachEveryInstanceAndNoneGoesBack runs operators and instances under random faults
// against an oracle that reads the platform past all faults.
func TestChangesReachEveryInstanceAndNoneGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		acts := drawActs(rt)
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = runWorld(acts) })
		if len(faults) > 0 {
			rt.Fatalf("%+v: %d faults:\n%s", acts, len(faults), strings.Join(faults[:min(len(faults), 5)], "\n"))
		}
	})
}

// runWorld plays the acts and returns what did not hold.
func runWorld(acts []act) []string {
	w := newWorld()
	ctx, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { w.watchOver(ctx) })
	for _, n := range w.nodes {
		w.start(n)
	}
	o := &operators{world: w}
	o.apply(worldRules(1, 0), nil)
	for _, a := range acts {
		o.play(a)
		_ = delay.For(ctx, a.pause)
	}
	o.running.Wait()
	w.settle()
	o.check()
	for _, n := range w.nodes {
		w.kill(n)
	}
	stop()
	background.Wait()
	return w.faultsOf
}

// worldRules is a file of pools and keys, where a bit of keys stands for each key given.
func worldRules(slots, keys int) string {
	var text strings.Builder
	for i := range worldPools {
		text.WriteString(poolLine(fmt.Sprintf("p%d", i), slots))
	}
	text.WriteString(accountLine("a", 1))
	for k := range worldKeys {
		if keys&(1<<k) != 0 {
			text.WriteString(keyLine(worldKey(k), "a"))
		}
	}
	return text.String()
}

// answered is a change with the last word on it.
type answered struct {
	request     ChangeRequest
	result      Result
	differences []rule.Difference
}

type operators struct {
	world   *world
	running sync.WaitGroup

	mu      sync.Mutex
	answers []answered
	count   int
}

// play makes one act; changes go on in the background.
func (o *operators) play(a act) {
	w := o.world
	n := w.nodes[a.node]
	switch a.kind {
	case "edit", "key", "bulk":
		o.change(a)
	case "outage":
		w.set(func(f *worldFaults) { f.outage = true })
	case "mend":
		w.set(func(f *worldFaults) { *f = worldFaults{} })
	case "delay":
		w.set(func(f *worldFaults) { f.delay = time.Duration(a.value) * 200 * time.Millisecond })
	case "lose":
		w.set(func(f *worldFaults) { f.lose = a.value % 3 })
	case "cut platform", "join platform":
		n.link.set(a.kind == "cut platform")
	case "cut pair", "join pair":
		w.setPair(a.node, a.other, a.kind == "cut pair")
	case "silence":
		for _, n := range w.nodes {
			n.link.silence()
		}
	case "kill":
		w.kill(n)
	case "start":
		w.start(n)
	}
}

// change edits the file that an operator read some revisions ago, and applies it.
func (o *operators) change(a act) {
	w := o.world
	w.mu.Lock()
	newest := len(w.rules)
	base := max(newest-a.lag, 0)
	from := empty().Rules
	if base > 0 {
		from = w.rules[base-1]
	}
	w.mu.Unlock()
	o.apply(edit(from, a), new(uint64(base)))
}

// edit changes a file as an operator would: one pool, one key, or very many pools.
func edit(from *rule.Set, a act) string {
	var kept []string
	wanted := map[string]string{}
	switch a.kind {
	case "edit":
		wanted[fmt.Sprintf("p%d", a.line)] = poolLine(fmt.Sprintf("p%d", a.line), a.value)
	case "bulk":
		for i := range 700 {
			name := fmt.Sprintf("bulk%d", i)
			wanted[name] = poolLine(name, a.value)
		}
	}
	key := parseLine(keyLine(worldKey(a.line), "a"))
	given := a.kind == "key"
	for _, l := range from.Lines() {
		text, replaced := wanted[l.Name]
		switch {
		case replaced:
			kept = append(kept, text)
			delete(wanted, l.Name)
		case a.kind == "key" && l.ID() == key.ID():
			given = false
		default:
			kept = append(kept, l.String()+"\n")
		}
	}
	for _, text := range wanted {
		kept = append(kept, text)
	}
	if given {
		kept = append(kept, key.String()+"\n")
	}
	return strings.Join(kept, "")
}

func parseLine(text string) rule.Line {
	set, _ := rule.Parse("", []byte(text+accountLine("a", 1)))
	return set.Find(rule.KindKey, set.Lines()[len(set.Lines())-1].Name)
}

func (o *operators) apply(text string, base *uint64) {
	rules, problems := rule.Parse("file", []byte(text))
	if len(problems) > 0 {
		return
	}
	o.mu.Lock()
	o.count++
	request := ChangeRequest{Rules: rules, By: fmt.Sprintf("operator%d", o.count%2), Base: base}
	o.mu.Unlock()
	o.running.Go(func() {
		writer := &Writer{o.world.client(&link{world: o.world}), applyAttempts}
		a := &application{writer: writer, request: request, name: fmt.Sprint("w", rand.Uint64())}
		result, err := a.run(context.Background())
		if (err == nil) != (result.Outcome == Accepted) || result.Outcome == "" {
			o.world.fail("word %q with error %v", result.Outcome, err)
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		answer := answered{request: request, result: result}
		if a.plan != nil {
			answer.differences = a.plan.Differences
		}
		o.answers = append(o.answers, answer)
	})
}

// check holds every last word against what the platform accepted.
func (o *operators) check() {
	w := o.world
	w.mu.Lock()
	defer w.mu.Unlock()
	accepted := make(map[string]int)
	for i, change := range w.accepted {
		if accepted[change] > 0 {
			w.faultsOf = append(w.faultsOf, "change "+change+" was accepted twice")
		}
		accepted[change] = i + 1
	}
	for _, a := range o.answers {
		revision := accepted[a.result.Change]
		switch a.result.Outcome {
		case Refused:
			if a.result.Change != "" && revision > 0 {
				w.faultsOf = append(w.faultsOf, fmt.Sprintf("change %s was refused but is revision %d", a.result.Change, revision))
			}
		case Accepted:
			if revision != int(a.result.Revision) && !w.holds(a.result.Revision, a.differences) {
				w.faultsOf = append(w.faultsOf, fmt.Sprintf("change %s was said to be revision %d but is not", a.result.Change, a.result.Revision))
			}
		}
	}
}

// holds tells whether all lines of a change stand in a revision; the caller holds the lock.
func (w *world) holds(revision uint64, differences []rule.Difference) bool {
	if revision == 0 || int(revision) > len(w.rules) {
		return revision == 0 && len(differences) == 0
	}
	for _, d := range differences {
		held := w.rules[revision-1].Find(d.Line().Kind, d.Line().Name)
		if held.Text != d.New.Text || held.Reason != d.New.Reason {
			return false
		}
	}
	return true
}
