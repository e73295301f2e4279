// Package config stores revisions of the rules in the platform store, applies approved changes to them, and keeps
// the newest revision in force at each instance.
package config

import (
	"fmt"
	"slices"

	"github.com/joomcode/errorx"

	"teaselgate/rule"
)

// Kinds and name of the objects in the platform store that hold the rules.
const (
	HeadKind = "config" // kind of the object that points to the newest head
	HeadName = "head"   // name of that object
	PartKind = "part"   // kind of the objects that hold stored parts
)

// Limits on the steps in a head.
const (
	maxLogSteps   = 16
	maxLogBytes   = 48 << 10
	maxDeltaBytes = 32 << 10 // size of the encoded deltas above which a step omits them
)

// partRetentionRevisions is the number of revisions for which a retired part is kept, since instances may still read
// it.
const partRetentionRevisions = 2

var (
	namespace = errorx.NewNamespace("config")
	refused   = namespace.NewType("refused")
	unknown   = namespace.NewType("unknown")
	invalid   = namespace.NewType("invalid")
	stale     = namespace.NewType("stale")

	// ErrRefused is returned for a change that was not accepted.
	ErrRefused = refused.NewWithNoMessage()
	// ErrUnknown is returned for a change that may or may not have been accepted.
	ErrUnknown = unknown.NewWithNoMessage()
	// ErrInvalid is returned for a revision that must not be put in force.
	ErrInvalid = invalid.NewWithNoMessage()
	// ErrStale is returned for a part that is gone because a newer revision replaced it.
	ErrStale = stale.NewWithNoMessage()
)

// Head describes an accepted revision of the rules.
type Head struct {
	Revision uint64        `json:"revision"`          // number of the revision; each change increments it
	Change   string        `json:"change"`            // unique ID of the change that made the revision
	Parts    []string      `json:"parts"`             // names of the parts with the rules, by bucket
	Log      []Step        `json:"log"`               // newest steps up to the revision, oldest first
	Retired  []RetiredPart `json:"retired,omitempty"` // parts that are no longer used but not removed yet
}

// RetiredPart is a part that is no longer used.
type RetiredPart struct {
	Part     string `json:"part"`     // name of the part
	Revision uint64 `json:"revision"` // last revision that used the part
}

// stepsSince returns the steps after a revision, or false if the log does not cover all of them.
func (h *Head) stepsSince(revision uint64) ([]Step, bool) {
	if revision > h.Revision || !h.logCovers(revision) {
		return nil, false
	}
	return h.Log[len(h.Log)-int(h.Revision-revision):], true
}

// logCovers reports whether the log holds every step after a revision.
func (h *Head) logCovers(revision uint64) bool {
	return h.Revision-revision <= uint64(len(h.Log))
}

// findStep returns the step of a change, or false if the log does not hold it.
func (h *Head) findStep(change string) (Step, bool) {
	i := slices.IndexFunc(h.Log, func(s Step) bool { return s.Change == change })
	if i < 0 {
		return Step{}, false
	}
	return h.Log[i], true
}

// Revision is an immutable revision of the rules.
type Revision struct {
	Number uint64 // 0 before the first change
	Rules  *rule.Set

	head Head
}

// ChangeID returns the unique ID of the change that made the revision.
func (r *Revision) ChangeID() string { return r.head.Change }

// emptyRevision returns revision 0, which has no rules.
func emptyRevision() *Revision {
	set, _ := rule.Build(nil)
	return &Revision{Rules: set}
}

// preparedRevision is a revision that is not stored yet, with the parts to store for it.
type preparedRevision struct {
	revision *Revision
	parts    []encodedPart
}

// advance returns the revision that a step leads to. The names of its new parts contain writer. It does not check the
// step against the change rules.
func (r *Revision) advance(step Step, differences []rule.Difference, writer string) (*preparedRevision, error) {
	set, problems, err := r.Rules.Apply(differences)
	if err != nil {
		return nil, invalid.Wrap(err, "config: revision %d does not follow from %d", step.Revision, r.Number)
	}
	if len(problems) > 0 {
		return nil, invalid.New("config: revision %d has invalid rules: %s", step.Revision, joinProblems(problems))
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

// retiredParts returns the retired parts of the old head and those of its parts that are not in use any more.
func retiredParts(old Head, parts []string) []RetiredPart {
	out := slices.Clone(old.Retired)
	for _, name := range old.Parts {
		if !slices.Contains(parts, name) {
			out = append(out, RetiredPart{name, old.Revision})
		}
	}
	return out
}

// trimLog returns the newest steps within the limits, at least one.
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

// rulesAt returns the rules of an earlier revision by reversing the steps since. It fails if the log does not cover
// them.
func (r *Revision) rulesAt(revision uint64) (*rule.Set, error) {
	steps, ok := r.head.stepsSince(revision)
	if !ok {
		return nil, refused.New("config: revision %d is no longer in the log, or does not exist; run plan again", revision)
	}
	set := r.Rules
	for _, step := range slices.Backward(steps) {
		differences, err := step.differences()
		if err != nil {
			return nil, refused.Wrap(err, "config: unable to restore the rules of revision %d; run plan again", revision)
		}
		for i, d := range differences {
			differences[i] = d.Reverse()
		}
		if set, _, err = set.Apply(differences); err != nil {
			return nil, fmt.Errorf("config: unable to restore the rules of revision %d: %w", revision, err)
		}
	}
	return set, nil
}

// joinProblems returns the texts of the problems, separated by semicolons.
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
