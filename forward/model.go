package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"teaselgate/cell"
	"teaselgate/event"
	"teaselgate/metric"
	"teaselgate/platform"
	"teaselgate/registry"
	"teaselgate/rule"
	"teaselgate/upstream"
)

// Limits of model requests.
const (
	maxPlacements = 4 // placements requested for one request
	// A prefill counts as lost after prefillTimeoutFactor times its expected duration plus prefillTimeoutMargin: a
	// healthy engine exceeds the expected duration by at most a third.
	prefillTimeoutFactor    = 1.5
	prefillTimeoutMargin    = 250 * time.Millisecond
	maxPrefillResponseBytes = 4096 // length limit of a prefill response
	// hintFactor times the caller's length hint is the longest output to allow for: hints are accurate at the median only.
	hintFactor = 2
	// defaultOutputShare is the expected part of a request's maximum output if its caller gives no length hint.
	defaultOutputShare = 0.45
)

// serveModel runs the prompt on a prefill engine and generates the response on a decode engine. Both engines are chosen
// together before anything is sent.
func (q *request) serveModel(ctx context.Context) {
	h := q.handler
	m := &modelRequest{request: q}
	h.RetryBudget(q.service.Name).Deposit()
	if model, _ := q.view.Rules.Model(q.service.Name); q.refusedByBackoff(model.Prefill, model.Decode) {
		return
	}
	for n := 1; ; n++ {
		start := h.Now()
		placement, err := h.Place(ctx, m.placementRequest())
		if err != nil {
			m.handlePlacementError(ctx, err)
			return
		}
		h.ObserveStage(metric.StageQueue, h.Now().Sub(start))
		result := m.run(ctx, placement)
		if result.completed {
			return
		}
		q.record(event.AttemptFailed, m.lastFailed, result.reason)
		if refusal := m.checkQuarantine(); refusal != nil {
			if m.headerSent {
				m.abort(refusal.Reason())
			}
			m.endQuarantined(ctx, refusal)
			return
		}
		if ctx.Err() != nil || !m.canRetry(result, n) {
			m.failOrAbort(ctx, result.reason)
			return
		}
	}
}

// modelRequest is the state of a model request over its placements.
type modelRequest struct {
	*request
	exclude     []string // ids of servers that failed or rejected the request
	lastFailed  string   // id of the server of the last failed attempt
	headerSent  bool     // whether the response header was sent to the caller
	nextEvent   int64    // least id of the next event to send to the caller
	eventsSent  int      // number of events sent to the caller
	events      int      // number of numbered events received in this attempt
	prefillSent bool     // whether a prefill was already sent
}

func (m *modelRequest) placementRequest() cell.Request {
	model, _ := m.view.Rules.Model(m.service.Name)
	first, maxWait := registry.Targets(m.route)
	return cell.Request{
		Return: m.part, ReturnWithin: platform.ReturnWithin(m.deadline.Sub(m.handler.Now())),
		Rank: registry.Rank(m.route, m.account), First: first, MaxWait: maxWait, Ordered: m.view.Ordered(m.service.Name),
		ID: m.ShortID(), Account: m.account.Name, Weight: 1, Class: rule.ClassPatient, Model: model,
		PromptTokens: m.PromptTokens + m.tokensSent(),
		MaxTokens:    max(m.expectedOutputTokens()-m.tokensSent(), m.service.Engine.TokensPerEvent),
		Deadline:     m.deadline, Ceiling: max(m.MaxOutputTokens-m.tokensSent(), 1), Zone: m.handler.Zone,
		Zones:         m.zones,
		LongestOutput: max(m.longestOutputTokens()-m.tokensSent(), 1),
		Exclude:       m.exclude, Avoid: m.handler.Backoff.Servers(), Charge: m.charge(), Rate: m.account.Rate, Burst: m.account.Burst,
	}
}

// enginePriority returns the priority of the request at engines, or 0 if they need none.
func (m *modelRequest) enginePriority() int {
	priority, ok := m.view.EnginePriority(m.service.Name, m.route)
	if !ok {
		return 0
	}
	return priority
}

// charge returns the cost that the placement charges to the account's rate. Retries are not charged.
func (m *modelRequest) charge() int64 {
	if !m.rateLimited() || m.prefillSent {
		return 0
	}
	return m.cost()
}

// tokensSent returns the number of output tokens already sent to the caller.
func (m *modelRequest) tokensSent() int { return m.eventsSent * m.service.Engine.TokensPerEvent }

