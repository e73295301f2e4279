package entry

import (
	"errors"
	"time"

	"teaselgate/outcome"
	"teaselgate/shutdown"
)

// errEndsTooLate means that a prompt was computed, and that the longest response would end after the instance has shut down.
var errEndsTooLate = errors.New("entry: the instance shuts down before the longest response would end")

// shutdownPlan returns the plan of the stop of this instance, or nil while it is not stopping.
func (h *Handler) shutdownPlan() *shutdown.Plan {
	if h.Shutdown == nil {
		return nil
	}
	return h.Shutdown()
}

// checkShutdown returns the refusal of a plain request that the stop of the instance may cut. An answer that does not come
// within the timeout of services ends by itself.
func (h *Handler) checkShutdown(runOutcome outcome.Outcome) error {
	now := h.Now()
	if h.shutdownPlan().CanEnd(now, now.Add(h.Services.ResponseTimeout), time.Time{}) {
		return nil
	}
	return refusalAtShutdown(now, runOutcome)
}

// checkShutdown returns the refusal of a model request that may not be placed, as it was read after the instance has ceased to
// accept connections. Whether the others end before the shutdown deadline is known when they are placed.
func (m *modelRequest) checkShutdown() error {
	if m.handler.shutdownPlan().Admits(m.read) == shutdown.ByLength {
		return nil
	}
	return refusalAtShutdown(m.handler.Now(), m.runOutcome)
}

// endsInTime reports whether the longest response ends before the shutdown deadline, if the decode engine starts now.
func (a *attempt) endsInTime() bool {
	now, longest := a.handler.Now(), time.Time{}
	if stream := a.placement.Inputs.Longest; stream > 0 {
		longest = now.Add(stream)
	}
	return a.handler.shutdownPlan().CanEnd(a.read, now.Add(modelTimeout), longest)
}

func refusalAtShutdown(now time.Time, runOutcome outcome.Outcome) error {
	return outcome.ErrShuttingDown.WithOutcome(runOutcome).WithRetryAt(now.Add(shutdown.RetryAfter))
}
