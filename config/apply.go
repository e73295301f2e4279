package config

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"teaselgate/delay"
	"teaselgate/platform"
	"teaselgate/rule"
)

// Limits of one change.
const (
	applyRetryDelay          = 250 * time.Millisecond // between attempts
	maxApplyAttempts         = 40
	maxPartsRemovedPerChange = 8 // retired parts that one change removes from the store
)

// Outcome is the final outcome of a change.
type Outcome string

// The outcomes of a change. Accepted and Refused are reported only when they are certain, else Unknown.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// ChangeRequest asks for the rules to be changed to a given set.
type ChangeRequest struct {
	Rules      *rule.Set          // rules that the operator wants
	By         string             // name of the operator who asks
	PrivateKey ed25519.PrivateKey // key of that operator; nil if no change rule applies to the changed kinds
	Approvals  []SignedApproval
	Base       *uint64 // revision that Rules were edited from; nil for the newest
}

// Result is the outcome of a change request.
type Result struct {
	Outcome  Outcome `json:"word"`
	Revision uint64  `json:"revision,omitempty"` // revision that the change made, or that already contained it
	Change   string  `json:"change,omitempty"`   // ID of the change
	Lines    int     `json:"lines"`              // number of rules that differ from the base
}

// Writer applies changes to the rules in the platform store. Its exported fields are set before use.
type Writer struct {
	Platform    *platform.Client
	MaxAttempts int // attempts after which a change is given up
}

// NewWriter returns a writer with the default number of attempts.
func NewWriter(p *platform.Client) *Writer {
	return &Writer{Platform: p, MaxAttempts: maxApplyAttempts}
}

// Apply makes the rules in text the newest revision. It signs nothing, so it fails where change rules require a
// signature.
func Apply(ctx context.Context, p *platform.Client, text, by string) (uint64, error) {
	rules, problems := rule.Parse("rules", []byte(text))
	if len(problems) > 0 {
		return 0, refused.New("config: %s", joinProblems(problems))
	}
	result, err := NewWriter(p).Apply(ctx, ChangeRequest{Rules: rules, By: by})
	return result.Revision, err
}

// Apply makes attempts to apply a change until it is accepted or refused, the attempts are used up or the context ends.
// Applying the same change again is safe: a change is accepted at most once.
func (w *Writer) Apply(ctx context.Context, r ChangeRequest) (Result, error) {
	a := &applier{writer: w, request: r, writerID: rand.Text()}
	return a.run(ctx)
}

