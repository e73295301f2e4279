package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"teaselgate/event"
	"teaselgate/metric"
	"teaselgate/outcome"
	"teaselgate/platform"
	"teaselgate/slot"
	"teaselgate/throttle"
	"teaselgate/upstream"
)

// Limits of plain requests.
const (
	maxTriedServers     = 4         // servers tried for one request, including those that reject it
	maxBufferedBytes    = 256 << 10 // bytes of a response that are read before it is forwarded
	minAttemptTimeout   = 60 * time.Millisecond
	attemptTimeoutShare = 0.45 // of the remaining time, for an attempt that can be retried on another server
	latencyTargetShare  = 0.6  // of the route's latency target, so that a second attempt can still meet it
	copyBufferBytes     = 16 << 10
	bufferStepBytes     = 4 << 10  // least memory that is reserved for a response; doubled as it grows
	maxUnframedBytes    = 64 << 20 // of a response that states no length; more are taken for bytes without end
)

// servePlain forwards a request to a plain service, and retries it where the route allows that.
func (q *request) servePlain(ctx context.Context) {
	h := q.handler
	if q.rateLimited() {
		if retryAt, err := h.Charge(q.account, q.cost()); err != nil {
			q.refuse(http.StatusTooManyRequests, max(retryAt.Sub(h.Now()), minRateRetryAfter), err.Error())
			return
		}
	}
	h.RetryBudget(q.service.Name).Deposit()
	if q.refusedByBackoff(q.service.Name) {
		return
	}
	var tried []string
	var result attemptResult
	for {
		server, err := q.pickServer(ctx, tried)
		if errors.Is(err, slot.ErrNoRetry) {
			q.record(event.RetryBudgetSpent, "", err.Error())
			q.handleAttemptFailure(ctx, result)
			return
		}
		if err != nil {
			q.handleNoServer(ctx, len(tried), result, err)
			return
		}
		key := q.slotKey()
		tried = append(tried, server.Server)
		start := h.Now()
		result = q.attempt(ctx, server.Server, server.At, len(tried))
		took := h.Now().Sub(start)
		h.ReportServerResult(key, server.Server, took, result.serverResult(ctx))
		if result.completed {
			h.ObserveStage(metric.StageService, took)
			return
		}
		q.record(event.AttemptFailed, server.Server, result.reason)
		q.reportNoAnswer(ctx, result, nil, "")
		if refusal := q.checkQuarantine(); refusal != nil {
			q.endQuarantined(ctx, refusal)
			return
		}
		if ctx.Err() != nil || !q.canRetry(result, len(tried)) {
			q.handleAttemptFailure(ctx, result)
			return
		}
	}
}

// minRateRetryAfter is the minimum Retry-After time of a request over its account's rate, and of a model request whose
// placement was refused.
const minRateRetryAfter = 50 * time.Millisecond

// attemptResult is the result of sending a request to a server once.
type attemptResult struct {
	completed      bool              // the response was sent to the caller, or the prefill returned a handle
	notRun         bool              // the server has not run the request and will not; set for failed prefills, too
	notSent        bool              // no byte of the request was sent
	serverFault    bool              // the failure counts against the server
	shutDown       bool              // not sent because the instance is stopping
	serverError    bool              // the server responded with an error status
	noAnswer       bool              // the request was sent, and no complete answer came
	begun          bool              // the answer had begun when it broke off
	cut            bool              // no answer came because the instance or the caller ended the attempt
	promptComputed bool              // a prefill succeeded, which a retry runs again
	savedResponse  *bufferedResponse // error response of the server, which a plain request returns if it is not retried
	reason         string            // reason of the failure, for the log
}

// serverResult returns the result that counts for the server. A cancelled request is not a failure of the server.
func (r attemptResult) serverResult(ctx context.Context) slot.Result {
	switch {
	case r.serverError:
		return slot.ServerError
	case r.serverFault && ctx.Err() == nil:
		return slot.Failed
	default:
		return slot.Answered
	}
}

// bufferedResponse is a response whose body was read completely.
type bufferedResponse struct {
	*http.Response
	content []byte
}

// handleNoServer ends a request for which no server can be picked. After an attempt it returns the error response of the
// server, if there is one.
func (q *request) handleNoServer(ctx context.Context, tried int, last attemptResult, err error) {
	retryAt, known := retryTime(err)
	switch {
	case last.savedResponse != nil:
		q.writeResponse(last.savedResponse, "")
	case known && q.runs == 0 && ctx.Err() == nil:
		q.refuse(http.StatusServiceUnavailable, max(retryAt.Sub(q.handler.Now()), minRateRetryAfter), err.Error())
	case tried > 0:
		q.fail(ctx, "no other server for a retry: "+err.Error())
	case outcome.EndedByShutdown(ctx):
		q.fail(ctx, err.Error())
	default:
		q.refuse(http.StatusServiceUnavailable, q.serverExpectedIn(), err.Error())
	}
}

