package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"teaselgate/cell"
	"teaselgate/event"
	"teaselgate/metric"
	"teaselgate/platform"
	"teaselgate/upstream"
)

// Limits of plain requests.
const (
	maxSends        = 4         // servers asked for one request, those that rejected it included
	maxKeptAnswer   = 256 << 10 // bytes of an answer that are read before any is passed on
	minAttemptTime  = 60 * time.Millisecond
	attemptShare    = 0.45 // of the time left, for an attempt that another server may repeat
	aimShare        = 0.6  // of the aim: the second attempt can still be on time
	copyBufferBytes = 16 << 10
)

// servePlain sends a request to a plain service, again where its route allows it.
func (q *request) servePlain(ctx context.Context) {
	h := q.handler
	if q.limited() {
		if retryAt, err := h.Charge(q.account, q.tokens()); err != nil {
			q.refuse(http.StatusTooManyRequests, max(retryAt.Sub(h.Now()), minOverRateRetry), "over the account's rate")
			return
		}
	}
	h.RetryBudget(q.service.Name).Deposit()
	var tried []string
	for {
		server, err := h.PickServer(q.service.Name, tried)
		if err != nil {
			q.endUnserved(ctx, len(tried), err)
			return
		}
		tried = append(tried, server.Server)
		start := h.Now()
		end := q.attempt(ctx, server.Server, server.At, len(tried))
		took := h.Now().Sub(start)
		h.ReportServerResult(server.Server, took, end.result(ctx))
		if end.answered {
			h.ObserveStage(metric.StageService, took)
			return
		}
		q.note(event.AttemptFailed, server.Server, end.reason)
		if ctx.Err() != nil || !q.mayRepeat(end, len(tried)) {
			q.endFailed(ctx, end)
			return
		}
	}
}

// minOverRateRetry is the least time after which a caller over its rate may come back.
const minOverRateRetry = 50 * time.Millisecond

// ending is how one attempt at a server ended.
type ending struct {
	answered bool   // the caller has its answer
	notRun   bool   // the server has not run the request and never will
	unsent   bool   // no byte reached the server
	failed   bool   // the server is to blame
	erred    bool   // the server answered with an error of its own
	computed bool   // a prompt was computed for it, which a repeat has computed again
	kept     *whole // the server's own failure, passed on if nothing better comes
	reason   string
}

// result returns how the server dealt with the request; a caller that left is not its fault.
func (e ending) result(ctx context.Context) cell.Result {
	switch {
	case e.erred:
		return cell.ServerError
	case e.failed && ctx.Err() == nil:
		return cell.Failed
	default:
		return cell.Answered
	}
}

// whole is an answer that was read to its end.
type whole struct {
	*http.Response
	text []byte
}

// endUnserved answers a request for which no server is left.
func (q *request) endUnserved(ctx context.Context, sends int, err error) {
	if sends > 0 {
		q.fail(ctx, "no other server: "+err.Error())
		return
	}
	q.refuse(http.StatusServiceUnavailable, serverRetry, err.Error())
}

func (q *request) endFailed(ctx context.Context, end ending) {
	if end.kept != nil {
		q.passWhole(end.kept, "")
		return
	}
	q.fail(ctx, end.reason)
}

// mayRepeat tells whether another server may get the request after an attempt that failed. Load that it answers:
// servers that reject because their queues are full, and servers that fail part of their requests.
func (q *request) mayRepeat(end ending, sends int) bool {
	if sends >= maxSends {
		return false
	}
	if !end.notRun && (q.route.Kind != platform.Idempotent || q.ran >= q.route.MaxAttempts) {
		return false
	}
	return end.unsent || q.spendRetries(1)
}

// spendRetries takes more arrivals at the service from the budget that all instances share.
func (q *request) spendRetries(n int) bool {
	if q.handler.RetryBudget(q.service.Name).WithdrawN(n) {
		return true
	}
	q.note(event.RetryBudgetSpent, "", q.service.Name)
	return false
}

