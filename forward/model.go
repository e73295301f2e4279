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
	"teaselgate/rule"
	"teaselgate/upstream"
)

// Limits of model requests.
const (
	maxPlaces = 4 // places asked for one request
	// An engine that has not answered a prefill after prefillPatience times the expected time and prefillMargin has lost
	// it: at a sound one, expected times are met within a third.
	prefillPatience = 1.5
	prefillMargin   = 250 * time.Millisecond
	maxHandleBytes  = 4096 // of the answer to a prefill
	// unhintedShare of the most output tokens is expected of a request whose caller gives no estimate.
	unhintedShare = 0.45
)

// serveModel has a prompt computed at a prefill engine and the answer generated at a decode engine, both placed
// together before anything is sent.
func (q *request) serveModel(ctx context.Context) {
	h := q.handler
	h.RetryBudget(q.service.Name).Deposit()
	m := &modelRun{request: q}
	for n := 1; ; n++ {
		asked := h.Now()
		place, err := h.Place(ctx, m.placeRequest())
		if err != nil {
			m.endUnplaced(ctx, err)
			return
		}
		h.ObserveStage(metric.StageQueue, h.Now().Sub(asked))
		end := m.run(ctx, place)
		if end.answered {
			return
		}
		q.note(event.AttemptFailed, m.last, end.reason)
		if ctx.Err() != nil || !m.mayRepeat(end, n) {
			m.endBroken(ctx, end.reason)
			return
		}
	}
}

// modelRun is one model request on its way through places.
type modelRun struct {
	*request
	exclude []string
	last    string // server that failed last
	begun   bool   // the caller has the header of the answer
	event   string // id of the last event that the caller has
	events  int    // that the caller has
	again   bool   // a prompt was computed before
}

func (m *modelRun) placeRequest() cell.Request {
	model, _ := m.view.Rules.Model(m.service.Name)
	return cell.Request{
		ID: m.ID, Account: m.account.Name, Weight: 1, Class: rule.ClassPatient, Model: model,
		PromptTokens: m.PromptTokens + m.made(), MaxTokens: max(m.expectedOutput()-m.made(), m.service.Engine.TokensPerEvent),
		Deadline: m.deadline, Ceiling: max(m.MaxOutputTokens-m.made(), 1), Zone: m.handler.Zone, Exclude: m.exclude, Charge: m.charge(), Rate: m.account.Rate, Burst: m.account.Burst,
	}
}

// charge returns the tokens that the request takes from its account's rate; a repeat takes none.
func (m *modelRun) charge() int64 {
	if !m.limited() || m.again {
		return 0
	}
	return m.tokens()
}

// made returns the tokens that the caller has already.
func (m *modelRun) made() int { return m.events * m.service.Engine.TokensPerEvent }

// expectedOutput estimates the output tokens.
func (m *modelRun) expectedOutput() int {
	if m.LengthHint > 0 {
		return min(m.LengthHint, max(m.MaxOutputTokens, 1))
	}
	return max(int(unhintedShare*float64(m.MaxOutputTokens)), 1)
}

// endUnplaced answers a request for which there is no place.
func (m *modelRun) endUnplaced(ctx context.Context, err error) {
	if ctx.Err() != nil || m.begun || m.ran > 0 {
		m.endBroken(ctx, err.Error())
		return
	}
	status, retry := http.StatusServiceUnavailable, serverRetry
	var refusal *cell.Refusal
	if errors.As(err, &refusal) {
		retry = max(refusal.RetryAt.Sub(m.handler.Now()), minOverRateRetry)
	}
	if errors.Is(err, cell.ErrOverRate) {
		status = http.StatusTooManyRequests
	}
	m.refuse(status, retry, err.Error())
}

// endBroken ends a request that failed: with an answer of its own, or by a visible break.
func (m *modelRun) endBroken(ctx context.Context, reason string) {
	if m.begun {
		m.cancelled(reason)
	}
	m.fail(ctx, reason)
}

// mayRepeat tells whether another place may be asked for.
func (m *modelRun) mayRepeat(end ending, places int) bool {
	if places >= maxPlaces {
		return false
	}
	if !end.notRun && (!m.route.Resumable || m.ran >= m.route.MaxAttempts) {
		return false
	}
	return m.spendRetries(end.repeats())
}

// repeats returns how many more requests a repeat sends to engines than the first time would have.
func (e ending) repeats() int {
	n := 0
	if e.computed {
		n++
	}
	if !e.unsent {
		n++
	}
	return n
}

