package forward

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"teaselgate/event"
	"teaselgate/platform"
	"teaselgate/registry"
	"teaselgate/rule"
	"teaselgate/slot"
	"teaselgate/throttle"
	"teaselgate/upstream"
)

// maxDenials is the number of servers of which a request is told that they take no more before it gives up.
const maxDenials = 8

// pickServer picks a server of a plain service that takes a request now. If all that could be picked have reached their
// limits, it returns a throttle.Denial with the first time at which one takes a request.
func (q *request) pickServer(ctx context.Context, tried []string) (rule.Server, error) {
	h := q.handler
	retry := q.unpaid
	q.unpaid = false
	exclude := slices.Concat(h.Backoff.Servers(), h.Limits.Exhausted(), tried)
	var first *throttle.Denial
	for range maxDenials {
		q.picks++
		server, err := h.PickServer(ctx, q.service.Name, q.slotAsk(exclude, retry))
		if errors.Is(err, slot.ErrNoRetry) {
			return server, err
		}
		if err != nil {
			return server, q.firstDenial(first, err)
		}
		retry = false // paid
		err = h.Limits.Acquire(ctx, upstream.ServerKey{Server: server.Server, Address: server.At}, throttle.ForRequest)
		if err == nil {
			return server, nil
		}
		h.UnpickServer(q.slotKey(), server.Server)
		q.record(event.LimitReached, server.Server, "")
		exclude = append(exclude, server.Server)
		var denial *throttle.Denial
		if errors.As(err, &denial) && (first == nil || denial.RetryAt.Before(first.RetryAt)) {
			first = denial
		}
	}
	return rule.Server{}, first
}

// slotKey returns the key of the newest pick.
func (q *request) slotKey() string { return fmt.Sprintf("%s-%d", q.ShortID(), q.picks) }

// slotAsk returns the newest pick's request for a slot.
func (q *request) slotAsk(exclude []string, retry bool) slot.Ask {
	now := q.handler.Now()
	left := q.deadline.Sub(now)
	ask := slot.Ask{
		Key: q.slotKey(), Account: q.account.Name, Weight: 1, Rank: registry.Rank(q.route, q.account),
		Zone: q.handler.Zone, Zones: q.zones, Exclude: exclude, Waited: now.Sub(q.received), Left: max(left, 1),
		Aim: q.route.TargetLatency, First: q.picks == 1, Retry: retry,
	}
	if q.picks == 1 {
		ask.Return, ask.ReturnWithin = q.part, platform.ReturnWithin(left)
	}
	return ask
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
