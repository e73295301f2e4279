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
	simulatedKeys  = 3
	simulatedPools = 3
	maxActions     = 25
)

func simulatedKey(number int) string { return fmt.Sprintf("secret of key number %d", number) }

// action is one step of a random run.
type action struct {
	kind            string
	instance        int
	peer            int
	target          int
	value           int
	revisionsBehind int // how many revisions ago the operator read the rules
	pause           time.Duration
}

// drawActions draws evenly, where rapid by itself prefers the first of each list.
func drawActions(t *rapid.T) []action {
	kinds := []string{
		"edit", "edit", "edit", "key", "key", "key", "bulk", "outage", "mend", "mend", "delay", "lose", "lose", "lose",
		"cut platform", "cut platform", "join platform", "cut pair", "cut pair", "join pair", "kill", "start", "silence", "silence",
	}
	pauses := []time.Duration{0, 0, 20, 100, 700, 3000, 9000}
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	actions := make([]action, 5+random.IntN(maxActions))
	for i := range actions {
		actions[i] = action{
			kind:            kinds[random.IntN(len(kinds))],
			instance:        random.IntN(instanceCount),
			peer:            random.IntN(instanceCount),
			target:          random.IntN(simulatedPools),
			value:           1 + random.IntN(9),
			revisionsBehind: random.IntN(3),
			pause:           pauses[random.IntN(len(pauses))] * time.Millisecond,
		}
	}
	return actions
}

// TestChangesReachEveryInstanceAndNoneGoesBack runs operators and instances under random faults
// against an oracle that reads the platform past all faults.
func TestChangesReachEveryInstanceAndNoneGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := drawActions(rt)
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = runSimulation(actions) })
		if len(faults) > 0 {
			rt.Fatalf("%+v: %d faults:\n%s", actions, len(faults), strings.Join(faults[:min(len(faults), 5)], "\n"))
		}
	})
}

// runSimulation plays the acts and returns what did not hold.
func runSimulation(actions []action) []string {
	s := newSimulation()
	ctx, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { s.checkPeriodically(ctx) })
	for _, instance := range s.instances {
		s.startInstance(instance)
	}
	o := &operators{simulation: s}
	o.apply(simulatedRules(1, 0), nil)
	for _, a := range actions {
		o.perform(a)
		_ = delay.For(ctx, a.pause)
	}
	o.running.Wait()
	s.settle()
	o.checkOutcomes()
	for _, instance := range s.instances {
		s.killInstance(instance)
	}
	stop()
	background.Wait()
	return s.violations
}

// simulatedRules is a file of pools and keys, where a bit of keys stands for each key given.
func simulatedRules(slots, keys int) string {
	var text strings.Builder
	for i := range simulatedPools {
		text.WriteString(poolLine(fmt.Sprintf("p%d", i), slots))
	}
	text.WriteString(accountLine("a", 1))
	for k := range simulatedKeys {
		if keys&(1<<k) != 0 {
			text.WriteString(keyLine(simulatedKey(k), "a"))
		}
	}
	return text.String()
}

// appliedChange is a change with the last word on it.
type appliedChange struct {
	request     ChangeRequest
	result      Result
	differences []rule.Difference
}

type operators struct {
	simulation *simulation
	running    sync.WaitGroup

	mu      sync.Mutex
	applied []appliedChange
	changes int
}

// perform makes one act; changes go on in the background.
func (o *operators) perform(a action) {
	s := o.simulation
	instance := s.instances[a.instance]
	switch a.kind {
	case "edit", "key", "bulk":
		o.change(a)
	case "outage":
		s.setFaults(func(f *platformFaults) { f.outage = true })
	case "mend":
		s.setFaults(func(f *platformFaults) { *f = platformFaults{} })
	case "delay":
		s.setFaults(func(f *platformFaults) { f.delay = time.Duration(a.value) * 200 * time.Millisecond })
	case "lose":
		s.setFaults(func(f *platformFaults) { f.responsesToLose = a.value % 3 })
	case "cut platform", "join platform":
		instance.link.setCut(a.kind == "cut platform")
	case "cut pair", "join pair":
		s.setPairCut(a.instance, a.peer, a.kind == "cut pair")
	case "silence":
		for _, instance := range s.instances {
			instance.link.stallPendingCalls()
		}
	case "kill":
		s.killInstance(instance)
	case "start":
		s.startInstance(instance)
	}
}