// run makes attempts until the outcome is certain, the attempts are used up or the context ends.
func (a *applier) run(ctx context.Context) (Result, error) {
	var err error
	for n := range a.writer.MaxAttempts {
		if n > 0 {
			_ = delay.For(ctx, applyRetryDelay)
		}
		var retry bool
		retry, err = a.attempt(ctx)
		if !retry {
			return a.result, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return a.giveUp(err)
}

// applier applies one change, over as many attempts as it takes.
type applier struct {
	writer      *Writer
	request     ChangeRequest
	writerID    string            // suffix of the names of the parts that this applier writes
	plan        *Plan             // difference from the operator's base, the same in all attempts; nil before they start
	unconfirmed *unconfirmedWrite // write that may still take effect; nil if there is none
	result      Result
}

// unconfirmedWrite is a conditional write of the head whose response was lost.
type unconfirmedWrite struct {
	headVersion      platform.Version // version of the head object that the write replaces
	replacedRevision uint64           // number of the revision that the write replaces
}

// attempt makes one attempt; retry reports whether the outcome is still open.
func (a *applier) attempt(ctx context.Context) (retry bool, err error) {
	headObject, current, err := readCurrent(ctx, a.writer.Platform)
	if err != nil {
		return true, err
	}
	if err := a.resolveUnconfirmed(headObject, current); err != nil {
		return false, err
	}
	if err := a.ensurePlan(current); err != nil {
		return a.refuse(err)
	}
	if revision, ok := a.findApplied(current); ok {
		a.result.Outcome, a.result.Revision = Accepted, revision
		return false, nil
	}
	if n := current.Rules.Conflicts(a.plan.Differences); n > 0 {
		return a.refuse(refused.New("config: %d rules changed since the base revision; run plan again", n))
	}
	step := a.signedStep(current)
	if err := current.checkStep(step, a.plan.Differences); err != nil {
		return a.refuse(refused.Wrap(err, "config: the change rules do not allow this change"))
	}
	next, err := current.advance(step, a.plan.Differences, a.writerID)
	if err != nil {
		return a.refuse(refused.Wrap(err, "config: the change can't be applied to the newest revision"))
	}
	return a.write(ctx, headObject, current, next)
}

// resolveUnconfirmed clears the unconfirmed write once the head has another version than the one that the write
// replaces: the log of the newest head then shows whether the write took effect. It fails if the log is too short.
func (a *applier) resolveUnconfirmed(headObject platform.Object, current *Revision) error {
	if a.unconfirmed == nil || headObject.Version == a.unconfirmed.headVersion {
		return nil
	}
	if !current.head.logCovers(a.unconfirmed.replacedRevision) {
		a.result.Outcome = Unknown
		return unknown.New("config: unknown whether the change was accepted: the log no longer reaches back to it; run plan")
	}
	a.unconfirmed = nil
	return nil
}

// ensurePlan computes the plan in the first attempt.
func (a *applier) ensurePlan(current *Revision) error {
	if a.plan != nil {
		return nil
	}
	r := a.request
	base := r.Base
	for _, approval := range r.Approvals {
		if base != nil && *base != approval.Base {
			return refused.New("config: the approval of %s is for base %d, not %d", approval.By, approval.Base, *base)
		}
		base = &approval.Base
	}
	plan, err := current.plan(r.Rules, r.By, base)
	if err != nil {
		return err
	}
	a.plan = plan
	a.result.Change, a.result.Lines = plan.ChangeID(), len(plan.Differences)
	return nil
}

// findApplied returns the revision that contains the change: the one that it made if it was accepted before, or the
// current one if that already has all its lines.
func (a *applier) findApplied(current *Revision) (uint64, bool) {
	if step, ok := current.head.findStep(a.plan.ChangeID()); ok {
		return step.Revision, true
	}
	for _, d := range a.plan.Differences {
		l := d.Line()
		existing := current.Rules.Find(l.Kind, l.Name)
		if existing.Text != d.New.Text || existing.Reason != d.New.Reason {
			return 0, false
		}
	}
	return current.Number, true
}

// signedStep returns the step from the current revision, with the operator's signature and the approvals.
func (a *applier) signedStep(current *Revision) Step {
	step := a.plan.step
	step.Revision = current.Number + 1
	if a.request.PrivateKey != nil {
		step.Signature = ed25519.Sign(a.request.PrivateKey, step.signedText())
	}
	for _, approval := range a.request.Approvals {
		step.Approvals = append(step.Approvals, approval.Approval)
	}
	return step
}

// write stores the new parts and the new head, then replaces the head object if its version is still the one read.
func (a *applier) write(
	ctx context.Context, headObject platform.Object, current *Revision, next *preparedRevision,
) (retry bool, err error) {
	p := a.writer.Platform
	for _, part := range next.parts {
		if err := storePart(ctx, p, part); err != nil {
			return true, err
		}
	}
	newPointer, err := a.storeHead(ctx, headObject, current, next)
	if err != nil {
		return true, err
	}
	_, err = p.Update(ctx, HeadKind, HeadName, headObject.Version, newPointer)
	switch {
	case err == nil:
		a.result.Outcome, a.result.Revision = Accepted, next.revision.Number
		return false, nil
	case errors.Is(err, platform.ErrOutcomeUnknown):
		a.unconfirmed = &unconfirmedWrite{headObject.Version, current.Number}
	case errors.Is(err, platform.ErrConflict) && a.unconfirmed == nil:
		a.discardParts(ctx, next)
	}
	return true, err
}

// storeHead stores the new head as a part and returns the pointer to it. The head lists the old one as retired.
func (a *applier) storeHead(
	ctx context.Context, headObject platform.Object, current *Revision, next *preparedRevision,
) (headPointer, error) {
	p := a.writer.Platform
	oldPointer, err := decodePointer(headObject)
	if err != nil {
		return headPointer{}, err
	}
	head := next.revision.head
	if oldPointer.Head != "" {
		head.Retired = append(head.Retired, RetiredPart{oldPointer.Head, current.Number})
	}
	head.Retired = removeRetiredParts(ctx, p, head.Retired, current.Number)
	encoded, err := encodeHead(head, a.writerID)
	if err != nil {
		return headPointer{}, err
	}
	next.parts = append(next.parts, encoded)
	return headPointer{head.Revision, head.Change, encoded.name}, storePart(ctx, p, encoded)
}

// storePart stores a part. A part of the same name has the same content and comes from the same writer, so that a
// conflict means an earlier attempt stored it.
func storePart(ctx context.Context, p *platform.Client, part encodedPart) error {
	compressed, err := compressPart(part.text)
	if err != nil {
		return err
	}
	_, err = p.Create(ctx, PartKind, part.name, compressed)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// removeRetiredParts removes the parts that the last partRetentionRevisions revisions up to current do not use, at most
// maxPartsRemovedPerChange of them. It returns those still to be removed.
func removeRetiredParts(ctx context.Context, p *platform.Client, retired []RetiredPart, current uint64) []RetiredPart {
	var remaining []RetiredPart
	removed := 0
	for _, r := range retired {
		if r.Revision+partRetentionRevisions > current || removed == maxPartsRemovedPerChange ||
			removePart(ctx, p, r.Part) != nil {
			remaining = append(remaining, r)
			continue
		}
		removed++
	}
	return remaining
}

func removePart(ctx context.Context, p *platform.Client, name string) error {
	object, err := p.Get(ctx, PartKind, name)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return p.Delete(ctx, PartKind, name, object.Version)
}

// discardParts removes the parts of an attempt after another change replaced the head first.
func (a *applier) discardParts(ctx context.Context, next *preparedRevision) {
	for _, part := range next.parts {
		_ = removePart(ctx, a.writer.Platform, part.name)
	}
}

// refuse sets the outcome to Refused. While an earlier write may still take effect it asks for a retry instead.
func (a *applier) refuse(err error) (retry bool, _ error) {
	if a.unconfirmed != nil {
		return true, err
	}
	a.result.Outcome = Refused
	if !errors.Is(err, ErrRefused) {
		err = refused.Wrap(err, "config: the change was refused")
	}
	return false, err
}

// giveUp sets the outcome after the last attempt: Unknown if a write may still take effect, else Refused.
func (a *applier) giveUp(err error) (Result, error) {
	if a.unconfirmed != nil {
		a.result.Outcome = Unknown
		return a.result, unknown.Wrap(err,
			"config: unknown whether the change was accepted; run apply again, which never applies a change twice")
	}
	a.result.Outcome = Refused
	return a.result, refused.Wrap(err, "config: nothing was changed")
}

// String implements fmt.Stringer.
func (r Result) String() string {
	switch {
	case r.Outcome == Accepted && r.Lines == 0:
		return fmt.Sprintf("accepted: revision %d already says this", r.Revision)
	case r.Outcome == Accepted:
		return fmt.Sprintf("accepted as revision %d (%d lines, change %s)", r.Revision, r.Lines, r.Change)
	}
	return string(r.Outcome)
}
