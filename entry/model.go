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
	maxModelAttempts = 3 // attempts before the first token
	maxResumes       = 1 // further attempts after the first token
	modelTimeout     = 15 * time.Minute
)

// errCallerWrite means that the response could not be written to the caller.
var errCallerWrite = errors.New("entry: unable to write to the caller")

// serveModel serves a completion request.
func (h *Handler) serveModel(w http.ResponseWriter, r *http.Request, q *request) {
	completion, err := readCompletion(w, r)
	if err != nil {
		h.refuse(w, q, err)
		return
	}
	read := h.Now()
	charge, err := h.admit(r.Context(), q, int64(completion.promptTokens()+completion.maxTokens))
	if err != nil {
		h.refuse(w, q, err)
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), modelTimeout)
	defer stop()
	writer := h.newCompletionWriter(w, q, completion)
	parts := promptParts(completion.prompt)
	q.setPart(r, []byte(completion.prompt))
	model := &modelRequest{
		handler: h, request: q, completion: completion, parts: parts, writer: writer,
		runOutcome: outcome.NotRun, read: read,
	}
	err = model.serve(ctx)
	err = outcome.ErrorAtShutdown(ctx, err, model.runOutcome)
	charge.Settle(chargedTokens(err, completion.promptTokens()+writer.generatedTokens))
	h.finishModel(r.Context(), model, err)
}

// finishModel ends the response: it completes it, refuses the request, or closes the connection if the response has
// started.
func (h *Handler) finishModel(ctx context.Context, model *modelRequest, err error) {
	q, writer := model.request, model.writer
	if err == nil {
		err = writer.finish()
	}
	switch {
	case err == nil:
		h.Record(event.Event{Code: event.RequestCompleted, Request: q.id, Account: q.account.Account})
	case outcome.EndedByCaller(ctx) || errors.Is(err, errCallerWrite):
		h.Record(event.Event{Code: event.RequestCancelled, Request: q.id, Account: q.account.Account})
		panic(http.ErrAbortHandler)
	case !writer.started:
		h.refuse(writer.response, q, err)
	default:
		h.Record(event.Event{Code: event.AttemptFailed, Request: q.id, Detail: err.Error()})
		writer.abort(outcome.RefusalFromError(err))
	}
}

// modelRequest is the state of a completion request over its attempts.
type modelRequest struct {
	handler    *Handler
	request    *request
	completion completionRequest
	parts      []string // parts of the prompt, by which it is kept from engines that would crash on it
	writer     *completionWriter
	read       time.Time       // when the request was read
	exclude    []string        // servers that failed
	runOutcome outcome.Outcome // NotRun until a byte may have reached an engine
	resumes    int             // number of times that the stream was resumed
}

// serve makes attempts until one succeeds or no further attempt is allowed.
func (m *modelRequest) serve(ctx context.Context) error {
	h := m.handler
	h.RetryBudget.Deposit()
	for n := 1; ; n++ {
		a, err := m.newAttempt(ctx, n)
		if err != nil {
			return err
		}
		err = a.run(ctx)
		if err != nil {
			m.reportEngine(ctx, a, err)
		}
		if a.engineReached {
			m.runOutcome = outcome.Unknown
		}
		if err == nil || ctx.Err() != nil || errors.Is(err, errCallerWrite) {
			return err
		}
		if errors.Is(err, errEndsTooLate) {
			return refusalAtShutdown(h.Now(), m.runOutcome)
		}
		if errors.Is(err, errWithdrawnKey) {
			return errWithdrawnKey.WithOutcome(outcome.Ran)
		}
		m.exclude = append(m.exclude, a.failedServer())
		h.Record(event.Event{
			Code: event.AttemptFailed, Request: m.request.id, Server: a.failedServer(), Detail: err.Error(),
		})
		if !m.canRetry(a, n) {
			return outcome.NewRefusal(http.StatusBadGateway, "engine-failed",
				"the backend servers failed").WithOutcome(m.runOutcome)
		}
	}
}

// newAttempt returns an attempt with a placement. It returns a refusal if the caller's key is no longer valid or there
// is no placement.
func (m *modelRequest) newAttempt(ctx context.Context, n int) (*attempt, error) {
	h := m.handler
	if err := h.recheckAuthorization(m.request); err != nil {
		return nil, outcome.RefusalFromError(err).WithOutcome(m.runOutcome)
	}
	if refusal := h.checkQuarantine(m.request, m.parts, m.runOutcome); refusal != nil {
		return nil, refusal
	}
	if err := m.checkShutdown(); err != nil {
		return nil, err
	}
	model, _ := m.request.rules.Model(m.request.route.Model)
	placement, err := h.Place(ctx, m.placementRequest(model))
	if err != nil {
		return nil, refusalFromPlaceError(err, m.runOutcome)
	}
	if err := h.recheckAuthorization(m.request); err != nil {
		placement.Release(cell.Report{Ended: h.Now()})
		return nil, outcome.RefusalFromError(err).WithOutcome(m.runOutcome)
	}
	return &attempt{
		handler: h, id: fmt.Sprintf("%s-%d", m.request.id, n), placement: placement, model: model,
		completion: m.completion, parts: m.parts, writer: m.writer, read: m.read,
	}, nil
}

// canRetry reports whether another attempt may follow a failed one. After the first token, the completion may be
// resumed once, without the failed server. Retries after a byte may have reached an engine are withdrawn from the retry
// budget, and a resumption is counted.
func (m *modelRequest) canRetry(a *attempt, n int) bool {
	if m.writer.generatedTokens == 0 {
		return n < maxModelAttempts && (!a.engineReached || m.handler.spendRetry(m.request))
	}
	if m.resumes == maxResumes || !m.handler.spendRetry(m.request) {
		return false
	}
	m.resumes++
	m.handler.Record(event.Event{Code: event.StreamResumed, Request: m.request.id, Server: a.failedServer()})
	return true
}

func (m *modelRequest) placementRequest(model rule.Model) cell.Request {
	r := cell.Request{
		ID:           m.request.id,
		Account:      m.request.account.Account,
		Weight:       m.request.account.Weight,
		Class:        m.request.route.Class,
		Model:        model,
		PromptTokens: m.completion.promptTokens() + m.writer.generatedTokens,
		MaxTokens:    m.completion.maxTokens - m.writer.generatedTokens,
		Zone:         m.handler.Zone,
		Exclude:      m.exclude,
	}
	r.Prefixes = engine.PrefixHashes(m.completion.prompt)
	return r
}

// refusalFromPlaceError returns the refusal of a request that got no placement.
func refusalFromPlaceError(err error, runOutcome outcome.Outcome) error {
	refusal := outcome.NewRefusal(http.StatusServiceUnavailable, "no-place", "no backend server can take the request now")
	if errors.Is(err, cell.ErrShed) {
		refusal.Code = "shed"
	}
	var placeRefusal *cell.Refusal
	if errors.As(err, &placeRefusal) {
		refusal = refusal.WithRetryAt(placeRefusal.RetryAt)
	}
	return refusal.WithOutcome(runOutcome)
}
