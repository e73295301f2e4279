package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"teaselgate/rule"
)

const changeIDBytes = 16 // bytes of the SHA-256 hash that a change ID keeps

// Step is the change between two consecutive revisions.
type Step struct {
	Revision uint64 `json:"revision"` // number of the revision that the step leads to
	// Change is the unique ID of the change. The same change by the same operator from the same base has the same ID.
	Change    string     `json:"change"`
	Base      uint64     `json:"base"`                // number of the revision that the operator edited
	By        string     `json:"by"`                  // name of the operator who asked for the change
	Signature []byte     `json:"signature,omitempty"` // signature of that operator
	Approvals []Approval `json:"approvals,omitempty"`
	Digest    string     `json:"digest"`          // SHA-256 of the encoded deltas
	Lines     int        `json:"lines"`           // number of deltas
	Deltas    []Delta    `json:"deltas,omitzero"` // nil if their encoding is larger than maxDeltaBytes
}

// Approval is an operator's signature of a change.
type Approval struct {
	By        string `json:"by"` // name of the operator
	Signature []byte `json:"signature"`
}

// Delta is one rule that a step adds, removes or changes.
type Delta struct {
	Old RuleText `json:"old,omitzero"` // empty for a rule that is added
	New RuleText `json:"new,omitzero"` // empty for a rule that is removed
}

// RuleText is the text of a rule in the rules file, or empty if there is no rule.
type RuleText struct {
	Text   string `json:"text,omitempty"`   // flow mapping without the comment
	Reason string `json:"reason,omitempty"` // comment
}

// newStep returns the step for a change of rules, without revision number and signatures.
func newStep(base uint64, by string, differences []rule.Difference) (Step, error) {
	deltas := deltasFromDifferences(differences)
	text, err := json.Marshal(deltas)
	if err != nil {
		return Step{}, fmt.Errorf("config: unable to encode a change: %w", err)
	}
	sum := sha256.Sum256(text)
	step := Step{Base: base, By: by, Digest: hex.EncodeToString(sum[:]), Lines: len(deltas)}
	if len(text) <= maxDeltaBytes {
		step.Deltas = deltas
	}
	id := sha256.Sum256([]byte(string(step.signedText()) + "\n" + by))
	step.Change = hex.EncodeToString(id[:changeIDBytes])
	return step, nil
}

// signedText returns the text that operators sign; it identifies the base and the deltas.
func (s Step) signedText() []byte {
	return fmt.Appendf(nil, "teaselgate change\nbase %d\ndigest %s", s.Base, s.Digest)
}

// size returns the approximate size of the step in a head, in bytes.
func (s Step) size() int {
	n := len(s.Digest) + len(s.Change) + len(s.Signature)
	for _, a := range s.Approvals {
		n += len(a.By) + len(a.Signature)
	}
	for _, d := range s.Deltas {
		n += len(d.Old.Text) + len(d.Old.Reason) + len(d.New.Text) + len(d.New.Reason)
	}
	return n
}

// differences parses the deltas of a step, which must be in order of kind and name.
func (s Step) differences() ([]rule.Difference, error) {
	if s.Deltas == nil {
		return nil, invalid.New("config: the step to revision %d has no deltas", s.Revision)
	}
	out := make([]rule.Difference, len(s.Deltas))
	lastID := ""
	for i, d := range s.Deltas {
		var err error
		if out[i].Old, err = d.Old.parseLine(); err != nil {
			return nil, invalid.Wrap(err, "config: revision %d", s.Revision)
		}
		if out[i].New, err = d.New.parseLine(); err != nil {
			return nil, invalid.Wrap(err, "config: revision %d", s.Revision)
		}
		id := out[i].Line().ID()
		if strings.Compare(id, lastID) <= 0 || d.Old.Text != "" && out[i].Old.ID() != id {
			return nil, invalid.New("config: revision %d has deltas out of order", s.Revision)
		}
		lastID = id
	}
	return out, nil
}

// parseLine parses the rule; it returns an empty line if there is none.
func (t RuleText) parseLine() (rule.Line, error) {
	if t.Text == "" {
		return rule.Line{}, nil
	}
	return rule.ParseLine(t.Text, t.Reason)
}

func deltasFromDifferences(differences []rule.Difference) []Delta {
	out := make([]Delta, len(differences))
	for i, d := range differences {
		out[i] = Delta{
			Old: RuleText{d.Old.Text, d.Old.Reason},
			New: RuleText{d.New.Text, d.New.Reason},
		}
	}
	return out
}
