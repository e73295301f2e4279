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

// checkQuarantine returns why the request may not be sent to engines, or nil.
func (m *modelRequest) checkQuarantine() *quarantine.Refusal {
	if m.trial {
		return nil
	}
	var refusal *quarantine.Refusal
	refusal, m.trial = m.handler.Quarantine.Check(m.caller(), m.SharedParts)
	return refusal
}

// caller returns who sent the request; nobody on public routes.
func (q *request) caller() quarantine.Caller {
	if q.account.Name == "" {
		return quarantine.Caller{}
	}
	return quarantine.Caller{Account: q.account.Name, Key: account.Hash(q.Secret)}
}

// refuseQuarantined ends a request that engines would crash on. It has not run unless it has crashed one already.
func (m *modelRequest) refuseQuarantined(ctx context.Context, refusal *quarantine.Refusal) {
	if ctx.Err() != nil || m.headerSent || m.runs > 0 {
		m.failOrAbort(ctx, refusal.Reason())
		return
	}
	retryAfter := max(refusal.RetryAt.Sub(m.handler.Now()), noServerRetryAfter)
	m.refuse(http.StatusServiceUnavailable, retryAfter, refusal.Reason())
}

// reportBegun reports, once an attempt, that an engine has begun to write the answer.
func (m *modelRequest) reportBegun() {
	if m.events == beganEvents {
		m.handler.Quarantine.ReportBegun(m.SharedParts)
	}
}

// reportEnded reports that an engine has written an answer that is too short for reportBegun.
func (m *modelRequest) reportEnded() {
	if m.events > 0 && m.events < beganEvents {
		m.handler.Quarantine.ReportBegun(m.SharedParts)
	}
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
	a := quarantine.Attempt{
		Crash:   quarantine.Crash{Request: q.ID, Server: q.sent.server, Caller: q.caller(), Parts: parts},
		Part:    quarantine.RequestPart(q.caller(), q.target(), q.body),
		Address: q.sent.address, Sent: q.sent.at, Cut: result.cut || ctx.Err() != nil, Detail: detail,
		Refuses: q.handler.Servers.RefusesConnections,
	}
	q.sent = nil
	q.handler.Quarantine.ReportNoAnswer(ctx, a)
}

// target returns what the request is for: its method, host, path and query.
func (q *request) target() string {
	return q.incoming.Method + " " + q.incoming.Host + q.incoming.URL.RequestURI()
}

// reportEngine is reportNoAnswer for an attempt at a decode engine. Only one that has not yet begun to write the answer may
// have crashed on parts of the prompt.
func (m *modelRequest) reportEngine(ctx context.Context, result attemptResult) {
	parts := m.SharedParts
	if m.events >= beganEvents {
		parts = nil
	}
	m.reportNoAnswer(ctx, result, parts, fmt.Sprintf("%d events had come, %d prompt tokens", m.events, m.PromptTokens))
	m.trial = m.trial && !result.noAnswer // a trial is not sent to another server
}

// brokenOff returns the result of an attempt whose answer did not come, or not completely. The context is that of the
// attempt: if it has ended, this instance or the caller has cut the attempt.
func brokenOff(ctx context.Context, reason string) attemptResult {
	return attemptResult{serverFault: true, noAnswer: true, cut: ctx.Err() != nil, reason: reason}
}
