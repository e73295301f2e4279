// Package config keeps the rules in force at an instance equal to the newest accepted revision.
package config

import (
	"fmt"
	"slices"

	"github.com/joomcode/errorx"

	"teaselgate/rule"
)

// Names of the platform's objects that hold the rules.
const (
	HeadKind = "config"
	HeadName = "head"
	PartKind = "part"
)

// Limits of the steps that a head carries.
const (
	maxLogSteps   = 16
	maxLogBytes   = 48 << 10
	maxDeltaBytes = 32 << 10 // a larger step does not carry its lines
)

// partRetentionRevisions is the number of revisions for which a replaced part is kept.
const partRetentionRevisions = 2

var (
	namespace = errorx.NewNamespace("config")
	refused   = namespace.NewType("refused")
	unknown   = namespace.NewType("unknown")
	invalid   = namespace.NewType("invalid")
	stale     = namespace.NewType("stale")

	// ErrRefused says that a change was not accepted.
	ErrRefused = refused.NewWithNoMessage()
	// ErrUnknown says that a change may or may not have been accepted.
	ErrUnknown = unknown.NewWithNoMessage()
	// ErrInvalid says that a revision must not be put in force.
	ErrInvalid = invalid.NewWithNoMessage()
	// ErrStale says that a part of a revision is gone, since a newer revision replaced it.
	ErrStale = stale.NewWithNoMessage()
)

// Head names the newest accepted revision of the rules.
type Head struct {
	Revision uint64        `json:"revision"` // only rises
	Change   string        `json:"change"`   // unique id of the change that made the revision
	Parts    []string      `json:"parts"`    // names of the parts, by bucket
	Log      []Step        `json:"log"`      // the newest steps, oldest first
	Retired  []RetiredPart `json:"retired,omitempty"`
}

// RetiredPart is a part that a revision replaced.
type RetiredPart struct {
	Part     string `json:"part"`
	Revision uint64 `json:"revision"`
}

// stepsSince returns the steps after a revision, or false if the log does not reach back to it.
func (h *Head) stepsSince(revision uint64) ([]Step, bool) {
	if revision > h.Revision || !h.logCovers(revision) {
		return nil, false
	}
	return h.Log[len(h.Log)-int(h.Revision-revision):], true
}

// logCovers tells whether the log holds every step after a revision.
func (h *Head) logCovers(revision uint64) bool {
	return h.Revision-revision <= uint64(len(h.Log))
}

// findStep returns the step of a change.
func (h *Head) findStep(change string) (Step, bool) {
	i := slices.IndexFunc(h.Log, func(s Step) bool { return s.Change == change })
	if i < 0 {
		return Step{}, false
	}
	return h.Log[i], true
}

// Revision is a set of rules in force. It is not changed once made.
type Revision struct {
	Number uint64
	Rules  *rule.Set

	head Head
}

// ChangeID returns the unique id of the change that made the revision.
func (r *Revision) ChangeID() string { return r.head.Change }

// emptyRevision returns the state before the first revision.
func emptyRevision() *Revision {
	set, _ := rule.Build(nil)
	return &Revision{Rules: set}
}

// preparedRevision is a revision that a step leads to, with the parts that it adds.
type preparedRevision struct {
	revision *Revision
	parts    []encodedPart
}

// advance returns the revision that a step leads to, with new parts named after their writer.
// It does not look at the guards.
func (r *Revision) advance(step Step, differences []rule.Difference, writer string) (*preparedRevision, error) {
	set, problems, err := r.Rules.Apply(differences)
	if err != nil {
		return nil, invalid.Wrap(err, "config: revision %d does not follow from %d", step.Revision, r.Number)
	}
	if len(problems) > 0 {
		return nil, invalid.New("config: revision %d breaks the rules: %s", step.Revision, joinProblems(problems))
	}
	names, parts, err := r.repartition(set, differences, writer)
	if err != nil {
		return nil, err
	}
	head := Head{Revision: step.Revision, Change: step.Change, Parts: names}
	head.Log = trimLog(append(slices.Clone(r.head.Log), step))
	head.Retired = retiredParts(r.head, names)
	return &preparedRevision{&Revision{Number: step.Revision, Rules: set, head: head}, parts}, nil
}

// retiredParts lists the parts that are no longer used.
func retiredParts(old Head, parts []string) []RetiredPart {
	out := slices.Clone(old.Retired)
	for _, name := range old.Parts {
		if !slices.Contains(parts, name) {
			out = append(out, RetiredPart{name, old.Revision})
		}
	}
	return out
}

// trimLog keeps the newest steps within the limits, at least one.
func trimLog(log []Step) []Step {
	size := 0
	for i := len(log) - 1; i >= 0; i-- {
		size += log[i].size()
		if i < len(log)-1 && (size > maxLogBytes || len(log)-i > maxLogSteps) {
			return slices.Clone(log[i+1:])
		}
	}
	return log
}

// rulesAt returns the rules of an earlier revision, as far as the log reaches.
func (r *Revision) rulesAt(revision uint64) (*rule.Set, error) {
	steps, ok := r.head.stepsSince(revision)
	if !ok {
		return nil, refused.New("config: revision %d is too old to start from, or does not exist; run plan again", revision)
	}
	set := r.Rules
	for _, step := range slices.Backward(steps) {
		differences, err := step.differences()
		if err != nil {
			return nil, refused.Wrap(err, "config: unable to go back to revision %d; run plan again", revision)
		}
		for i, d := range differences {
			differences[i] = d.Reverse()
		}
		if set, _, err = set.Apply(differences); err != nil {
			return nil, fmt.Errorf("config: unable to go back to revision %d: %w", revision, err)
		}
	}
	return set, nil
}

func joinProblems(problems []rule.Problem) string {
	text := ""
	for i, p := range problems {
		if i > 0 {
			text += "; "
		}
		text += p.Text
	}
	return text
}
