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

// Repeats of a change whose outcome is not clear yet.
const (
	applyRetryDelay          = 250 * time.Millisecond
	maxApplyAttempts         = 40
	maxPartsRemovedPerChange = 8 // replaced parts that one change removes
)

// Outcome is the last word on a change.
type Outcome string

// The last words: each is given only when it is true.
const (
	Accepted Outcome = "accepted"
	Refused  Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// ChangeRequest asks for a change of the rules.
type ChangeRequest struct {
	Rules      *rule.Set
	By         string
	PrivateKey ed25519.PrivateKey // of the operator who asks; nil for rules that nobody guards
	Approvals  []SignedApproval
	Base       *uint64 // revision that the operator saw; nil for the newest
}

// Result tells what became of a change.
type Result struct {
	Outcome  Outcome `json:"word"`
	Revision uint64  `json:"revision,omitempty"` // that the change made, or that already held it
	Change   string  `json:"change,omitempty"`
	Lines    int     `json:"lines"`
}

// Writer makes changes at the platform. Its exported fields are set before use.
type Writer struct {
	Platform    *platform.Client
	MaxAttempts int // until a change whose outcome is not clear is given up as unknown
}

// NewWriter returns a writer with the usual number of attempts.
func NewWriter(p *platform.Client) *Writer {
	return &Writer{Platform: p, MaxAttempts: maxApplyAttempts}
}

// Apply makes a rules text the newest revision, as far as no change rules guard it.
func Apply(ctx context.Context, p *platform.Client, text, by string) (uint64, error) {
	rules, problems := rule.Parse("rules", []byte(text))
	if len(problems) > 0 {
		return 0, refused.New("config: %s", joinProblems(problems))
	}
	result, err := NewWriter(p).Apply(ctx, ChangeRequest{Rules: rules, By: by})
	return result.Revision, err
}

// Apply asks for a change until it is accepted or refused, or until its outcome stays unknown.
// Asking again for the same change is safe: it is never made twice.
func (w *Writer) Apply(ctx context.Context, r ChangeRequest) (Result, error) {
	a := &applier{writer: w, request: r, writerID: rand.Text()}
	return a.run(ctx)
}

// run makes attempts until the outcome is clear.
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

// applier is one change on its way.
type applier struct {
	writer      *Writer
	request     ChangeRequest
	writerID    string            // names the parts that this application writes
	plan        *Plan             // against the base that the operator saw, kept over all attempts
	unconfirmed *unconfirmedWrite // a write that may still take effect
	result      Result
}

// unconfirmedWrite is a conditional write of the head whose answer was lost.
type unconfirmedWrite struct {
	headVersion      uint64 // of the head that the write replaces
	replacedRevision uint64 // of the rules that the write replaces
}

// attempt makes one attempt; again tells that the outcome is still open.
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
		return a.refuse(refused.New("config: somebody else changed %d lines meanwhile, run plan again", n))
	}
	step := a.signedStep(current)
	if err := current.checkStep(step, a.plan.Differences); err != nil {
		return a.refuse(refused.Wrap(err, "config: the change rules do not allow this change"))
	}
	next, err := current.advance(step, a.plan.Differences, a.writerID)
	if err != nil {
		return a.refuse(refused.Wrap(err, "config: the change does not fit the newest revision"))
	}
	return a.write(ctx, headObject, current, next)
}

// resolveUnconfirmed settles a doubtful write once the head has moved past what it would replace.
func (a *applier) resolveUnconfirmed(headObject platform.Object, current *Revision) error {
	if a.unconfirmed == nil || headObject.Version == a.unconfirmed.headVersion {
		return nil
	}
	if !current.head.logCovers(a.unconfirmed.replacedRevision) {
		a.result.Outcome = Unknown
		return unknown.New("config: too many changes meanwhile to tell whether this one was accepted; run plan")
	}
	a.unconfirmed = nil
	return nil
}

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

// findApplied tells whether the change was accepted before, or whether all its lines are in force.
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

// write stores the new parts, then replaces the head if it is still the one that was read.
func (a *applier) write(ctx context.Context, headObject platform.Object, current *Revision, next *preparedRevision) (retry bool, err error) {
	p := a.writer.Platform
	for _, part := range next.parts {
		if err := storePart(ctx, p, part); err != nil {
			return true, err
		}
	}
	target, err := a.storeHead(ctx, headObject, current, next)
	if err != nil {
		return true, err
	}
	_, err = p.Update(ctx, HeadKind, HeadName, headObject.Version, target)
	switch {
	case err == nil:
		a.result.Outcome, a.result.Revision = Accepted, next.revision.Number
		return false, nil
	case errors.Is(err, platform.ErrUnknown):
		a.unconfirmed = &unconfirmedWrite{headObject.Version, current.Number}
	case errors.Is(err, platform.ErrConflict) && a.unconfirmed == nil:
		a.discardParts(ctx, next)
	}
	return true, err
}

// storeHead stores the new head, which also lists what it replaces, and returns the pointer to it.
func (a *applier) storeHead(ctx context.Context, headObject platform.Object, current *Revision, next *preparedRevision) (headPointer, error) {
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

// removeRetiredParts removes parts that were replaced some revisions ago and returns those still to be removed.
func removeRetiredParts(ctx context.Context, p *platform.Client, retired []RetiredPart, current uint64) []RetiredPart {
	var remaining []RetiredPart
	removed := 0
	for _, r := range retired {
		if r.Revision+partRetentionRevisions > current || removed == maxPartsRemovedPerChange || removePart(ctx, p, r.Part) != nil {
			remaining = append(remaining, r)
			continue
		}
		removed++
	}
	return remaining
}

func removePart(ctx context.Context, p *platform.Client, name string) error {
	o, err := p.Get(ctx, PartKind, name)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return p.Delete(ctx, PartKind, name, o.Version)
}

// discardParts removes the parts of an attempt that lost against another change.
func (a *applier) discardParts(ctx context.Context, next *preparedRevision) {
	for _, part := range next.parts {
		_ = removePart(ctx, a.writer.Platform, part.name)
	}
}

// refuse ends the change, unless an earlier write may still take effect.
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

// giveUp ends a change that the platform did not settle in time.
func (a *applier) giveUp(err error) (Result, error) {
	if a.unconfirmed != nil {
		a.result.Outcome = Unknown
		return a.result, unknown.Wrap(err, "config: unknown whether the change was accepted; run apply again, it is never made twice")
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
