package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"teaselgate/engine"
	"teaselgate/outcome"
	"teaselgate/quarantine"
	"teaselgate/rule"
)

// beganTokens is the number of tokens after which an engine counts as having begun to write an answer. A single token may
// still be on its way when the engine crashes.
const beganTokens = 2

// promptParts returns what a prompt may have in common with others: its beginnings of certain lengths and, as the longest
// of them, all of it.
func promptParts(prompt string) []string {
	return append(engine.PrefixHashes(prompt), engine.PromptHash(prompt))
}

// checkQuarantine returns the refusal of a request that servers would crash on, or nil. The parts are those of its prompt.
func (h *Handler) checkQuarantine(q *request, parts []string, runOutcome outcome.Outcome) error {
	if q.trial {
		return nil
	}
	refusal, trial := h.Quarantine.Check(q.caller(), append([]string{q.part}, parts...))
	q.trial = trial
	if refusal == nil {
		return nil
	}
	return outcome.NewRefusal(http.StatusServiceUnavailable, "quarantined", "servers crashed under requests like this one").
		WithOutcome(runOutcome).WithRetryAt(refusal.RetryAt)
}

// sentAttempt is an attempt that was sent to a server and has not been answered completely.
type sentAttempt struct {
	server rule.Server
	at     time.Time
	begun  bool // whether the answer has begun
}

// markSent notes that a request is being sent to a server.
func (q *request) markSent(server rule.Server, at time.Time) {
	q.sent = &sentAttempt{server: server, at: at}
}

// reportNoAnswer finds out whether the server of the newest attempt has ended under it, or does so soon after. The parts are
// those of the prompt that may have crashed it. An attempt was cut if this instance or the caller ended it.
func (h *Handler) reportNoAnswer(ctx context.Context, q *request, cut bool, parts []string) {
	if q.sent == nil {
		return
	}
	crash := quarantine.Crash{
		Request: q.id, Server: q.sent.server.Server, Caller: q.caller(), Parts: append([]string{q.part}, parts...), Begun: q.sent.begun,
		Sent: q.sent.at,
	}
	a := quarantine.Attempt{
		Crash: crash, Address: q.sent.server.At, Cut: cut || ctx.Err() != nil,
		Refuses: h.Services.RefusesConnections,
	}
	q.sent, q.trial = nil, false // a trial is not sent to another server
	h.Quarantine.ReportNoAnswer(ctx, a)
}

// reportAnswered reports that a server has answered the request completely.
func (h *Handler) reportAnswered(q *request) {
	if q.sent != nil {
		h.Quarantine.ReportSuccess(q.sent.server.Server, []string{q.part})
		q.sent = nil
	}
}

// caller returns who sent the request; nobody on open routes.
func (q *request) caller() quarantine.Caller {
	return quarantine.Caller{Account: q.account.Account, Key: q.keyHash}
}

// setPart sets the part that stands for the whole request. Of a body that is streamed, it covers the head and the length.
func (q *request) setPart(r *http.Request, head []byte) {
	target := fmt.Sprintf("%s %s%s %d", r.Method, r.Host, r.URL.RequestURI(), r.ContentLength)
	q.part = quarantine.RequestPart(q.account.Account, target, head)
}

// reportEngine is reportNoAnswer for an attempt at engines. Only a decode engine that has not yet begun to write the answer
// may have crashed on parts of the prompt.
func (m *modelRequest) reportEngine(ctx context.Context, a *attempt, err error) {
	if errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrBusy) {
		return
	}
	parts := m.parts
	begun := a.report.Generated >= beganTokens
	if a.report.Prefilled.IsZero() || begun {
		parts = nil
	}
	if m.request.sent != nil {
		m.request.sent.begun = begun
	}
	m.handler.reportNoAnswer(ctx, m.request, errors.Is(err, errCallerWrite) || errors.Is(err, errWithdrawnKey), parts)
}
