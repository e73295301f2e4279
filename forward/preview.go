package forward

import (
	"context"
	"net/http"
	"net/url"

	"teaselgate/cell"
	"teaselgate/platform"
	"teaselgate/preview"
	"teaselgate/slot"
)

// Previewer returns where requests would go now, without sending them. Its exported fields are set before use.
type Previewer struct {
	Handler *Handler
	Place   func(context.Context, cell.Request) (preview.Decision, error)
	Slot    func(ctx context.Context, pool string, ask slot.Ask) (preview.Decision, error)
}

// Preview returns where a request would go now, or an error if there is no route or account for it.
func (p *Previewer) Preview(ctx context.Context, described preview.Request) (preview.Decision, error) {
	q, err := p.newRequest(described)
	if err != nil {
		return preview.Decision{}, err
	}
	var out preview.Decision
	if q.service.Engine != nil && q.HasTokenCounts {
		out, err = p.Place(ctx, (&modelRequest{request: q}).placementRequest())
	} else {
		out, err = p.Slot(ctx, q.service.Name, q.slotAsk(p.Handler.Backoff.Servers(), false))
	}
	out.Route, out.Account, out.Target = q.incoming.Host+q.route.Prefix, q.account.Name, q.service.Name
	return out, err
}

// newRequest returns the state of a request that was never received.
func (p *Previewer) newRequest(described preview.Request) (*request, error) {
	h := p.Handler
	now := h.Now()
	incoming := &http.Request{Method: http.MethodPost, Host: described.Host, URL: &url.URL{Path: described.Path}}
	q := &request{handler: h, incoming: incoming, received: now, picks: 1, view: h.View()}
	q.RequestHeaders = platform.RequestHeaders{
		ID: "preview", PromptTokens: described.Prompt, MaxOutputTokens: described.Output,
		HasTokenCounts: described.Prompt > 0 || described.Output > 0,
	}
	if q.view == nil {
		return nil, preview.ErrNoRoute
	}
	var ok bool
	if q.route, ok = q.view.Route(described.Host, described.Path); !ok {
		return nil, preview.ErrNoRoute
	}
	if described.Account != "" {
		if q.account, ok = q.view.AccountNamed(described.Account); !ok {
			return nil, preview.ErrNoAccount
		}
	}
	if q.zones = h.homeZones(q.route, q.account); q.zones != nil && len(q.zones) == 0 {
		return nil, preview.ErrNoHome
	}
	if q.service, ok = q.view.Service(q.chooseService()); !ok {
		return nil, preview.ErrNoRoute
	}
	left := described.Left
	if left <= 0 {
		left = defaultRequestTimeout
	}
	if q.route.Timeout > 0 {
		left = min(left, q.route.Timeout)
	}
	q.deadline = now.Add(left)
	return q, nil
}
