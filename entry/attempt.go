package entry

import (
	"context"
	"errors"

	"teaselgate/cell"
	"teaselgate/engine"
	"teaselgate/rule"
)

// attempt is one try at a completion on a pair of backend servers. Its id is never used again.
type attempt struct {
	handler *Handler
	id      string
	place   *cell.Placement
	model   rule.Model
	ask     completion
	out     *answer
	report  cell.Report
	reached bool // whether a byte may have reached an engine
	prefill callState
	decode  callState
}

// callState tells what one engine may hold of the attempt.
type callState int

const (
	unsent   callState = iota
	inDoubt            // a call was sent and has no answer
	answered           // the engine has answered
	released           // the engine holds nothing more
)

func (a *attempt) failedServer() string {
	if a.report.BadDecode {
		return a.place.Decode.Server
	}
	return a.place.Prefill.Server
}

// run computes the prompt, moves its KV cache and streams the generated tokens.
func (a *attempt) run(ctx context.Context) error {
	a.handler.running.Store(a.id, true)
	defer a.handler.running.Delete(a.id)
	err := a.steps(ctx)
	a.release(a.place.Prefill, a.prefill)
	a.release(a.place.Decode, a.decode)
	a.report.Ended = a.handler.Now()
	a.place.Release(a.report)
	return err
}

// release frees what an engine may hold of the attempt.
func (a *attempt) release(server rule.Server, state callState) {
	if state == inDoubt || state == answered {
		a.handler.CancelAttempt(server.At, a.id, state == inDoubt)
	}
}

func (a *attempt) steps(ctx context.Context) error {
	prefilled, err := a.runPrefill(ctx)
	if err != nil {
		a.report.BadPrefill = ctx.Err() == nil
		return err
	}
	a.report.Prefilled = a.handler.Now()
	a.report.Cached = prefilled.Cached
	err = a.place.RunTransfer(ctx, a.report.Prefilled, func() error { return a.runImport(ctx, prefilled) })
	if err != nil {
		a.report.BadDecode = ctx.Err() == nil
		a.report.Refused = errors.Is(err, engine.ErrBusy)
		return err
	}
	a.report.Imported = a.handler.Now()
	a.place.ReportProgress(a.report)
	err = a.runDecode(ctx)
	a.report.BadDecode = err != nil && ctx.Err() == nil && !errors.Is(err, errCaller) && !errors.Is(err, withdrawnKey)
	return err
}

func (a *attempt) runPrefill(ctx context.Context) (engine.PrefillResponse, error) {
	prefilled, err := a.handler.Engines.Prefill(ctx, a.place.Prefill.At, engine.PrefillRequest{
		Attempt:  a.id,
		Owner:    a.handler.Incarnation,
		Model:    a.model.Model,
		Prompt:   a.ask.prompt,
		Continue: a.out.text.String(),
		Priority: a.priority(),
	})
	a.prefill = a.stateAfter(err)
	return prefilled, err
}

func (a *attempt) runImport(ctx context.Context, prefilled engine.PrefillResponse) error {
	_, err := a.handler.Engines.Import(ctx, a.place.Decode.At, engine.ImportRequest{
		Attempt:   a.id,
		Owner:     a.handler.Incarnation,
		Source:    a.place.Prefill.At,
		Handle:    prefilled.Handle,
		Tokens:    prefilled.Tokens,
		MaxTokens: a.ask.maxTokens - a.out.tokens,
		Priority:  a.priority(),
	})
	a.decode = a.stateAfter(err)
	if err == nil {
		a.prefill = released
	}
	return err
}

func (a *attempt) runDecode(ctx context.Context) error {
	m := engine.DecodeRequest{Attempt: a.id, MaxTokens: a.ask.maxTokens, From: a.out.tokens}
	return a.handler.Engines.Decode(ctx, a.place.Decode.At, m, func(c engine.Chunk) error {
		if c.Done {
			a.decode = released
			a.out.reason = c.Reason
			return nil
		}
		a.report.Generated++
		if err := a.handler.checkKey(a.out.call); err != nil {
			return err
		}
		return a.out.token(c.Text)
	})
}

// stateAfter tells what an engine may hold after a call.
func (a *attempt) stateAfter(err error) callState {
	switch {
	case errors.Is(err, engine.ErrUnreachable):
		return unsent
	case err == nil:
		a.reached = true
		return answered
	default:
		a.reached = true
		return inDoubt
	}
}

// priority returns the attempt's priority at engines. A dispatcher has put its requests in order already, and
// predicts when each will be computed: engines must not change that order.
func (a *attempt) priority() int {
	if a.place.RetryRefused {
		return priorityOf(rule.ClassInteractive)
	}
	return priorityOf(a.out.call.route.Class)
}

func priorityOf(class rule.Class) int {
	switch class {
	case rule.ClassOrder:
		return 0
	case rule.ClassInteractive:
		return 1
	default:
		return 2
	}
}