// run carries a request through one place.
func (m *modelRun) run(ctx context.Context, place *cell.Placement) ending {
	var report cell.Report
	defer func() {
		report.Ended = m.handler.Now()
		place.Release(report)
	}()
	m.note(event.RequestPlaced, place.Decode.Server, placeDetail(place))
	start := m.handler.Now()
	handle, end := m.prefill(ctx, place.Prefill, place.Inputs.Prefill)
	if !end.answered {
		report.BadPrefill = end.failed && ctx.Err() == nil
		m.exclude, m.last = append(slices.Clone(m.exclude), place.Prefill.Server), place.Prefill.Server
		return end
	}
	report.Prefilled = m.handler.Now()
	m.handler.ObserveStage(metric.StagePrefill, report.Prefilled.Sub(start))
	end = m.decode(ctx, place, handle, &report)
	end.computed = true
	report.BadDecode = end.erred || !end.answered && end.failed && ctx.Err() == nil
	if !end.answered {
		report.Refused = end.notRun && !end.unsent && !end.failed
		m.exclude, m.last = append(slices.Clone(m.exclude), place.Decode.Server), place.Decode.Server
	}
	return end
}

// placeDetail tells what a place was decided by.
func placeDetail(p *cell.Placement) string {
	in := p.Inputs
	return fmt.Sprintf("prefill at %s in %v, by %s after %v, memory %d of %d pieces, %d streams",
		p.Prefill.Server, in.Prefill.Round(time.Millisecond), p.Dispatcher, in.Waited.Round(time.Millisecond), in.Pieces, in.Total, in.Streams)
}

// prefill has the prompt computed; an answered ending means that the handle is good.
//
// Load that its timeout answers: engines compute prompts and lose the answers. A prefill may be repeated, so that the
// request goes on at another engine while it can still be on time.
func (m *modelRun) prefill(ctx context.Context, server rule.Server, expected time.Duration) (platform.Handle, ending) {
	m.again = true
	ctx, stop := context.WithTimeout(ctx, time.Duration(prefillPatience*float64(expected))+prefillMargin)
	defer stop()
	resp, err := m.send(ctx, platform.ForwardOptions{Server: server.Server, Address: server.At, Prefill: true, LastEventID: m.event})
	if err != nil {
		return platform.Handle{}, ending{notRun: true, unsent: errors.Is(err, upstream.ErrNotSent), failed: true, reason: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		rejected := platform.IsNotRun(resp.Response) && !platform.IsMisdirected(resp.Response)
		return platform.Handle{}, ending{notRun: true, failed: !rejected, reason: fmt.Sprintf("prefill: status %d", resp.StatusCode)}
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxHandleBytes))
	if err != nil {
		return platform.Handle{}, ending{notRun: true, failed: true, reason: "prefill: " + err.Error()}
	}
	handle, err := platform.ReadHandle(text)
	if err != nil {
		return handle, ending{notRun: true, failed: true, reason: err.Error()}
	}
	return handle, ending{answered: true}
}

// free lets the prefill engine drop a result that is not fetched.
func (m *modelRun) free(server rule.Server, handle platform.Handle) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), freeTimeout)
		defer stop()
		if err := m.handler.Engines.Free(ctx, server.At, handle); err != nil {
			m.note(event.AttemptFailed, server.Server, "unable to free a computed prompt: "+err.Error())
		}
	}()
}

// freeTimeout bounds the freeing of a result, which expires by itself soon after.
const freeTimeout = 400 * time.Millisecond

// decode fetches the prompt's KV cache and passes the stream on.
func (m *modelRun) decode(ctx context.Context, place *cell.Placement, handle platform.Handle, report *cell.Report) ending {
	resp, err := m.send(ctx, platform.ForwardOptions{
		Server: place.Decode.Server, Address: place.Decode.At,
		KVSource: platform.KVSource(place.Prefill.At, handle), LastEventID: m.event,
	})
	if err != nil {
		m.free(place.Prefill, handle)
		return m.sendFailed(err)
	}
	defer resp.Body.Close()
	if platform.IsNotRun(resp.Response) {
		m.free(place.Prefill, handle)
		return ending{
			notRun: true, failed: platform.IsMisdirected(resp.Response),
			reason: fmt.Sprintf("decode: rejected with status %d", resp.StatusCode),
		}
	}
	m.ran++
	if !platform.IsSealed(resp.Header) || platform.IsEncoded(resp.Header) {
		return ending{failed: true, reason: "the answer bears no proof"}
	}
	if resp.StatusCode != http.StatusOK {
		return m.passFailure(resp)
	}
	return m.passStream(resp, place, report)
}

// passFailure passes the engine's own failure on, unless a stream has begun.
func (m *modelRun) passFailure(resp *upstream.Response) ending {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxKeptAnswer))
	if err != nil || m.begun {
		return ending{failed: true, reason: fmt.Sprintf("decode: status %d", resp.StatusCode)}
	}
	if m.route.Resumable && resp.StatusCode >= http.StatusInternalServerError && m.ran < m.route.MaxAttempts {
		return ending{failed: true, kept: &whole{resp.Response, text}, reason: fmt.Sprintf("decode: status %d", resp.StatusCode)}
	}
	m.passWhole(&whole{resp.Response, text}, "")
	return ending{answered: true, erred: resp.StatusCode >= http.StatusInternalServerError}
}
