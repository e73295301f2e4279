package config

import (
	"context"

	"teaselgate/rule"
)

// loadVerified loads the revision that a head describes and verifies every step from the old revision to it. Without
// an old revision, or if the log does not hold all steps or more than one of them has no deltas, it trusts the head
// and verifies no steps.
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
		return nil, invalid.New("config: revision %d does not match the result of its steps", head.Revision)
	}
	revision.head.Parts = head.Parts
	revision.head.Retired = head.Retired
	return revision, nil
}

// countStepsWithoutDeltas returns the number of steps that have no deltas.
func countStepsWithoutDeltas(steps []Step) int {
	n := 0
	for _, s := range steps {
		if s.Deltas == nil {
			n++
		}
	}
	return n
}

// replay verifies and applies the steps after the current revision and returns the last revision.
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

// stepDifferences returns the differences that the first step makes. For a step without deltas it loads the head's
// revision, reverses the later steps and compares the result with the old revision.
func stepDifferences(
	ctx context.Context, head Head, old *Revision, steps []Step, read partReader,
) ([]rule.Difference, error) {
	if steps[0].Deltas != nil {
		return steps[0].differences()
	}
	newest, err := loadRevision(ctx, head, old, read)
	if err != nil {
		return nil, err
	}
	changed, err := newest.rulesAt(steps[0].Revision)
	if err != nil {
		return nil, invalid.Wrap(err, "config: unable to determine the changes of revision %d", steps[0].Revision)
	}
	return rule.Diff(old.Rules, changed), nil
}
