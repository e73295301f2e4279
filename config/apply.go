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
	applyDelay    = 250 * time.Millisecond
	applyAttempts = 40
	maxPrunes     = 8 // replaced parts that one change removes
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
	Rules     *rule.Set
	By        string
	PrivateKey    ed25519.PrivateKey // of the operator who asks; nil for rules that nobody guards
	Approvals []SignedApproval
	Base      *uint64 // revision that the operator saw; nil for the newest
}

// Result tells what became of a change.
type Result struct {
	Outcome     Outcome   `json:"word"`
	Revision uint64 `json:"revision,omitempty"` // that the change made, or that already held it
	Change   string `json:"change,omitempty"`
	Lines    int    `json:"lines"`
}

// Writer makes changes at the platform. Its exported fields are set before use.
type Writer struct {
	Platform *platform.Client
	MaxAttempts int // until a change whose outcome is not clear is given up as unknown
}

// NewWriter returns a writer with the usual number of attempts.
func NewWriter(p *platform.Client) *Writer { return &Writer{Platform: p, MaxAttempts: applyAttempts} }

// Apply makes a rules text the newest revision, as far as no change rules guard it.
func Apply(ctx context.Context, p *platform.Client, text, by string) (uint64, error) {
	rules, problems := rule.Parse("rules", []byte(text))
	if len(problems) > 0 {
		return 0, refused.New("config: %s", describe(problems))
	}
	result, err := NewWriter(p).Apply(ctx, ChangeRequest{Rules: rules, By: by})
	return result.Revision, err
}

// Apply asks for a change until it is accepted or refused, or until its outcome stays unknown.
// Asking again for the same change is safe: it is never made twice.
func (w *Writer) Apply(ctx context.Context, r ChangeRequest) (Result, error) {
	a := &application{writer: w, request: r, name: rand.Text()}
	return a.run(ctx)
}

