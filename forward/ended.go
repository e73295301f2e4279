package forward

import (
	"context"
	"fmt"
	"strings"

	"teaselgate/event"
	"teaselgate/rule"
)

// beganEvents is the number of events after which an engine counts as having begun to write an answer. A single event
// may still be on its way when the engine ends.
const beganEvents = 2

// checkEngine records that an engine has ended before it had begun to write the answer: the attempt broke off, and the
// engine's address refuses connections. A response that only breaks off does not show that.
func (m *modelRequest) checkEngine(ctx context.Context, server rule.Server, result attemptResult) {
	if result.notRun || !result.serverFault || m.events >= beganEvents || ctx.Err() != nil {
		return
	}
	if !m.handler.Servers.RefusesConnections(ctx, server.At) {
		return
	}
	m.record(event.EngineEnded, server.Server, fmt.Sprintf("%d events had come, %d prompt tokens, shared parts %s",
		m.events, m.PromptTokens, strings.Join(m.SharedParts, " ")))
}
