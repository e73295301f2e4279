package entry

import (
	"context"
	"errors"
	"time"

	"teaselgate/cell"
	"teaselgate/engine"
	"teaselgate/rule"
)

// attempt is one attempt at a completion on a prefill engine and a decode engine. Its id is not reused.
type attempt struct {
	handler       *Handler
	id            string
	placement     *cell.Placement
	model         rule.Model
	completion    completionRequest
	parts         []string // parts of the prompt
	writer        *completionWriter
	read          time.Time // when the request was read
	report        cell.Report
	engineReached bool // whether a byte may have reached an engine
	prefillState  engineState
	decodeState   engineState
}

// engineState is what one engine may hold for an attempt.
type engineState int

const (
	stateNotSent   engineState = iota
	stateUncertain             // a request was sent and failed, so the engine may hold something
	stateResponded             // the engine has accepted the request
	stateReleased              // the engine holds nothing any more
)

// failedServer returns the server to exclude from the next attempt.
func (a *attempt) failedServer() string {
	if a.report.BadDecode {
		return a.placement.Decode.Server
	}
	return a.placement.Prefill.Server
}

// run executes the attempt, then releases what the engines hold for it, and the placement.
func (a *attempt) run(ctx context.Context) error {
	a.handler.runningAttempts.Store(a.id, true)
	defer a.handler.runningAttempts.Delete(a.id)
	err := a.execute(ctx)
	a.releaseEngine(a.placement.Prefill, a.prefillState)
	a.releaseEngine(a.placement.Decode, a.decodeState)
	a.report.Ended = a.handler.Now()
	a.placement.Release(a.report)
	return err
}

// releaseEngine cancels the attempt at an engine that may hold something for it.
func (a *attempt) releaseEngine(server rule.Server, state engineState) {
	if state == stateUncertain || state == stateResponded {
		a.handler.CancelAttempt(server.At, a.id, state == stateUncertain)
	}
}

// execute runs the prompt on the prefill engine, has the decode engine import its KV cache, and streams the generated
// tokens.
func (a *attempt) execute(ctx context.Context) error {
	prefilled, err := a.runPrefill(ctx)
	if err != nil {
		a.report.BadPrefill = ctx.Err() == nil
		return err
	}
	a.report.Prefilled = a.handler.Now()
	a.report.Cached = prefilled.Cached
	if !a.endsInTime() {
		return errEndsTooLate
	}
	err = a.placement.RunTransfer(ctx, a.report.Prefilled, func() error { return a.runImport(ctx, prefilled) })
	if err != nil {
		a.report.BadDecode = ctx.Err() == nil
		a.report.Refused = errors.Is(err, engine.ErrBusy)
		return err
	}
	a.report.Imported = a.handler.Now()
	a.placement.ReportProgress(a.report)
	err = a.runDecode(ctx)
	a.report.BadDecode = err != nil && ctx.Err() == nil &&
		!errors.Is(err, errCallerWrite) && !errors.Is(err, errWithdrawnKey)
	return err
}

func (a *attempt) runPrefill(ctx context.Context) (engine.PrefillResponse, error) {
	a.writer.request.markSent(a.placement.Prefill, a.handler.Now())
	prefilled, err := a.handler.Engines.Prefill(ctx, a.placement.Prefill.At, engine.PrefillRequest{
		Attempt:  a.id,
		Owner:    a.handler.Owner,
		Model:    a.model.Model,
		Prompt:   a.completion.prompt,
		Continue: a.writer.text.String(),
		Priority: a.priority(),
	})
	a.prefillState = a.stateFromError(err)
	return prefilled, err
}

func (a *attempt) runImport(ctx context.Context, prefilled engine.PrefillResponse) error {
	a.writer.request.markSent(a.placement.Decode, a.handler.Now())
	_, err := a.handler.Engines.Import(ctx, a.placement.Decode.At, engine.ImportRequest{
		Attempt:   a.id,
		Owner:     a.handler.Owner,
		Source:    a.placement.Prefill.At,
		Handle:    prefilled.Handle,
		Tokens:    prefilled.Tokens,
		MaxTokens: a.completion.maxTokens - a.writer.generatedTokens,
		Priority:  a.priority(),
	})
	a.decodeState = a.stateFromError(err)
	if err == nil {
		a.prefillState = stateReleased
	}
	return err
}

func (a *attempt) runDecode(ctx context.Context) error {
	decode := engine.DecodeRequest{Attempt: a.id, MaxTokens: a.completion.maxTokens, From: a.writer.generatedTokens}
	return a.handler.Engines.Decode(ctx, a.placement.Decode.At, decode, func(chunk engine.Chunk) error {
		if chunk.Done {
			a.handler.reportAnswered(a.writer.request)
			if a.report.Generated < beganTokens {
				a.handler.Quarantine.ReportSuccess(a.placement.Decode.Server, a.parts)
			}
			a.decodeState = stateReleased
			a.writer.finishReason = chunk.Reason
			return nil
		}
		a.report.Generated++
		if a.report.Generated == beganTokens {
			a.handler.Quarantine.ReportSuccess(a.placement.Decode.Server, a.parts)
		}
		if err := a.handler.checkKey(a.writer.request); err != nil {
			return err
		}
		return a.writer.writeToken(chunk.Text)
	})
}

// stateFromError returns what an engine may hold after a request that returned err.
func (a *attempt) stateFromError(err error) engineState {
	switch {
	case errors.Is(err, engine.ErrUnreachable):
		return stateNotSent
	case err == nil:
		a.engineReached = true
		return stateResponded
	default:
		a.engineReached = true
		return stateUncertain
	}
}

// priority returns the attempt's priority at engines. A dispatcher has already ordered its requests and predicts when
// each one runs, so engines must not reorder them. Only placements of a dispatcher have RetryRefused set.
func (a *attempt) priority() int {
	if a.placement.RetryRefused {
		return classPriority(rule.ClassInteractive)
	}
	return classPriority(a.writer.request.route.Class)
}

// classPriority returns the engine priority of a request class; 0 is the most urgent.
func classPriority(class rule.Class) int {
	switch class {
	case rule.ClassOrder:
		return 0
	case rule.ClassInteractive:
		return 1
	default:
		return 2
	}
}