// change edits the file that an operator read some revisions ago, and applies it.
func (o *operators) change(a action) {
	s := o.simulation
	s.mu.Lock()
	newest := len(s.rules)
	base := max(newest-a.revisionsBehind, 0)
	from := emptyRevision().Rules
	if base > 0 {
		from = s.rules[base-1]
	}
	s.mu.Unlock()
	o.apply(editedRules(from, a), new(uint64(base)))
}

// editedRules changes a file as an operator would: one pool, one key, or very many pools.
func editedRules(from *rule.Set, a action) string {
	var lines []string
	replacements := map[string]string{}
	switch a.kind {
	case "edit":
		replacements[fmt.Sprintf("p%d", a.target)] = poolLine(fmt.Sprintf("p%d", a.target), a.value)
	case "bulk":
		for i := range 700 {
			name := fmt.Sprintf("bulk%d", i)
			replacements[name] = poolLine(name, a.value)
		}
	}
	key := mustParseKeyLine(keyLine(simulatedKey(a.target), "a"))
	addKey := a.kind == "key"
	for _, l := range from.Lines() {
		text, replaced := replacements[l.Name]
		switch {
		case replaced:
			lines = append(lines, text)
			delete(replacements, l.Name)
		case a.kind == "key" && l.ID() == key.ID():
			addKey = false
		default:
			lines = append(lines, l.String()+"\n")
		}
	}
	for _, text := range replacements {
		lines = append(lines, text)
	}
	if addKey {
		lines = append(lines, key.String()+"\n")
	}
	return strings.Join(lines, "")
}

func mustParseKeyLine(text string) rule.Line {
	set, _ := rule.Parse("", []byte(text+accountLine("a", 1)))
	return set.Find(rule.KindKey, set.Lines()[len(set.Lines())-1].Name)
}

func (o *operators) apply(text string, base *uint64) {
	rules, problems := rule.Parse("file", []byte(text))
	if len(problems) > 0 {
		return
	}
	o.mu.Lock()
	o.changes++
	request := ChangeRequest{Rules: rules, By: fmt.Sprintf("operator%d", o.changes%2), Base: base}
	o.mu.Unlock()
	o.running.Go(func() {
		writer := &Writer{o.simulation.client(&link{simulation: o.simulation}), maxApplyAttempts}
		a := &applier{writer: writer, request: request, writerID: fmt.Sprint("w", rand.Uint64())}
		result, err := a.run(context.Background())
		if (err == nil) != (result.Outcome == Accepted) || result.Outcome == "" {
			o.simulation.addViolation("word %q with error %v", result.Outcome, err)
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		applied := appliedChange{request: request, result: result}
		if a.plan != nil {
			applied.differences = a.plan.Differences
		}
		o.applied = append(o.applied, applied)
	})
}

// checkOutcomes holds every last word against what the platform accepted.
func (o *operators) checkOutcomes() {
	s := o.simulation
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := make(map[string]int)
	for i, change := range s.accepted {
		if accepted[change] > 0 {
			s.violations = append(s.violations, "change "+change+" was accepted twice")
		}
		accepted[change] = i + 1
	}
	for _, a := range o.applied {
		revision := accepted[a.result.Change]
		switch a.result.Outcome {
		case Refused:
			if a.result.Change != "" && revision > 0 {
				s.violations = append(s.violations, fmt.Sprintf("change %s was refused but is revision %d", a.result.Change, revision))
			}
		case Accepted:
			if revision != int(a.result.Revision) && !s.containsChange(a.result.Revision, a.differences) {
				s.violations = append(s.violations, fmt.Sprintf("change %s was said to be revision %d but is not", a.result.Change, a.result.Revision))
			}
		}
	}
}

// containsChange tells whether all lines of a change stand in a revision; the caller holds the lock.
func (s *simulation) containsChange(revision uint64, differences []rule.Difference) bool {
	if revision == 0 || int(revision) > len(s.rules) {
		return revision == 0 && len(differences) == 0
	}
	for _, d := range differences {
		existing := s.rules[revision-1].Find(d.Line().Kind, d.Line().Name)
		if existing.Text != d.New.Text || existing.Reason != d.New.Reason {
			return false
		}
	}
	return true
}
