package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"teaselgate/cell"
	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/rule"
)

const (
	maxModelAttempts = 3
	cancelTimeout    = 2 * time.Second
	prefixBytes      = 512
)

// serveModel answers a completion.
func (h *Handler) serveModel(w http.ResponseWriter, r *http.Request, c *call) {
	ask, err := readCompletion(r)
	if err != nil {
		h.refuse(w, c, err)
		return
	}
	charge, err := h.admit(r.Context(), c, int64(ask.promptTokens()+ask.maxTokens))
	if err != nil {
		h.refuse(w, c, err)
		return
	}
	out := newAnswer(w, c, ask, h.Now())
	err = h.runModel(r.Context(), c, ask, out)
	charge.Settle(int64(ask.promptTokens() + out.tokens))
	h.endModel(r.Context(), c, out, err)
}

// endModel ends the answer: whole, refused, or visibly broken.
func (h *Handler) endModel(ctx context.Context, c *call, out *answer, err error) {
	switch {
	case err == nil:
		out.finish()
		h.Record(event.Event{Code: event.RequestDone, Request: c.id, Account: c.account.Account})
	case ctx.Err() != nil:
		h.Record(event.Event{Code: event.RequestCancelled, Request: c.id, Account: c.account.Account})
	case !out.started:
		h.refuse(out.w, c, err)
	default:
		h.Record(event.Event{Code: event.RequestFailed, Request: c.id, Detail: err.Error()})
		out.breakOff(outcome.AsRefusal(err))
	}
}

// runModel makes attempts until one succeeds or no other can help.
func (h *Handler) runModel(ctx context.Context, c *call, ask completion, out *answer) error {
	model, _ := c.rules.Model(c.route.Model)
	var exclude []string
	for n := 1; ; n++ {
		place, err := h.Place(ctx, placeRequest(h, c, ask, model, exclude))
		if err != nil {
			return placeRefusal(err, n)
		}
		a := &attempt{handler: h, id: fmt.Sprintf("%s-%d", c.id, n), place: place, model: model, ask: ask, out: out}
		err = a.run(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		h.Record(event.Event{Code: event.RequestFailed, Request: c.id, Server: a.failedServer(), Detail: err.Error()})
		if out.tokens > 0 || n == maxModelAttempts {
			return attemptRefusal(err)
		}
		exclude = append(exclude, a.failedServer())
	}
}

func placeRequest(h *Handler, c *call, ask completion, model rule.Model, exclude []string) cell.Request {
	r := cell.Request{
		ID:           c.id,
		Account:      c.account.Account,
		Weight:       c.account.Weight,
		Class:        c.route.Class,
		Model:        model,
		PromptTokens: ask.promptTokens(),
		MaxTokens:    ask.maxTokens,
		Zone:         h.Zone,
		Exclude:      exclude,
	}
	if len(ask.prompt) >= prefixBytes {
		r.Prefix = ask.prompt[:prefixBytes]
	}
	return r
}

func placeRefusal(err error, attempt int) error {
	refusal := outcome.Refuse(http.StatusServiceUnavailable, "no-place", "no backend server can take the request now")
	if attempt > 1 {
		refusal = refusal.WithOutcome(outcome.Unknown)
	}
	if errors.Is(err, cell.ErrShed) {
		refusal.Code = "shed"
	}
	var later *cell.Refusal
	if errors.As(err, &later) {
		refusal = refusal.WithRetry(later.RetryAt)
	}
	return refusal
}

func attemptRefusal(err error) error {
	refusal := outcome.Refuse(http.StatusBadGateway, "engine-failed", "the backend servers failed")
	if errors.Is(err, engine.ErrUnreachable) {
		return refusal
	}
	return refusal.WithOutcome(outcome.Unknown)
}

// attempt is one try at a completion on a pair of backend servers.
type attempt struct {
	handler *Handler
	id      string
	place   *cell.Placement
	model   rule.Model
	ask     completion
	out     *answer
	report  cell.Report
}

func (a *attempt) failedServer() string {
	if a.report.BadDecode {
		return a.place.Decode.Server
	}
	return a.place.Prefill.Server
}

// run computes the prompt, moves its KV cache and streams the generated tokens.
func (a *attempt) run(ctx context.Context) error {
	err := a.steps(ctx)
	if err != nil {
		a.cancel(ctx)
	}
	a.report.Ended = a.handler.Now()
	a.place.Release(a.report)
	return err
}

func (a *attempt) steps(ctx context.Context) error {
	h := a.handler
	priority := priorityOf(a.out.call.route.Class)
	prefilled, err := h.Engines.Prefill(ctx, a.place.Prefill.At, engine.Prefill{
		Attempt: a.id, Owner: h.Incarnation, Model: a.model.Model, Prompt: a.ask.prompt, Priority: priority,
	})
	if err != nil {
		a.report.BadPrefill = true
		return err
	}
	a.report.Prefilled = h.Now()
	a.report.Cached = prefilled.Cached
	err = a.place.RepeatRefused(ctx, a.report.Prefilled, func() error {
		_, err := h.Engines.Import(ctx, a.place.Decode.At, engine.Import{
			Attempt: a.id, Owner: h.Incarnation, Source: a.place.Prefill.At, Handle: prefilled.Handle,
			Tokens: prefilled.Tokens, MaxTokens: a.ask.maxTokens, Priority: priority,
		})
		return err
	})
	if err != nil {
		a.report.BadDecode = true
		a.report.Refused = errors.Is(err, engine.ErrBusy)
		return err
	}
	a.report.Imported = h.Now()
	a.place.Progress(a.report)
	return a.decode(ctx)
}

func (a *attempt) decode(ctx context.Context) error {
	m := engine.Decode{Attempt: a.id, MaxTokens: a.ask.maxTokens, From: a.out.tokens}
	err := a.handler.Engines.Decode(ctx, a.place.Decode.At, m, func(c engine.Chunk) error {
		if c.Done {
			a.out.reason = c.Reason
			return nil
		}
		a.report.Generated++
		return a.out.token(c.Text)
	})
	a.report.BadDecode = err != nil
	return err
}

// cancel releases what the attempt may hold at both engines, also when the caller is gone.
func (a *attempt) cancel(ctx context.Context) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()
	for _, server := range []rule.Server{a.place.Prefill, a.place.Decode} {
		_, err := a.handler.Engines.Cancel(ctx, server.At, engine.Cancel{Attempt: a.id})
		if err != nil {
			a.handler.Record(event.Event{Code: event.RequestFailed, Request: a.id, Server: server.Server, Detail: err.Error()})
		}
	}
}

func priorityOf(class rule.Class) int {
	switch class {
	case rule.ClassOrder:
		return 0
	case rule.ClassInteractive:
		return 1
	default:
		return 2
	}
}
