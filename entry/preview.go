package entry

import (
	"context"

	"teaselgate/cell"
	"teaselgate/preview"
	"teaselgate/rule"
)

// Previewer returns where requests would go now, without sending them. Its exported fields are set before use.
type Previewer struct {
	Zone  string
	Rules func() *rule.Set
	Place func(context.Context, cell.Request) (preview.Decision, error)
	Slot  func(pool string, exclude []string) preview.Decision
}

// Preview returns where a request would go now, or an error if there is no route or account for it.
func (p *Previewer) Preview(ctx context.Context, described preview.Request) (preview.Decision, error) {
	rules := p.Rules()
	if rules == nil {
		return preview.Decision{}, preview.ErrNoRoute
	}
	route, ok := rules.Route(described.Path)
	if !ok {
		return preview.Decision{}, preview.ErrNoRoute
	}
	account := rule.Account{Account: described.Account}
	if described.Account != "" {
		if account, ok = rules.Account(described.Account); !ok {
			return preview.Decision{}, preview.ErrNoAccount
		}
	}
	var out preview.Decision
	var err error
	if route.Model == "" {
		out = p.Slot(route.Pool, nil)
		out.Target = route.Pool
	} else {
		model, _ := rules.Model(route.Model)
		out, err = p.Place(ctx, cell.Request{
			Account: account.Account, Weight: account.Weight, Class: route.Class, Model: model,
			PromptTokens: described.Prompt, MaxTokens: described.Output, Zone: p.Zone,
		})
		out.Target = route.Model
	}
	out.Route, out.Account = route.Path, account.Account
	return out, err
}
