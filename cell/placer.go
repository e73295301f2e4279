package cell

import (
	"context"

	"teaselgate/rule"
)

// Placer places model work by the policy that each model's rule names. Its exported fields are
// set before use.
type Placer struct {
	Baseline *Baseline
	Plain    *Plain
}

// Place finds backend servers for one attempt.
func (p *Placer) Place(ctx context.Context, r Request) (*Placement, error) {
	return p.Baseline.Place(ctx, r)
}

// NewPlacer returns a placer that reads the servers from the rules.
func NewPlacer(rules func() *rule.Set) *Placer {
	return &Placer{Baseline: NewBaseline(rules), Plain: NewPlain(rules)}
}
