package forward

import (
	"context"
	"errors"
	"slices"

	"teaselgate/event"
	"teaselgate/rule"
	"teaselgate/throttle"
	"teaselgate/upstream"
)

// maxDenials is the number of servers of which a request is told that they take no more before it gives up.
const maxDenials = 8

// pickServer picks a server of a plain service that takes a request now. If all that could be picked have reached their
// limits, it returns a throttle.Denial with the first time at which one takes a request.
func (q *request) pickServer(ctx context.Context, tried []string) (rule.Server, error) {
	h := q.handler
	exclude := slices.Concat(h.Backoff.Servers(), h.Limits.Exhausted(), tried, q.serversElsewhere(q.service.Name))
	var first *throttle.Denial
	for range maxDenials {
		server, err := h.PickServer(q.service.Name, exclude)
		if err != nil {
			return server, q.firstDenial(first, err)
		}
		err = h.Limits.Acquire(ctx, upstream.ServerKey{Server: server.Server, Address: server.At}, throttle.ForRequest)
		if err == nil {
			return server, nil
		}
		h.UnpickServer(server.Server)
		q.record(event.LimitReached, server.Server, "")
		exclude = append(exclude, server.Server)
		var denial *throttle.Denial
		if errors.As(err, &denial) && (first == nil || denial.RetryAt.Before(first.RetryAt)) {
			first = denial
		}
	}
	return rule.Server{}, first
}

// firstDenial returns the earliest denial of a server of the request's service, or err if there is none.
func (q *request) firstDenial(first *throttle.Denial, err error) error {
	for _, s := range q.liveServers(q.service.Name) {
		retryAt := q.handler.Limits.RetryAt(upstream.ServerKey{Server: s.Server, Address: s.At})
		if !retryAt.IsZero() && (first == nil || retryAt.Before(first.RetryAt)) {
			first = &throttle.Denial{RetryAt: retryAt}
		}
	}
	if first == nil {
		return err
	}
	return first
}