// retryTime returns the time that an error names from which to retry.
func retryTime(err error) (time.Time, bool) {
	var denial *throttle.Denial
	if errors.As(err, &denial) {
		return denial.RetryAt, true
	}
	var refusal *slot.Refusal
	if errors.As(err, &refusal) {
		return refusal.RetryAt, true
	}
	return time.Time{}, false
}

// handleAttemptFailure ends a request after its last attempt: with the server's error response, if there is one.
func (q *request) handleAttemptFailure(ctx context.Context, result attemptResult) {
	if result.savedResponse != nil {
		q.writeResponse(result.savedResponse, "")
		return
	}
	q.fail(ctx, result.reason)
}

// canRetry reports whether a request may be sent to another server after a failed attempt. Retries are meant for
// servers that reject requests because their queues are full, and for servers that fail some of their requests. A retry
// is withdrawn from the retry budget, unless nothing was sent. If this instance's part of the budget is spent, the one that the
// instances share pays, which is known when the next server is asked for.
func (q *request) canRetry(result attemptResult, tried int) bool {
	if tried >= maxTriedServers || result.shutDown || !q.canEndBeforeShutdown() {
		return false
	}
	if !result.notRun && (q.route.Kind != platform.Idempotent || q.runs >= q.route.MaxAttempts) {
		return false
	}
	q.unpaid = !result.notSent && !q.handler.RetryBudget(q.service.Name).Withdraw()
	return true
}

// spendRetries withdraws n requests from the service's retry budget, which is divided among the instances. If the
// budget is spent, it records that and returns false.
func (q *request) spendRetries(n int) bool {
	if q.handler.RetryBudget(q.service.Name).WithdrawN(n) {
		return true
	}
	q.record(event.RetryBudgetSpent, "", q.service.Name)
	return false
}

// attempt sends the request to one server and forwards its response, unless the response is a server error of an
// idempotent route.
func (q *request) attempt(ctx context.Context, id, address string, tried int) attemptResult {
	ctx, stop, answered := q.attemptContext(ctx, tried)
	defer stop()
	resp, err := q.send(ctx, platform.ForwardOptions{Server: id, Address: address})
	if err != nil {
		return q.resultFromSendError(ctx, err)
	}
	defer resp.Body.Close()
	if platform.IsNotRun(resp.Response) {
		return attemptResult{
			notRun: true, serverFault: platform.IsMisdirected(resp.Response),
			reason: fmt.Sprintf("rejected with status %d", resp.StatusCode),
		}
	}
	q.runs++
	if !platform.IsSealed(resp.Header) || platform.IsEncoded(resp.Header) {
		return attemptResult{serverFault: true, reason: "the response has no seal or is encoded"}
	}
	content, whole, err := q.bufferResponse(resp.Body)
	if err != nil {
		return brokenOff(ctx, "the response broke off: "+err.Error())
	}
	if !whole {
		answered()
		q.streamResponse(ctx, resp, content)
		return attemptResult{completed: true}
	}
	q.reportAnswered()
	response := &bufferedResponse{resp.Response, content}
	serverError := resp.StatusCode >= http.StatusInternalServerError
	if serverError && q.route.Kind == platform.Idempotent {
		return attemptResult{
			savedResponse: response, serverError: true, reason: fmt.Sprintf("failed with status %d", resp.StatusCode),
		}
	}
	q.writeResponse(response, id)
	return attemptResult{completed: true, serverError: serverError}
}

