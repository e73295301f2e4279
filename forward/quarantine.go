package forward

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"teaselgate/account"
	"teaselgate/quarantine"
)

// beganEvents is the number of events after which an engine counts as having begun to write an answer. A single event
// may still be on its way when the engine crashes.
const beganEvents = 2

// parts returns by what the quarantine knows the request: as a whole, and by the parts of its prompt.
func (q *request) parts() []string { return append([]string{q.part}, q.SharedParts...) }

// setPart sets the part that stands for the whole request.
func (q *request) setPart() {
	target := q.incoming.Method + " " + q.incoming.Host + q.incoming.URL.RequestURI()
	q.part = quarantine.RequestPart(q.account.Name, target, q.body)
}

// checkQuarantine returns why the request may not be sent to servers, or nil.
func (q *request) checkQuarantine() *quarantine.Refusal {
	if q.trial {
		return nil
	}
	var refusal *quarantine.Refusal
	refusal, q.trial = q.handler.Quarantine.Check(q.caller(), q.parts())
	return refusal
}

// caller returns who sent the request; nobody on public routes.
func (q *request) caller() quarantine.Caller {
	if q.account.Name == "" {
		return quarantine.Caller{}
	}
	return quarantine.Caller{Account: q.account.Name, Key: account.Hash(q.Secret)}
}

// refuseQuarantined ends a request that servers would crash on and that has not run.
func (q *request) refuseQuarantined(refusal *quarantine.Refusal) {
	retryAfter := max(refusal.RetryAt.Sub(q.handler.Now()), noServerRetryAfter)
	q.refuse(http.StatusServiceUnavailable, retryAfter, refusal.Reason())
}

// endQuarantined ends a request that was found to crash servers after it had been sent to some.
func (q *request) endQuarantined(ctx context.Context, refusal *quarantine.Refusal) {
	if ctx.Err() != nil || q.runs > 0 {
		q.fail(ctx, refusal.Reason())
		return
	}
	q.refuseQuarantined(refusal)
}

// reportBegun reports, once an attempt, that an engine has begun to write the answer. It may still crash on the request as
// a whole.
func (m *modelRequest) reportBegun() {
	if m.events == beganEvents {
		m.handler.Quarantine.ReportSuccess("", m.SharedParts)
	}
}

// reportEnded reports that an engine has written an answer. Its parts are reported here if it is too short for reportBegun.
func (m *modelRequest) reportEnded() {
	m.reportAnswered()
	if m.events > 0 && m.events < beganEvents {
		m.handler.Quarantine.ReportSuccess("", m.SharedParts)
	}
}

// reportAnswered reports that a server has answered the request completely.
func (q *request) reportAnswered() {
	q.handler.Quarantine.ReportSuccess(q.sent.server, []string{q.part})
	q.sent = nil
}

// sentAttempt is an attempt that was sent to a server and has not been answered completely.
type sentAttempt struct {
	server, address string
	at              time.Time
}

// reportNoAnswer finds out whether the server of the newest attempt has ended under it, or does so soon after. The parts are
// those of the prompt that may have crashed it.
func (q *request) reportNoAnswer(ctx context.Context, result attemptResult, parts []string, detail string) {
	if q.sent == nil || !result.noAnswer {
		return
	}
	crash := quarantine.Crash{
		Request: q.ShortID(), Server: q.sent.server, Caller: q.caller(), Parts: append([]string{q.part}, parts...), Begun: result.begun,
		Sent: q.sent.at,
	}
	a := quarantine.Attempt{
		Crash: crash, Address: q.sent.address, Cut: result.cut || ctx.Err() != nil, Detail: detail,
		Refuses: q.handler.Servers.RefusesConnections,
	}
	q.sent, q.trial = nil, false // a trial is not sent to another server
	q.handler.Quarantine.ReportNoAnswer(ctx, a)
}

// reportEngine is reportNoAnswer for an attempt at a decode engine. Only one that has not yet begun to write the answer may
// have crashed on parts of the prompt.
func (m *modelRequest) reportEngine(ctx context.Context, result attemptResult) {
	parts := m.SharedParts
	if result.begun = m.events >= beganEvents; result.begun {
		parts = nil
	}
	m.reportNoAnswer(ctx, result, parts, fmt.Sprintf("%d events had come, %d prompt tokens", m.events, m.PromptTokens))
}

// brokenOff returns the result of an attempt whose answer did not come, or not completely. The context is that of the
// attempt: if it has ended, this instance or the caller has cut the attempt.
func brokenOff(ctx context.Context, reason string) attemptResult {
	return attemptResult{serverFault: true, noAnswer: true, cut: ctx.Err() != nil, reason: reason}
}
