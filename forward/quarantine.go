package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"teaselgate/account"
	"teaselgate/event"
	"teaselgate/quarantine"
	"teaselgate/rule"
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
func (m *modelRequest) caller() quarantine.Caller {
	if m.account.Name == "" {
		return quarantine.Caller{}
	}
	return quarantine.Caller{Account: m.account.Name, Key: account.Hash(m.Secret)}
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

// checkEngine finds out whether an engine has crashed before it had begun to write the answer: the attempt broke off, and
// the engine's address refuses connections. A response that only breaks off does not show that.
func (m *modelRequest) checkEngine(ctx context.Context, server rule.Server, result attemptResult) {
	if result.notRun || !result.serverFault || m.events >= beganEvents || ctx.Err() != nil {
		return
	}
	if !m.handler.Servers.RefusesConnections(ctx, server.At) {
		return
	}
	m.record(event.EngineEnded, server.Server, fmt.Sprintf("%d events had come, %d prompt tokens, shared parts %s",
		m.events, m.PromptTokens, strings.Join(m.SharedParts, " ")))
	m.trial = false
	m.handler.Quarantine.ReportCrash(quarantine.Crash{
		Request: m.ID, Server: server.Server, Caller: m.caller(), Parts: m.SharedParts,
	})
}