// bufferResponse reads a response up to maxBufferedBytes, as far as there is memory for it, and reports whether that was all.
// Callers that read slowly hold what was read for them; without memory they are served at the pace at which they read.
func (q *request) bufferResponse(body io.Reader) (content []byte, whole bool, err error) {
	for len(content) < maxBufferedBytes {
		if len(content) == cap(content) {
			more := int64(max(cap(content), bufferStepBytes))
			if !q.handler.Memory.ReserveSpare(more) {
				return content, false, nil
			}
			q.held += more
			content = append(make([]byte, 0, int64(cap(content))+more), content...)
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		if errors.Is(err, io.EOF) {
			return content, true, nil
		}
		if err != nil {
			return content, false, err
		}
	}
	return content, false, nil
}

// releaseMemory gives back the memory of the responses that were read for the request.
func (q *request) releaseMemory() { q.handler.Memory.Release(q.held) }

// attemptContext bounds an attempt that can be retried, so that a server that does not respond leaves time for another. An
// attempt is not cut if no retry is left to pay for the other.
// The bound ends with a call of answered: what has come is passed on at the pace at which the caller reads.
func (q *request) attemptContext(ctx context.Context, tried int) (bounded context.Context, stop, answered func()) {
	bounded, cancel := context.WithCancel(ctx)
	if q.route.Kind != platform.Idempotent || q.runs+1 >= q.route.MaxAttempts || tried >= maxTriedServers ||
		q.handler.RetryBudget(q.service.Name).Remaining() < 1 {
		return bounded, cancel, func() {}
	}
	remaining := q.deadline.Sub(q.handler.Now())
	timeout := time.Duration(attemptTimeoutShare * float64(remaining))
	if target := time.Duration(latencyTargetShare * float64(q.route.TargetLatency)); target > 0 {
		timeout = min(timeout, target)
	}
	timer := time.AfterFunc(max(timeout, minAttemptTimeout), cancel)
	stop = func() {
		timer.Stop()
		cancel()
	}
	return bounded, stop, func() { timer.Stop() }
}

// send sends the request to a server once, with the time left until the deadline.
func (q *request) send(ctx context.Context, f platform.ForwardOptions) (*upstream.Response, error) {
	key := upstream.ServerKey{Server: f.Server, Address: f.Address}
	if !q.handler.Backoff.Until(key).IsZero() {
		return nil, errBackoff
	}
	if view := q.handler.View(); view != nil && view.IsEvacuated(f.Server) {
		return nil, errEvacuated
	}
	if !q.canEndBeforeShutdown() {
		return nil, errShuttingDown
	}
	f.Account = q.account.Name
	sent := q.handler.Now()
	f.TimeLeft = q.deadline.Sub(sent)
	q.sent = &sentAttempt{f.Server, f.Address, sent}
	resp, err := q.handler.Servers.Do(ctx, f.Address, q.ID, platform.NewForwardRequest(q.incoming, q.body, q.Secret, f))
	if err == nil {
		q.handler.Observe(key, sent, resp.Response)
	}
	return resp, err
}

var (
	// errBackoff means that a request was not sent because its server wants none at present.
	errBackoff = errors.New("forward: the server wants no requests at present")
	// errEvacuated means that a request was not sent because the availability zone of its server was evacuated after the
	// server had been chosen.
	errEvacuated = errors.New("forward: the availability zone of the server is evacuated")
	// errShuttingDown means that a request was not sent because its instance may shut down before the response has ended.
	errShuttingDown = errors.New("forward: the instance shuts down before the longest response would end")
)

// isWithheld reports whether a request was not sent for a reason that says nothing about its server.
func isWithheld(err error) bool {
	return errors.Is(err, errBackoff) || errors.Is(err, errEvacuated) || errors.Is(err, errShuttingDown)
}

// resultFromSendError returns the result of an attempt that got no response. It counts a run unless nothing was sent.
func (q *request) resultFromSendError(ctx context.Context, err error) attemptResult {
	if isWithheld(err) {
		return attemptResult{notRun: true, notSent: true, shutDown: errors.Is(err, errShuttingDown), reason: err.Error()}
	}
	if errors.Is(err, upstream.ErrNotSent) {
		return attemptResult{notRun: true, notSent: true, serverFault: true, reason: err.Error()}
	}
	q.runs++
	return brokenOff(ctx, err.Error())
}

// writeResponse sends a buffered response to the caller.
func (q *request) writeResponse(r *bufferedResponse, server string) {
	q.copyHeader(r.Response)
	q.writer.Header()["Content-Length"] = []string{fmt.Sprint(len(r.content))}
	q.writer.WriteHeader(r.StatusCode)
	if _, err := q.writer.Write(r.content); err != nil {
		q.abort("unable to write the response: " + err.Error())
	}
	q.finish(server, q.responseDetail(r.StatusCode))
}

// responseDetail describes the response to a request, for the log.
func (q *request) responseDetail(status int) string {
	return fmt.Sprintf("status %d after %v, %d servers may have run it",
		status, q.handler.Now().Sub(q.received).Round(time.Millisecond), q.runs)
}

// streamResponse forwards a long response, of which a part was read, as it arrives. If it breaks off, the caller's
// connection is closed, so that the response does not look complete.
func (q *request) streamResponse(ctx context.Context, resp *upstream.Response, head []byte) {
	q.copyHeader(resp.Response)
	if resp.ContentLength >= 0 {
		q.writer.Header()["Content-Length"] = []string{fmt.Sprint(resp.ContentLength)}
	}
	q.writer.WriteHeader(resp.StatusCode)
	source := io.MultiReader(bytes.NewReader(head), resp.Body)
	if resp.ContentLength < 0 {
		source = &limitedReader{source, maxUnframedBytes}
	}
	if _, err := io.CopyBuffer(q.writer, source, make([]byte, copyBufferBytes)); err != nil {
		q.reportNoAnswer(ctx, attemptResult{noAnswer: true, begun: true, cut: ctx.Err() != nil}, nil, "")
		q.abort("the response broke off: " + err.Error())
	}
	q.reportAnswered()
	q.finish("", q.responseDetail(resp.StatusCode))
}

// limitedReader fails, unlike io.LimitedReader, if its source has more bytes than the limit.
type limitedReader struct {
	source io.Reader
	left   int
}

var errTooLong = errors.New("forward: the response has no length and does not end")

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	if l.left -= n; l.left < 0 {
		return 0, errTooLong
	}
	return n, err
}

// copyHeader copies the header of a server's response to the caller's response.
func (q *request) copyHeader(resp *http.Response) {
	platform.CopyResponseHeaders(q.writer.Header(), resp.Header)
}
