package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/delay"
	"teaselgate/rule"
	"teaselgate/standin/bubble"
)

// Sizes of the random runs.
const (
	simulatedKeys  = 3
	simulatedPools = 3
	actionRange    = 25 // a run has 5 to 29 actions
)

// simulatedKey returns the secret of a client account's key.
func simulatedKey(number int) string { return fmt.Sprintf("secret of key number %d", number) }

// action is one step of a simulation: a change by an operator, or a fault or its end.
type action struct {
	kind            string
	instance        int // index of the instance that the action affects
	peer            int // index of the second instance of a pair
	target          int // index of the pool or key to change
	value           int // slots of a changed pool, or size of a fault
	revisionsBehind int // number of revisions by which the operator's base is behind the newest
	pause           time.Duration
}

// drawActions draws a seed with rapid and all else from it, because rapid's own draws prefer the first elements.
func drawActions(t *rapid.T) []action {
	kinds := []string{
		"edit", "edit", "edit", "key", "key", "key", "bulk edit", "outage", "clear faults", "clear faults", "delay",
		"lose responses", "lose responses", "lose responses", "cut platform", "cut platform", "restore platform",
		"cut pair", "cut pair", "restore pair", "kill", "start", "stall calls", "stall calls",
	}
	pauses := []time.Duration{0, 0, 20, 100, 700, 3000, 9000}
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	actions := make([]action, 5+random.IntN(actionRange))
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

// TestChangesReachEveryInstanceAndNoneGoesBack runs operators and instances under random faults. An oracle that reads
// the platform without faults checks the outcomes of the changes and the revisions in force.
func TestChangesReachEveryInstanceAndNoneGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := drawActions(rt)
		var violations []string
		bubble.Test(t, func(*testing.T) { violations = runSimulation(actions) })
		if len(violations) > 0 {
			rt.Fatalf("%+v: %d violations:\n%s", actions, len(violations), strings.Join(violations[:min(len(violations), 5)], "\n"))
		}
	})
}

// runSimulation performs the actions in fake time and returns the violations.
func runSimulation(actions []action) []string {
	s := newSimulation()
	ctx, cancel := context.WithCancel(context.Background())
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
	cancel()
	background.Wait()
	return s.violations
}

// simulatedRules returns a rules file with all pools and with the keys whose bits are set.
func simulatedRules(slots, keyBits int) string {
	var text strings.Builder
	for i := range simulatedPools {
		text.WriteString(poolLine(fmt.Sprintf("p%d", i), slots))
	}
	text.WriteString(accountLine("a", 1))
	for number := range simulatedKeys {
		if keyBits&(1<<number) != 0 {
			text.WriteString(keyLine(simulatedKey(number), "a"))
		}
	}
	return text.String()
}

// appliedChange is a change request with its outcome.
type appliedChange struct {
	request     ChangeRequest
	result      Result
	differences []rule.Difference
}

// operators applies changes to the rules.
type operators struct {
	simulation *simulation
	running    sync.WaitGroup // changes in progress

	mu          sync.Mutex
	applied     []appliedChange
	changeCount int
}

// perform performs one action; changes of rules continue in the background.
func (o *operators) perform(a action) {
	s := o.simulation
	instance := s.instances[a.instance]
	switch a.kind {
	case "edit", "key", "bulk edit":
		o.applyEdit(a)
	case "outage":
		s.setFaults(func(f *platformFaults) { f.outage = true })
	case "clear faults":
		s.setFaults(func(f *platformFaults) { *f = platformFaults{} })
	case "delay":
		s.setFaults(func(f *platformFaults) { f.delay = time.Duration(a.value) * 200 * time.Millisecond })
	case "lose responses":
		s.setFaults(func(f *platformFaults) { f.responsesToLose = a.value % 3 })
	case "cut platform", "restore platform":
		instance.link.setCut(a.kind == "cut platform")
	case "cut pair", "restore pair":
		s.setPairCut(a.instance, a.peer, a.kind == "cut pair")
	case "stall calls":
		for _, instance := range s.instances {
			instance.link.stallPendingCalls()
		}
	case "kill":
		s.killInstance(instance)
	case "start":
		s.startInstance(instance)
	}
}

// applyEdit edits the rules of an older revision, a.revisionsBehind before the newest, and applies them.
func (o *operators) applyEdit(a action) {
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

// editedRules returns a rules file with one changed pool, one added or removed key, or 700 added or changed pools,
// which are too many for a step with deltas.
func editedRules(from *rule.Set, a action) string {
	var lines []string
	replacements := map[string]string{}
	switch a.kind {
	case "edit":
		replacements[fmt.Sprintf("p%d", a.target)] = poolLine(fmt.Sprintf("p%d", a.target), a.value)
	case "bulk edit":
		for i := range 700 {
			name := fmt.Sprintf("bulk%d", i)
			replacements[name] = poolLine(name, a.value)
		}
	}
	key := keyLineFromText(keyLine(simulatedKey(a.target), "a"))
	keyMissing := a.kind == "key"
	for _, l := range from.Lines() {
		text, replaced := replacements[l.Name]
		switch {
		case replaced:
			lines = append(lines, text)
			delete(replacements, l.Name)
		case a.kind == "key" && l.ID() == key.ID():
			keyMissing = false
		default:
			lines = append(lines, l.String()+"\n")
		}
	}
	for _, text := range replacements {
		lines = append(lines, text)
	}
	if keyMissing {
		lines = append(lines, key.String()+"\n")
	}
	return strings.Join(lines, "")
}

// keyLineFromText parses the text of a key rule of account a.
func keyLineFromText(text string) rule.Line {
	set, _ := rule.Parse("", []byte(text+accountLine("a", 1)))
	return set.Find(rule.KindKey, set.Lines()[len(set.Lines())-1].Name)
}

// apply applies a rules file in the background and records the outcome. A file with problems is skipped.
func (o *operators) apply(text string, base *uint64) {
	rules, problems := rule.Parse("file", []byte(text))
	if len(problems) > 0 {
		return
	}
	o.mu.Lock()
	o.changeCount++
	request := ChangeRequest{Rules: rules, By: fmt.Sprintf("operator%d", o.changeCount%2), Base: base}
	o.mu.Unlock()
	o.running.Go(func() {
		writer := &Writer{o.simulation.client(&link{simulation: o.simulation}), maxApplyAttempts}
		a := &applier{writer: writer, request: request, writerID: fmt.Sprint("w", rand.Uint64())}
		result, err := a.run(context.Background())
		if (err == nil) != (result.Outcome == Accepted) || result.Outcome == "" {
			o.simulation.addViolation("outcome %q with error %v", result.Outcome, err)
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

// checkOutcomes compares the outcome of every change with the changes that the platform accepted.
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
				s.violations = append(s.violations, fmt.Sprintf("change %s was reported as revision %d but is not", a.result.Change, a.result.Revision))
			}
		}
	}
}

// containsChange reports whether a revision contains all lines of a change. The caller must hold s.mu.
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