// expectedOutputTokens estimates the number of output tokens.
func (m *modelRequest) expectedOutputTokens() int {
	if m.LengthHint > 0 {
		return min(m.LengthHint, max(m.MaxOutputTokens, 1))
	}
	return max(int(defaultOutputShare*float64(m.MaxOutputTokens)), 1)
}

// longestOutputTokens returns the most output tokens to allow for: up to the token limit, which callers that give a length hint
// rarely reach.
func (m *modelRequest) longestOutputTokens() int {
	if m.LengthHint > 0 {
		return min(hintFactor*m.LengthHint, max(m.MaxOutputTokens, 1))
	}
	return max(m.MaxOutputTokens, 1)
}

// handlePlacementError ends a request that got no placement.
func (m *modelRequest) handlePlacementError(ctx context.Context, err error) {
	if ctx.Err() != nil || m.headerSent || m.runs > 0 {
		m.failOrAbort(ctx, err.Error())
		return
	}
	status, retryAfter := http.StatusServiceUnavailable, m.serverExpectedIn()
	var refusal *cell.Refusal
	if errors.As(err, &refusal) {
		retryAfter = max(refusal.RetryAt.Sub(m.handler.Now()), minRateRetryAfter)
	}
	if errors.Is(err, cell.ErrOverRate) {
		status = http.StatusTooManyRequests
	}
	m.refuse(status, retryAfter, err.Error())
}

// failOrAbort ends a request that failed: with an error status or, if the response header was already sent, by closing
// the caller's connection, so that the response does not look complete.
func (m *modelRequest) failOrAbort(ctx context.Context, reason string) {
	if m.headerSent {
		m.abort(reason)
	}
	m.fail(ctx, reason)
}

// canRetry reports whether another placement may be requested, and withdraws its requests from the retry budget.
func (m *modelRequest) canRetry(result attemptResult, placements int) bool {
	if placements >= maxPlacements || result.shutDown {
		return false
	}
	if !result.notRun && (!m.route.Resumable || m.runs >= m.route.MaxAttempts) {
		return false
	}
	return m.spendRetries(result.extraRequests())
}

// extraRequests returns how many additional requests to engines a retry costs: each engine that got a request in the
// failed attempt gets one again.
func (r attemptResult) extraRequests() int {
	n := 0
	if r.promptComputed {
		n++
	}
	if !r.notSent {
		n++
	}
	return n
}

// run makes one attempt on the engines of a placement.
func (m *modelRequest) run(ctx context.Context, placement *cell.Placement) attemptResult {
	var report cell.Report
	defer func() {
		report.Ended = m.handler.Now()
		placement.Release(report)
	}()
	m.record(event.RequestPlaced, placement.Decode.Server, placementDetail(placement))
	m.setLongest(placement.Inputs.Prefill, placement.Inputs.Longest)
	start := m.handler.Now()
	handle, result := m.prefill(ctx, placement.Prefill, placement.Inputs.Prefill)
	if !result.completed {
		m.reportNoAnswer(ctx, result, nil, "prefill")
		report.BadPrefill = result.serverFault && ctx.Err() == nil
		m.exclude, m.lastFailed = append(slices.Clone(m.exclude), placement.Prefill.Server), placement.Prefill.Server
		return result
	}
	report.Prefilled = m.handler.Now()
	m.handler.ObserveStage(metric.StagePrefill, report.Prefilled.Sub(start))
	if refusal := m.checkQuarantine(); refusal != nil {
		m.releaseHandle(placement.Prefill, handle)
		return attemptResult{notRun: true, notSent: true, promptComputed: true, reason: refusal.Reason()}
	}
	m.setLongest(0, placement.Inputs.Longest)
	result = m.decode(ctx, placement, handle, &report)
	result.promptComputed = true
	report.BadDecode = result.serverError || !result.completed && result.serverFault && ctx.Err() == nil
	if !result.completed {
		report.Refused = result.notRun && !result.notSent && !result.serverFault
		m.reportEngine(ctx, result)
		m.exclude, m.lastFailed = append(slices.Clone(m.exclude), placement.Decode.Server), placement.Decode.Server
	}
	return result
}

// placementDetail describes a placement and what its decision was based on, for the log.
func placementDetail(p *cell.Placement) string {
	in := p.Inputs
	return fmt.Sprintf("prefill on %s in %v, placed by %s after %v, memory %d of %d pieces, %d streams",
		p.Prefill.Server, in.Prefill.Round(time.Millisecond), p.Dispatcher, in.Waited.Round(time.Millisecond),
		in.Pieces, in.Total, in.Streams)
}

