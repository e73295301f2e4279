package cell

import (
	"cmp"
	"slices"
	"time"
)

// maxRateWaitShare is the largest part of a request's time until it would be late for which it may wait for the tokens of
// its account. The rest is left for the wait for a server.
const maxRateWaitShare = 0.5

// delayedRequest is a request that is not queued yet: it waits for the tokens of its account, or until the levels of the
// accounts are known.
type delayedRequest struct {
	request   PlaceRequest
	submitted instant
	due       instant
	reserved  bool // whether the tokens are reserved; if not, the request has not been charged
}

// aged returns the request with the times as they are now.
func (d *delayedRequest) aged(now instant) PlaceRequest {
	r, waited := d.request, now.Sub(d.submitted)
	r.Waited += waited
	if r.Left > 0 {
		r.Left = max(r.Left-waited, 1)
	}
	return r
}

// shorten limits the time of a request whose instance has begun to stop.
func (d *delayedRequest) shorten(now instant, request PlaceRequest) {
	if request.Stopping && !d.request.Stopping {
		d.request.Left, d.request.Stopping = request.Left+now.Sub(d.submitted), true
	}
}

// chargeAndQueue charges a request to its account and queues it. An account whose requests come in groups exceeds its
// burst for tenths of a second, though it is within its rate. If the account has the tokens soon enough for a response in
// time, the request waits for them; otherwise it is rejected at once.
func (c *Core) chargeAndQueue(now instant, request PlaceRequest) {
	patience := time.Duration(maxRateWaitShare * float64(c.newWaitingRequest(now, request).Target.Sub(now)))
	wait, ok := c.limiter.charge(now, request, patience)
	switch {
	case !ok:
		c.decisions = append(c.decisions, Decision{
			Key: request.Key, RetryIn: wait,
			Err: overRate.New("cell: account %s is over its rate: %s", request.Account, c.limiter.describe(now, request)),
		})
	case wait > 0:
		c.delayed[request.Key] = &delayedRequest{request: request, submitted: now, due: now.Add(wait), reserved: true}
	default:
		c.enqueue(now, request)
	}
}

// enqueue queues a charged request, or rejects it if it could not be placed in time.
func (c *Core) enqueue(now instant, request PlaceRequest) {
	w := c.newWaitingRequest(now, request)
	c.inflow.add(now, w.Rank, w.Cost)
	if retry, err := c.admit(now, w); err != nil {
		c.limiter.refund(request)
		c.decisions = append(c.decisions, Decision{Key: request.Key, Err: err, RetryIn: retry})
		return
	}
	c.waiting[request.Key] = w
	c.queue.Push(&w.Item)
}

// queueDue queues the delayed requests that are due.
func (c *Core) queueDue(now instant) {
	var due []*delayedRequest
	for _, d := range c.delayed {
		if !d.due.After(now) {
			due = append(due, d)
		}
	}
	slices.SortFunc(due, func(a, b *delayedRequest) int {
		return cmp.Or(
			cmp.Compare(a.due, b.due), cmp.Compare(a.submitted, b.submitted), cmp.Compare(a.request.Key, b.request.Key),
		)
	})
	for _, d := range due {
		delete(c.delayed, d.request.Key)
		if !d.reserved {
			c.chargeAndQueue(now, d.aged(now))
			continue
		}
		c.limiter.chargeReserved(d.request)
		c.enqueue(now, d.aged(now))
	}
}

// cancelDelayed cancels a delayed request.
func (c *Core) cancelDelayed(key string) {
	if d, ok := c.delayed[key]; ok {
		delete(c.delayed, key)
		if d.reserved {
			c.limiter.unreserve(d.request)
		}
	}
}

// awaitLevels delays new requests until the levels of the accounts are adopted, at most until a time.
func (c *Core) awaitLevels(until instant) { c.levelsDue = until }

// adoptLevels takes the levels of the accounts' buckets at the predecessor, and ends the delay of new requests. Without
// levels the accounts begin with a small part of their burst.
func (c *Core) adoptLevels(now instant, reports map[string]levelReport) {
	if reports != nil {
		c.limiter.adoptLevels(now, reports)
	}
	c.levelsDue = now
	for _, d := range c.delayed {
		if !d.reserved {
			d.due = now
		}
	}
}
