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
	maxModelAttempts = 3 // before the first token
	maxResumes       = 1 // after it
	modelTimeout     = 15 * time.Minute
)

// ErrShuttingDown is the cause of the end of requests that still run at the shutdown deadline.
var ErrShuttingDown = outcome.NewRefusal(http.StatusServiceUnavailable, "leaving",
	"the instance is shutting down").WithOutcome(outcome.Unknown)

// errCaller says that the caller does not take the answer.
var errCaller = errors.New("entry: unable to write to the caller")

// serveModel answers a completion.
func (h *Handler) serveModel(w http.ResponseWriter, r *http.Request, c *call) {
	ask, err := readCompletion(w, r)
	if err != nil {
		h.refuse(w, c, err)
		return
	}
	charge, err := h.admit(r.Context(), c, int64(ask.promptTokens()+ask.maxTokens))
	if err != nil {
		h.refuse(w, c, err)
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), modelTimeout)
	defer stop()
	out := h.newAnswer(w, c, ask)
	run := &modelRun{handler: h, call: c, ask: ask, out: out, ran: outcome.NotRun}
	err = run.serve(ctx)
	charge.Settle(costOf(err, ask.promptTokens()+out.tokens))
	h.endModel(r.Context(), c, out, err)
}

// endModel ends the answer: whole, refused, or visibly broken.
func (h *Handler) endModel(ctx context.Context, c *call, out *answer, err error) {
	if err == nil {
		err = out.finish()
	}
	leaving := errors.Is(context.Cause(ctx), ErrShuttingDown)
	if leaving && err != nil {
		err = ErrShuttingDown
	}
	switch {
	case err == nil:
		h.Record(event.Event{Code: event.RequestCompleted, Request: c.id, Account: c.account.Account})
	case !leaving && ctx.Err() != nil || errors.Is(err, errCaller):
		h.Record(event.Event{Code: event.RequestCancelled, Request: c.id, Account: c.account.Account})
		panic(http.ErrAbortHandler)
	case !out.started:
		h.refuse(out.w, c, err)
	default:
		h.Record(event.Event{Code: event.AttemptFailed, Request: c.id, Detail: err.Error()})
		out.breakOff(outcome.RefusalFromError(err))
	}
}

// modelRun is one completion on its way through attempts.
type modelRun struct {
	handler *Handler
	call    *call
	ask     completion
	out     *answer
	exclude []string
	ran     outcome.Outcome // not-run until a byte may have reached an engine
	resumes int
}

// serve makes attempts until one succeeds or no other can help.
func (m *modelRun) serve(ctx context.Context) error {
	h := m.handler
	h.RetryBudget.Deposit()
	for n := 1; ; n++ {
		a, err := m.place(ctx, n)
		if err != nil {
			return err
		}
		err = a.run(ctx)
		if err == nil || ctx.Err() != nil || errors.Is(err, errCaller) {
			return err
		}
		if errors.Is(err, withdrawnKey) {
			return withdrawnKey.WithOutcome(outcome.Ran)
		}
		if a.reached {
			m.ran = outcome.Unknown
		}
		m.exclude = append(m.exclude, a.failedServer())
		h.Record(event.Event{Code: event.AttemptFailed, Request: m.call.id, Server: a.failedServer(), Detail: err.Error()})
		if !m.mayRepeat(a, n) {
			return outcome.NewRefusal(http.StatusBadGateway, "engine-failed", "the backend servers failed").WithOutcome(m.ran)
		}
	}
}

// place finds backend servers for an attempt, if the caller's key is still good.
func (m *modelRun) place(ctx context.Context, n int) (*attempt, error) {
	h := m.handler
	if err := h.checkAlive(m.call); err != nil {
		return nil, outcome.RefusalFromError(err).WithOutcome(m.ran)
	}
	model, _ := m.call.rules.Model(m.call.route.Model)
	place, err := h.Place(ctx, m.placeRequest(model))
	if err != nil {
		return nil, placeRefusal(err, m.ran)
	}
	if err := h.checkAlive(m.call); err != nil {
		place.Release(cell.Report{Ended: h.Now()})
		return nil, outcome.RefusalFromError(err).WithOutcome(m.ran)
	}
	return &attempt{handler: h, id: fmt.Sprintf("%s-%d", m.call.id, n), place: place, model: model, ask: m.ask, out: m.out}, nil
}

// mayRepeat tells whether a failed attempt may be followed by another one. A stream that has begun is resumed
// once, on another decode server.
func (m *modelRun) mayRepeat(a *attempt, n int) bool {
	if m.out.tokens == 0 {
		return n < maxModelAttempts && (!a.reached || m.handler.spendRetry(m.call))
	}
	if m.resumes == maxResumes || !m.handler.spendRetry(m.call) {
		return false
	}
	m.resumes++
	m.handler.Record(event.Event{Code: event.StreamResumed, Request: m.call.id, Server: a.failedServer()})
	return true
}

func (m *modelRun) placeRequest(model rule.Model) cell.Request {
	r := cell.Request{
		ID:           m.call.id,
		Account:      m.call.account.Account,
		Weight:       m.call.account.Weight,
		Class:        m.call.route.Class,
		Model:        model,
		PromptTokens: m.ask.promptTokens() + m.out.tokens,
		MaxTokens:    m.ask.maxTokens - m.out.tokens,
		Zone:         m.handler.Zone,
		Exclude:      m.exclude,
	}
	r.Prefixes = engine.PrefixHashes(m.ask.prompt)
	return r
}

func placeRefusal(err error, ran outcome.Outcome) error {
	refusal := outcome.NewRefusal(http.StatusServiceUnavailable, "no-place", "no backend server can take the request now")
	if errors.Is(err, cell.ErrShed) {
		refusal.Code = "shed"
	}
	var later *cell.Refusal
	if errors.As(err, &later) {
		refusal = refusal.WithRetryAt(later.RetryAt)
	}
	return refusal.WithOutcome(ran)
}
