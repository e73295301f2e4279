package config

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"teaselgate/rule"
)

// Guard is the change rule that applies to the lines of one kind in a change.
type Guard struct {
	Kind      rule.Kind `json:"kind"`
	Lines     int       `json:"lines"`        // number of lines of the kind in the change
	Guarded   bool      `json:"guarded"`      // whether a change rule applies to the kind
	By        []string  `json:"by,omitempty"` // names of the operators who may change and approve the kind
	Approvals int       `json:"approvals"`    // number of approvals needed
}

// guardsFor lists the guards of a change, by kind. No change rule applies to the change that makes the first revision.
func (r *Revision) guardsFor(differences []rule.Difference) []Guard {
	var out []Guard
	for _, d := range differences {
		kind := d.Line().Kind
		if n := len(out); n > 0 && out[n-1].Kind == kind {
			out[n-1].Lines++
			continue
		}
		change, ok := r.Rules.Change(kind)
		out = append(out, Guard{kind, 1, ok && r.Number > 0, change.By, change.Approvals})
	}
	return out
}

// checkStep verifies that a step follows the revision and that the revision's change rules allow the step. It returns
// all violations of change rules, joined.
func (r *Revision) checkStep(step Step, differences []rule.Difference) error {
	expected, err := newStep(step.Base, step.By, differences)
	if err != nil {
		return err
	}
	if expected.Digest != step.Digest || expected.Change != step.Change || step.Revision != r.Number+1 {
		return invalid.New("config: revision %d does not match the digest, ID or number of its step", step.Revision)
	}
	if step.Base > r.Number || !r.head.logCovers(step.Base) {
		return invalid.New("config: the change is based on revision %d, which is newer than the current one or no longer in the log",
			step.Base)
	}
	if _, ok := r.head.findStep(step.Change); ok {
		return invalid.New("config: change %s was already accepted", step.Change)
	}
	var violations []error
	for _, g := range r.guardsFor(differences) {
		if err := r.checkGuard(g, step); err != nil {
			violations = append(violations, err)
		}
	}
	return errors.Join(violations...)
}

// checkGuard verifies that the step is signed by an operator whom the guard allows, and approved by enough of the other
// operators whom it allows.
func (r *Revision) checkGuard(g Guard, step Step) error {
	if !g.Guarded {
		return nil
	}
	if !slices.Contains(g.By, step.By) {
		return invalid.New("config: operator %q may not change rules of kind %s; allowed are %s", step.By, g.Kind, strings.Join(g.By, ", "))
	}
	if !r.validSignature(step, Approval{step.By, step.Signature}) {
		return invalid.New("config: the signature of operator %q is missing or not valid", step.By)
	}
	approvers := make(map[string]bool)
	for _, a := range step.Approvals {
		if a.By != step.By && slices.Contains(g.By, a.By) && r.validSignature(step, a) {
			approvers[a.By] = true
		}
	}
	if len(approvers) < g.Approvals {
		return invalid.New("config: changing rules of kind %s needs %d approvals by others of %s, got %d valid ones",
			g.Kind, g.Approvals, strings.Join(g.By, ", "), len(approvers))
	}
	return nil
}

// validSignature reports whether an approval's signature of the step matches the operator's public key in the revision.
func (r *Revision) validSignature(step Step, approval Approval) bool {
	operator, ok := r.Rules.Operator(approval.By)
	if !ok {
		return false
	}
	key, err := operator.PublicKey()
	return err == nil && ed25519.Verify(key, step.signedText(), approval.Signature)
}

// SignedApproval is an approval of a change together with the base of the change.
type SignedApproval struct {
	Approval
	Base uint64 // number of the revision that the approved change starts from
}

// String returns the approval in the form that operators exchange: name@base:signature.
func (a SignedApproval) String() string {
	return fmt.Sprintf("%s@%d:%s", a.By, a.Base, base64.StdEncoding.EncodeToString(a.Signature))
}

// ParseApproval parses the form that SignedApproval.String returns.
func ParseApproval(text string) (SignedApproval, error) {
	var a SignedApproval
	name, rest, hasBase := strings.Cut(text, "@")
	base, signature, hasSignature := strings.Cut(rest, ":")
	revision, revisionErr := strconv.ParseUint(base, 10, 64)
	raw, signatureErr := base64.StdEncoding.DecodeString(signature)
	if !hasBase || !hasSignature || name == "" || revisionErr != nil || signatureErr != nil || len(raw) != ed25519.SignatureSize {
		return a, fmt.Errorf("config: %q is not an approval of the form name@base:signature; teaselgate approve prints one", text)
	}
	a.By, a.Base, a.Signature = name, revision, raw
	return a, nil
}