// attempt sends the request to one server and passes a good answer on.
func (q *request) attempt(ctx context.Context, id, address string, sends int) ending {
	ctx, stop := q.attemptContext(ctx, sends)
	defer stop()
	resp, err := q.send(ctx, platform.ForwardOptions{Server: id, Address: address})
	if err != nil {
		return q.sendFailed(err)
	}
	defer resp.Body.Close()
	if platform.IsNotRun(resp.Response) {
		return ending{notRun: true, failed: platform.IsMisdirected(resp.Response), reason: fmt.Sprintf("rejected with status %d", resp.StatusCode)}
	}
	q.ran++
	if !platform.IsSealed(resp.Header) || platform.IsEncoded(resp.Header) {
		return ending{failed: true, reason: "the answer bears no proof"}
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxKeptAnswer+1))
	if err != nil {
		return ending{failed: true, reason: "the answer broke off: " + err.Error()}
	}
	if len(text) > maxKeptAnswer {
		q.passLong(resp, text)
		return ending{answered: true}
	}
	answer := &whole{resp.Response, text}
	erred := resp.StatusCode >= http.StatusInternalServerError
	if erred && q.route.Kind == platform.Idempotent {
		return ending{kept: answer, erred: true, reason: fmt.Sprintf("failed with status %d", resp.StatusCode)}
	}
	q.passWhole(answer, id)
	return ending{answered: true, erred: erred}
}

// attemptContext bounds an attempt so that a silent server leaves time for another one.
func (q *request) attemptContext(ctx context.Context, sends int) (context.Context, context.CancelFunc) {
	if q.route.Kind != platform.Idempotent || q.ran+1 >= q.route.MaxAttempts || sends >= maxSends {
		return context.WithCancel(ctx)
	}
	left := q.deadline.Sub(q.handler.Now())
	limit := time.Duration(attemptShare * float64(left))
	if aim := time.Duration(aimShare * float64(q.route.TargetLatency)); aim > 0 {
		limit = min(limit, aim)
	}
	return context.WithTimeout(ctx, max(limit, minAttemptTime))
}

// send sends the request once, with the time that is left.
func (q *request) send(ctx context.Context, f platform.ForwardOptions) (*upstream.Response, error) {
	f.Account = q.account.Name
	f.TimeLeft = q.deadline.Sub(q.handler.Now())
	return q.handler.Servers.Do(ctx, f.Address, q.ID, platform.NewForwardRequest(q.in, q.body, q.Secret, f))
}

func (q *request) sendFailed(err error) ending {
	if errors.Is(err, upstream.ErrNotSent) {
		return ending{notRun: true, unsent: true, failed: true, reason: err.Error()}
	}
	q.ran++
	return ending{failed: true, reason: err.Error()}
}

// passWhole passes an answer on that was read to its end.
func (q *request) passWhole(a *whole, server string) {
	q.begin(a.Response)
	q.out.Header()["Content-Length"] = []string{fmt.Sprint(len(a.text))}
	q.out.WriteHeader(a.StatusCode)
	if _, err := q.out.Write(a.text); err != nil {
		q.cancelled("the answer was not taken: " + err.Error())
	}
	q.done(server, q.doneDetail(a.StatusCode))
}

// doneDetail tells how a request was answered.
func (q *request) doneDetail(status int) string {
	return fmt.Sprintf("status %d after %v, %d servers ran it", status, q.handler.Now().Sub(q.received).Round(time.Millisecond), q.ran)
}

// passLong passes an answer on as it comes; one that breaks off must not look complete.
func (q *request) passLong(resp *upstream.Response, head []byte) {
	q.begin(resp.Response)
	if resp.ContentLength >= 0 {
		q.out.Header()["Content-Length"] = []string{fmt.Sprint(resp.ContentLength)}
	}
	q.out.WriteHeader(resp.StatusCode)
	source := io.MultiReader(bytes.NewReader(head), resp.Body)
	if _, err := io.CopyBuffer(q.out, source, make([]byte, copyBufferBytes)); err != nil {
		q.cancelled("the answer broke off: " + err.Error())
	}
	q.done("", q.doneDetail(resp.StatusCode))
}

// begin sets the header of a server's answer.
func (q *request) begin(resp *http.Response) {
	platform.CopyResponseHeaders(q.out.Header(), resp.Header)
}
