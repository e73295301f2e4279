package forward

import (
	"net/http"
	"time"

	"teaselgate/upstream"
)

// refusedByBackoff refuses the request if no live server of one of the pools that it needs takes requests at present, with
// the time at which the first of them does. It reports whether it did. A burst that fills all queues of a service leads to
// that, or one beyond the limits that all its servers name: waiting would only make the requests late.
func (q *request) refusedByBackoff(pools ...string) bool {
	if len(q.handler.Backoff.Servers()) == 0 && len(q.handler.Limits.Exhausted()) == 0 {
		return false
	}
	for _, pool := range pools {
		if until := q.poolBackoff(pool); !until.IsZero() {
			q.refuse(http.StatusServiceUnavailable, max(until.Sub(q.handler.Now()), minRateRetryAfter),
				"all servers of "+pool+" want no requests")
			return true
		}
	}
	return false
}

// poolBackoff returns the time at which the first live server of a pool takes requests again, or the zero time if one
// takes them now or there is none.
func (q *request) poolBackoff(pool string) time.Time {
	var first time.Time
	for _, s := range q.liveServers(pool) {
		key := upstream.ServerKey{Server: s.Server, Address: s.At}
		until := later(q.handler.Backoff.Until(key), q.handler.Limits.RetryAt(key))
		if until.IsZero() {
			return time.Time{}
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
