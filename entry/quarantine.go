package entry

import (
	"context"
	"net/http"

	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/quarantine"
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
	refusal, trial := m.handler.Quarantine.Check(m.caller(), m.parts)
	m.trial = trial
	if refusal == nil {
		return nil
	}
	return outcome.NewRefusal(http.StatusServiceUnavailable, "quarantined", "engines crashed under prompts that begin like this one").
		WithOutcome(m.runOutcome).WithRetryAt(refusal.RetryAt)
}

// caller returns who sent the request; nobody on open routes.
func (m *modelRequest) caller() quarantine.Caller {
	return quarantine.Caller{Account: m.request.account.Account, Key: m.request.keyHash}
}

// checkEngine reports a decode engine that has crashed before it had begun to write the answer.
func (m *modelRequest) checkEngine(ctx context.Context, a *attempt) {
	if !a.report.BadDecode || a.report.Generated >= beganTokens || ctx.Err() != nil ||
		!m.handler.Engines.RefusesConnections(ctx, a.placement.Decode.At) {
		return
	}
	m.trial = false
	m.handler.Record(event.Event{
		Code: event.EngineEnded, Request: m.request.id, Account: m.request.account.Account, Server: a.placement.Decode.Server,
	})
	m.handler.Quarantine.ReportCrash(quarantine.Crash{
		Request: m.request.id, Server: a.placement.Decode.Server, Caller: m.caller(), Parts: m.parts,
	})
}
