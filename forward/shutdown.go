package forward

import (
	"context"
	"net/http"
	"time"

	"teaselgate/outcome"
	"teaselgate/shutdown"
)

// isModelRequest reports whether the request goes to engines, which limit the length of its response.
func (q *request) isModelRequest() bool { return q.service.Engine != nil && q.HasTokenCounts }

// refusedByShutdown refuses a request that has just been read, unless it is certain to end before its instance shuts down. Of a model
// request that is known only when it is placed, at the pace of its engine.
func (q *request) refusedByShutdown() bool {
	q.read = q.handler.Now()
	plan := q.handler.Shutdown()
	if plan.CanEnd(q.read, q.deadline, time.Time{}) || q.isModelRequest() && plan.Admits(q.read) == shutdown.ByLength {
		return false
	}
	q.writer.Header().Set("Connection", "close")
	q.refuse(http.StatusServiceUnavailable, shutdown.RetryAfter, outcome.ErrShuttingDown.Message)
	return true
}

// endReadingAtShutdown returns a context for reading the body. It ends when the body would come too late for the request to be
// passed on before the instance shuts down.
func (q *request) endReadingAtShutdown(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(ctx)
	detach := context.AfterFunc(q.handler.Accepting, func() {
		if !q.handler.Shutdown().CanEnd(q.handler.Now(), q.deadline, time.Time{}) {
			end(outcome.ErrShuttingDown)
		}
	})
	return ctx, func() {
		detach()
		end(nil)
	}
}

// setLongest records when the longest response to a model request ends, if the prefill and the stream take so long from now on. It is
// not known without the time of the stream.
func (m *modelRequest) setLongest(prefill, stream time.Duration) {
	m.longest = time.Time{}
	if stream > 0 {
		m.longest = m.handler.Now().Add(prefill + stream)
	}
}

// canEndBeforeShutdown reports whether the response, at its longest, ends before the instance shuts down.
func (q *request) canEndBeforeShutdown() bool {
	return q.handler.Shutdown().CanEnd(q.read, q.deadline, q.longest)
}
