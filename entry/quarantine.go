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

// checkQuarantine returns the refusal of a request that engines would crash on, or nil.
func (m *modelRequest) checkQuarantine() error {
	if m.trial {
		return nil
	}
	refusal, trial := m.handler.Quarantine.Check(m.request.caller(), m.parts)
	m.trial = trial
	if refusal == nil {
		return nil
	}
	return outcome.NewRefusal(http.StatusServiceUnavailable, "quarantined", "engines crashed under prompts that begin like this one").
		WithOutcome(m.runOutcome).WithRetryAt(refusal.RetryAt)
}

// sentAttempt is an attempt that was sent to a server and has not been answered completely.
type sentAttempt struct {
	server rule.Server
	at     time.Time
}

// markSent notes that a request is being sent to a server.
func (q *request) markSent(server rule.Server, at time.Time) { q.sent = &sentAttempt{server, at} }

// reportNoAnswer finds out whether the server of the newest attempt has ended under it, or does so soon after. The parts are
// those of the prompt that may have crashed it. An attempt was cut if this instance or the caller ended it.
func (h *Handler) reportNoAnswer(ctx context.Context, q *request, cut bool, parts []string) {
	if q.sent == nil {
		return
	}
	a := quarantine.Attempt{
		Crash:   quarantine.Crash{Request: q.id, Server: q.sent.server.Server, Caller: q.caller(), Parts: parts},
		Part:    q.part,
		Address: q.sent.server.At, Sent: q.sent.at, Cut: cut || ctx.Err() != nil, Refuses: h.Services.RefusesConnections,
	}
	q.sent = nil
	h.Quarantine.ReportNoAnswer(ctx, a)
}

// caller returns who sent the request; nobody on open routes.
func (q *request) caller() quarantine.Caller {
	return quarantine.Caller{Account: q.account.Account, Key: q.keyHash}
}

// setPart sets the part that stands for the whole request. Of a body that is streamed, it covers the head and the length.
func (q *request) setPart(r *http.Request, head []byte) {
	target := fmt.Sprintf("%s %s%s %d", r.Method, r.Host, r.URL.RequestURI(), r.ContentLength)
	q.part = quarantine.RequestPart(q.caller(), target, head)
}

// reportEngine is reportNoAnswer for an attempt at engines. Only a decode engine that has not yet begun to write the answer
// may have crashed on parts of the prompt.
func (m *modelRequest) reportEngine(ctx context.Context, a *attempt, err error) {
	if errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrBusy) {
		return
	}
	parts := m.parts
	if a.report.Prefilled.IsZero() || a.report.Generated >= beganTokens {
		parts = nil
	}
	m.handler.reportNoAnswer(ctx, m.request, errors.Is(err, errCallerWrite) || errors.Is(err, errWithdrawnKey), parts)
	m.trial = false
}
