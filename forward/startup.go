package forward

import (
	"context"
	"slices"
	"time"

	"teaselgate/registry"
)

// Limits on the wait of a request for what an instance learns shortly after its start. They answer the load after the loss
// of all instances: the callers return within a second, to instances that do not know the servers yet. Callers that were
// refused then would have used up their retries before there is a server.
const (
	maxViewWait    = 300 * time.Millisecond // for the configuration
	maxServerWait  = time.Second            // for a live server of each pool
	maxServerShare = 0.4                    // part of the time to the deadline that the wait for servers may take
)

// awaitView returns the view in force. An instance that has just started may not have one yet; then the request waits for
// it, up to maxViewWait. It returns nil if there is none after that.
func (q *request) awaitView() *registry.View {
	if view := q.handler.View(); view != nil {
		return view
	}
	ctx, stop := context.WithTimeout(q.incoming.Context(), maxViewWait)
	defer stop()
	for {
		changed := q.handler.ViewChanged()
		view := q.handler.View()
		if view != nil {
			return view
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// awaitServers waits until each of the pools has a live server, while entries of live servers may be missing.
func (q *request) awaitServers(ctx context.Context, pools ...string) {
	if q.hasServers(pools) {
		return
	}
	limit := min(maxServerWait, time.Duration(maxServerShare*float64(q.deadline.Sub(q.handler.Now()))))
	ctx, stop := context.WithTimeout(ctx, min(limit, q.handler.SettledAt().Sub(q.handler.Now())))
	defer stop()
	for {
		changed := q.handler.ViewChanged()
		q.view = q.handler.View()
		if q.hasServers(pools) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// hasServers reports whether each of the pools has a live server.
func (q *request) hasServers(pools []string) bool {
	return !slices.ContainsFunc(pools, func(pool string) bool { return len(q.liveServers(pool)) == 0 })
}

// serverExpectedIn returns the time after which a request may be retried that found no usable server.
func (q *request) serverExpectedIn() time.Duration {
	return max(q.handler.SettledAt().Sub(q.handler.Now()), noServerRetryAfter)
}