// run makes attempts until the outcome is clear.
func (a *application) run(ctx context.Context) (Result, error) {
	var err error
	for n := range a.writer.MaxAttempts {
		if n > 0 {
			_ = delay.For(ctx, applyDelay)
		}
		var again bool
		again, err = a.try(ctx)
		if !again {
			return a.result, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return a.giveUp(err)
}

// application is one change on its way.
type application struct {
	writer  *Writer
	request ChangeRequest
	name    string // names the parts that this application writes
	plan    *Plan  // against the base that the operator saw, kept over all attempts
	doubt   *doubt // a write that may still take effect
	result  Result
}

// doubt is a conditional write of the head whose answer was lost.
type doubt struct {
	version  uint64 // of the head that the write replaces
	revision uint64 // of the rules that the write replaces
}

// try makes one attempt; again tells that the outcome is still open.
func (a *application) try(ctx context.Context) (again bool, err error) {
	object, current, err := readCurrent(ctx, a.writer.Platform)
	if err != nil {
		return true, err
	}
	if err := a.resolve(object, current); err != nil {
		return false, err
	}
	if err := a.replan(current); err != nil {
		return a.refuse(err)
	}
	if revision, ok := a.alreadyIn(current); ok {
		a.result.Outcome, a.result.Revision = Accepted, revision
		return false, nil
	}
	if n := current.Rules.Conflicts(a.plan.Differences); n > 0 {
		return a.refuse(refused.New("config: somebody else changed %d lines meanwhile, run plan again", n))
	}
	step := a.sign(current)
	if err := current.checkStep(step, a.plan.Differences); err != nil {
		return a.refuse(refused.Wrap(err, "config: the change rules do not allow this change"))
	}
	next, err := current.advance(step, a.plan.Differences, a.name)
	if err != nil {
		return a.refuse(refused.Wrap(err, "config: the change does not fit the newest revision"))
	}
	return a.write(ctx, object, current, next)
}

// resolve settles a doubtful write once the head has moved past what it would replace.
func (a *application) resolve(object platform.Object, current *Revision) error {
	if a.doubt == nil || object.Version == a.doubt.version {
		return nil
	}
	if !current.head.reaches(a.doubt.revision) {
		a.result.Outcome = Unknown
		return unknown.New("config: too many changes meanwhile to tell whether this one was accepted; run plan")
	}
	a.doubt = nil
	return nil
}

func (a *application) replan(current *Revision) error {
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

// alreadyIn tells whether the change was accepted before, or whether all its lines are in force.
func (a *application) alreadyIn(current *Revision) (uint64, bool) {
	if step, ok := current.head.find(a.plan.ChangeID()); ok {
		return step.Revision, true
	}
	for _, d := range a.plan.Differences {
		l := d.Line()
		held := current.Rules.Find(l.Kind, l.Name)
		if held.Text != d.New.Text || held.Reason != d.New.Reason {
			return 0, false
		}
	}
	return current.Number, true
}

func (a *application) sign(current *Revision) Step {
	step := a.plan.step
	step.Revision = current.Number + 1
	if a.request.PrivateKey != nil {
		step.Signature = ed25519.Sign(a.request.PrivateKey, step.statement())
	}
	for _, approval := range a.request.Approvals {
		step.Approvals = append(step.Approvals, approval.Approval)
	}
	return step
}

// write stores the new parts, then replaces the head if it is still the one that was read.
func (a *application) write(ctx context.Context, object platform.Object, current *Revision, next *next) (again bool, err error) {
	p := a.writer.Platform
	for _, part := range next.parts {
		if err := storePart(ctx, p, part); err != nil {
			return true, err
		}
	}
	at, err := a.storeHead(ctx, object, current, next)
	if err != nil {
		return true, err
	}
	_, err = p.Update(ctx, HeadKind, HeadName, object.Version, at)
	switch {
	case err == nil:
		a.result.Outcome, a.result.Revision = Accepted, next.revision.Number
		return false, nil
	case errors.Is(err, platform.ErrOutcomeUnknown):
		a.doubt = &doubt{object.Version, current.Number}
	case errors.Is(err, platform.ErrConflict) && a.doubt == nil:
		a.discard(ctx, next)
	}
	return true, err
}

// storeHead stores the new head, which also lists what it replaces, and returns the pointer to it.
func (a *application) storeHead(ctx context.Context, object platform.Object, current *Revision, next *next) (pointer, error) {
	p := a.writer.Platform
	old, err := decodePointer(object)
	if err != nil {
		return pointer{}, err
	}
	head := next.revision.head
	if old.Head != "" {
		head.Retired = append(head.Retired, RetiredPart{old.Head, current.Number})
	}
	head.Retired = prune(ctx, p, head.Retired, current.Number)
	stored, err := headPart(head, a.name)
	if err != nil {
		return pointer{}, err
	}
	next.parts = append(next.parts, stored)
	return pointer{head.Revision, head.Change, stored.name}, storePart(ctx, p, stored)
}

func storePart(ctx context.Context, p *platform.Client, part part) error {
	stored, err := compress(part.text)
	if err != nil {
		return err
	}
	_, err = p.Create(ctx, PartKind, part.name, stored)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// prune removes parts that were replaced some revisions ago and returns those still to be removed.
func prune(ctx context.Context, p *platform.Client, retired []RetiredPart, current uint64) []RetiredPart {
	var kept []RetiredPart
	removed := 0
	for _, r := range retired {
		if r.Revision+retiredRevisions > current || removed == maxPrunes || remove(ctx, p, r.Part) != nil {
			kept = append(kept, r)
			continue
		}
		removed++
	}
	return kept
}

func remove(ctx context.Context, p *platform.Client, part string) error {
	o, err := p.Get(ctx, PartKind, part)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	return p.Delete(ctx, PartKind, part, o.Version)
}

// discard removes the parts of an attempt that lost against another change.
func (a *application) discard(ctx context.Context, next *next) {
	for _, part := range next.parts {
		_ = remove(ctx, a.writer.Platform, part.name)
	}
}

// refuse ends the change, unless an earlier write may still take effect.
func (a *application) refuse(err error) (again bool, _ error) {
	if a.doubt != nil {
		return true, err
	}
	a.result.Outcome = Refused
	if !errors.Is(err, ErrRefused) {
		err = refused.Wrap(err, "config: the change was refused")
	}
	return false, err
}

// giveUp ends a change that the platform did not settle in time.
func (a *application) giveUp(err error) (Result, error) {
	if a.doubt != nil {
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
