package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"teaselgate/rule"
)

const changeIDBytes = 16

// Step is what made one revision of the one before.
type Step struct {
	Revision  uint64     `json:"revision"`
	Change    string     `json:"change"` // unique id, the same for the same change by the same operator from the same base
	Base      uint64     `json:"base"`   // revision that the operator saw
	By        string     `json:"by"`     // operator who asked
	Signature []byte     `json:"signature,omitempty"`
	Approvals []Approval `json:"approvals,omitempty"`
	Digest    string     `json:"digest"`          // of the deltas
	Lines     int        `json:"lines"`           // number of deltas
	Deltas    []Delta    `json:"deltas,omitzero"` // nil if the step is too large to carry them
}

// Approval is an operator's signature under a change.
type Approval struct {
	By        string `json:"by"`
	Signature []byte `json:"signature"`
}

// Delta is one rule that a step adds, removes or changes.
type Delta struct {
	Old RuleText `json:"old,omitzero"`
	New RuleText `json:"new,omitzero"`
}

// RuleText is a rule as written; it is empty where there is none.
type RuleText struct {
	Text   string `json:"text,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// newStep describes a change of rules; it has no signatures yet.
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

// signedText is what operators sign: the base that they saw and the lines to change.
func (s Step) signedText() []byte {
	return fmt.Appendf(nil, "teaselgate change\nbase %d\ndigest %s", s.Base, s.Digest)
}

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

// differences reads the deltas of a step.
func (s Step) differences() ([]rule.Difference, error) {
	if s.Deltas == nil {
		return nil, invalid.New("config: revision %d does not carry its lines", s.Revision)
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

func (w RuleText) parseLine() (rule.Line, error) {
	if w.Text == "" {
		return rule.Line{}, nil
	}
	return rule.ParseLine(w.Text, w.Reason)
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
