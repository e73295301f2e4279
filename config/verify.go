package config

import (
	"context"

	"teaselgate/rule"
)

// loadVerified returns the revision that a head names, with every step from the old one verified. Where
// the old revision is missing or too old for the head's log, the head is taken as the platform has it.
func loadVerified(ctx context.Context, head Head, old *Revision, read partReader) (*Revision, error) {
	if head.Revision == 0 {
		return emptyRevision(), nil
	}
	if old == nil {
		return loadRevision(ctx, head, nil, read)
	}
	steps, ok := head.stepsSince(old.Number)
	if !ok || countStepsWithoutDeltas(steps) > 1 {
		return loadRevision(ctx, head, old, read)
	}
	revision, err := replay(ctx, head, old, steps, read)
	if err != nil {
		return nil, err
	}
	if revision.ChangeID() != head.Change || !samePartContents(revision.head.Parts, head.Parts) {
		return nil, invalid.New("config: revision %d is not what its steps lead to", head.Revision)
	}
	revision.head.Parts = head.Parts
	revision.head.Retired = head.Retired
	return revision, nil
}

// countStepsWithoutDeltas counts the steps that do not carry their lines.
func countStepsWithoutDeltas(steps []Step) int {
	n := 0
	for _, s := range steps {
		if s.Deltas == nil {
			n++
		}
	}
	return n
}

// replay makes the steps from the old revision on.
func replay(ctx context.Context, head Head, current *Revision, steps []Step, read partReader) (*Revision, error) {
	for i, step := range steps {
		differences, err := stepDifferences(ctx, head, current, steps[i:], read)
		if err != nil {
			return nil, err
		}
		if err := current.checkStep(step, differences); err != nil {
			return nil, err
		}
		next, err := current.advance(step, differences, step.Change)
		if err != nil {
			return nil, err
		}
		current = next.revision
	}
	return current, nil
}

// stepDifferences returns the lines of the first step; for one that does not carry them, the newest
// parts are read and the later steps undone.
func stepDifferences(ctx context.Context, head Head, old *Revision, steps []Step, read partReader) ([]rule.Difference, error) {
	if steps[0].Deltas != nil {
		return steps[0].differences()
	}
	newest, err := loadRevision(ctx, head, old, read)
	if err != nil {
		return nil, err
	}
	changed, err := newest.rulesAt(steps[0].Revision)
	if err != nil {
		return nil, invalid.Wrap(err, "config: unable to find what revision %d changed", steps[0].Revision)
	}
	return rule.Diff(old.Rules, changed), nil
}
