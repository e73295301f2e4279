package config

import (
	"context"
	"crypto/ed25519"
	"slices"

	"teaselgate/platform"
	"teaselgate/rule"
)

// Plan is the difference between a rules file and the revision that it was edited from.
type Plan struct {
	Base        uint64            // revision that the file is compared with
	Current     uint64            // newest revision
	Differences []rule.Difference // sorted by kind and name
	Guards      []Guard           // change rules that apply to the differences
	Conflicts   int               // number of differences whose rule changed between Base and Current

	step    Step      // the planned change without revision number and signatures
	current *Revision // revision with the number Current
}

// NewPlan compares rules with the revision whose number is base; a nil base stands for the newest revision.
func NewPlan(ctx context.Context, p *platform.Client, rules *rule.Set, by string, base *uint64) (*Plan, error) {
	_, current, err := readCurrent(ctx, p)
	if err != nil {
		return nil, err
	}
	return current.plan(rules, by, base)
}

// plan compares rules with the revision whose number is base; a nil base stands for r, the newest revision.
func (r *Revision) plan(rules *rule.Set, by string, base *uint64) (*Plan, error) {
	plan := &Plan{Base: r.Number, Current: r.Number, current: r}
	from := r.Rules
	if base != nil {
		var err error
		if from, err = r.rulesAt(*base); err != nil {
			return nil, err
		}
		plan.Base = *base
	}
	plan.Differences = rule.Diff(from, rules)
	plan.Guards = r.guardsFor(plan.Differences)
	plan.Conflicts = r.Rules.Conflicts(plan.Differences)
	var err error
	plan.step, err = newStep(plan.Base, by, plan.Differences)
	return plan, err
}

// ChangeID returns the unique ID of the planned change.
func (p *Plan) ChangeID() string { return p.step.Change }

// Approve signs the planned change.
func (p *Plan) Approve(by string, privateKey ed25519.PrivateKey) SignedApproval {
	return SignedApproval{Approval{by, ed25519.Sign(privateKey, p.step.signedText())}, p.Base}
}

// Capacity returns the capacity of the pools that the planned change alters, or nil if it evacuates no availability zone or
// takes no evacuation back.
func (p *Plan) Capacity() []rule.PoolCapacity {
	if !slices.ContainsFunc(p.Differences, func(d rule.Difference) bool { return d.Line().Kind == rule.KindEvacuate }) {
		return nil
	}
	after, _, err := p.current.Rules.Apply(p.Differences)
	if err != nil {
		return nil
	}
	return rule.CompareCapacity(p.current.Rules, after)
}

// Problems returns the problems of the rules that the planned change leads to, or nil if it conflicts with the newest
// revision.
func (p *Plan) Problems() []rule.Problem {
	_, problems, err := p.current.Rules.Apply(p.Differences)
	if err != nil {
		return nil
	}
	return problems
}