// prefill runs the prompt on a prefill engine. The handle is valid if the result is completed.
//
// Its timeout follows the expected duration and not the caller's deadline, because an engine may run a prefill and lose
// the response. The request is then retried on another engine while it can still meet its deadline.
func (m *modelRequest) prefill(
	ctx context.Context, server rule.Server, expected time.Duration,
) (platform.Handle, attemptResult) {
	m.prefillSent = true
	ctx, stop := context.WithTimeout(ctx, time.Duration(prefillTimeoutFactor*float64(expected))+prefillTimeoutMargin)
	defer stop()
	resp, err := m.send(ctx, platform.ForwardOptions{
		Server: server.Server, Address: server.At, Prefill: true, LastEventID: m.lastEventID(), Priority: m.enginePriority(),
	})
	if isWithheld(err) {
		return platform.Handle{}, m.resultFromSendError(ctx, err)
	}
	if err != nil {
		notSent := errors.Is(err, upstream.ErrNotSent)
		return platform.Handle{}, attemptResult{
			notRun: true, notSent: notSent, serverFault: true, noAnswer: !notSent, cut: ctx.Err() != nil, reason: err.Error(),
		}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		rejected := platform.IsNotRun(resp.Response) && !platform.IsMisdirected(resp.Response)
		return platform.Handle{}, attemptResult{
			notRun: true, serverFault: !rejected, reason: fmt.Sprintf("prefill failed with status %d", resp.StatusCode),
		}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPrefillResponseBytes))
	if err != nil {
		return platform.Handle{}, attemptResult{
			notRun: true, serverFault: true, noAnswer: true, cut: ctx.Err() != nil, reason: "prefill: " + err.Error(),
		}
	}
	handle, err := platform.ReadHandle(body)
	if err != nil {
		return handle, attemptResult{notRun: true, serverFault: true, reason: err.Error()}
	}
	return handle, attemptResult{completed: true}
}

// releaseHandle tells the prefill engine, in the background, that the KV cache of a prompt will not be fetched.
func (m *modelRequest) releaseHandle(server rule.Server, handle platform.Handle) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), handleReleaseTimeout)
		defer stop()
		if err := m.handler.Engines.Free(ctx, server.At, handle); err != nil {
			m.record(event.AttemptFailed, server.Server, "unable to release the KV cache of the prompt: "+err.Error())
		}
	}()
}

// handleReleaseTimeout bounds the release of a handle, which expires by itself soon after.
const handleReleaseTimeout = 400 * time.Millisecond

// decode has the decode engine fetch the prompt's KV cache, and forwards its stream.
func (m *modelRequest) decode(
	ctx context.Context, placement *cell.Placement, handle platform.Handle, report *cell.Report,
) attemptResult {
	m.events = 0
	resp, err := m.send(ctx, platform.ForwardOptions{
		Server: placement.Decode.Server, Address: placement.Decode.At, Priority: m.enginePriority(),
		KVSource: platform.KVSource(placement.Prefill.At, handle), LastEventID: m.lastEventID(),
	})
	if err != nil {
		m.releaseHandle(placement.Prefill, handle)
		return m.resultFromSendError(ctx, err)
	}
	defer resp.Body.Close()
	if platform.IsNotRun(resp.Response) {
		m.releaseHandle(placement.Prefill, handle)
		return attemptResult{
			notRun: true, serverFault: platform.IsMisdirected(resp.Response),
			reason: fmt.Sprintf("decode rejected with status %d", resp.StatusCode),
		}
	}
	m.runs++
	if !platform.IsSealed(resp.Header) || platform.IsEncoded(resp.Header) {
		return attemptResult{serverFault: true, reason: "the response has no seal or is encoded"}
	}
	if resp.StatusCode != http.StatusOK {
		return m.forwardError(resp)
	}
	return m.forwardStream(ctx, resp, placement, report)
}

// forwardError forwards the engine's error response, unless a stream has started or the request can be retried.
func (m *modelRequest) forwardError(resp *upstream.Response) attemptResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err != nil || m.headerSent || len(body) > maxBufferedBytes {
		return attemptResult{serverFault: true, reason: fmt.Sprintf("decode failed with status %d", resp.StatusCode)}
	}
	if m.route.Resumable && resp.StatusCode >= http.StatusInternalServerError && m.runs < m.route.MaxAttempts {
		return attemptResult{
			serverFault: true, savedResponse: &bufferedResponse{resp.Response, body},
			reason: fmt.Sprintf("decode failed with status %d", resp.StatusCode),
		}
	}
	m.reportAnswered()
	m.writeResponse(&bufferedResponse{resp.Response, body}, "")
	return attemptResult{completed: true, serverError: resp.StatusCode >= http.StatusInternalServerError}
}
