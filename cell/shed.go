package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"teaselgate/promise"
	"teaselgate/queue"
)

const (
	sweepInterval = 20 * time.Millisecond
	minRetry      = time.Second      // shortest time after which a rejected request may be retried
	maxRetry      = 30 * time.Second // longest such time
)

// admit rejects a new request that could not be placed in time. With an error it returns the time after which to retry.
func (c *Core) admit(now instant, w *waitingRequest) (time.Duration, error) {
	wait := c.predictWait(now, w)
	if retry, err := c.checkServable(now, w, wait); err != nil {
		return retry, err
	}
	if c.queue.Len() >= queue.MaxLength && !c.makeRoom(w) {
		return retryIn(wait), shed.New("cell: the queue is full")
	}
	if c.isRetry(w) {
		return 0, nil
	}
	standing := c.promises.Redeem(now, w.request.Return)
	if isInTime(now, w, wait) {
		c.promises.Withdraw(w.request.Return)
		return 0, nil
	}
	if standing == promise.AsTold {
		c.queueReturned(w)
		return 0, nil
	}
	if !w.Patient || w.Late {
		return c.promiseReturn(now, w, wait), c.waitTooLong(now, w, wait)
	}
	if c.displaceLarger(now, w) {
		return 0, nil
	}
	c.queue.RecordLate(now, &w.Item)
	c.markLate(w)
	if wait = c.predictWait(now, w); now.Add(wait).After(w.waitDeadline) {
		return c.promiseReturn(now, w, wait), c.waitTooLong(now, w, wait)
	}
	return 0, nil
}

// checkServable returns an error if a request can't be served however little waits, with the time after which to retry.
func (c *Core) checkServable(now instant, w *waitingRequest, wait time.Duration) (time.Duration, error) {
	if !c.hasServersFor(w.request) {
		return minRetry, noServer.New("cell: no server in the cell that the request may use")
	}
	if c.piecesNeeded(w.request) > c.decodes[0].pieces {
		return maxRetry, noServer.New("cell: the request needs more memory than any decode server has")
	}
	if now.After(w.waitDeadline) && now.After(w.responseDeadline) {
		retry := retryIn(wait)
		if w.request.Stopping {
			retry = c.promiseReturnElsewhere(now, w)
		}
		return retry, shed.New("cell: the time is too short for an answer: %s", w.timeLeft(now))
	}
	return 0, nil
}

// isInTime reports whether a request that waits for so long is placed well before its deadline for that.
func isInTime(now instant, w *waitingRequest, wait time.Duration) bool {
	return wait.Seconds() <= maxWaitShare*w.waitDeadline.Sub(now).Seconds()
}

// displaceLarger makes a waiting request late that needs much more work, if a new one can be on time in its place. It
// reports whether it did.
func (c *Core) displaceLarger(now instant, w *waitingRequest) bool {
	if !w.request.Ordered {
		return false
	}
	larger := c.queue.Displaced(now, &w.Item)
	rate := c.availableRate(w.Rank)
	if larger == nil || rate == 0 {
		return false
	}
	if wait := c.queue.CostAhead(&w.Item, larger.Cost) / rate; wait > maxWaitShare*w.waitDeadline.Sub(now).Seconds() {
		return false
	}
	c.deferLate(now, c.waiting[larger.Key])
	return true
}

func (c *Core) waitTooLong(now instant, w *waitingRequest, wait time.Duration) error {
	return shed.New("cell: the wait of %v would be too long: rank %d, cost %.0f waits with %.0f of it late, %.0f/s are placed, %s",
		wait.Round(time.Millisecond), w.Rank, c.queue.Cost(), c.queue.LateCost(math.MaxInt),
		c.costRate.PerSecond(), w.timeLeft(now))
}

// predictWait estimates the wait of a new request from the cost ahead of it. An urgent request waits for its account's
// share of the cell, and at most until all waiting urgent requests of its and more urgent ranks are placed; a late one waits
// for all late requests of these ranks, and for what callers that are due to return were promised. For an on-time background
// request predictWait returns 0.
func (c *Core) predictWait(now instant, w *waitingRequest) time.Duration {
	rate := c.costRate.PerSecond()
	switch {
	case rate == 0:
		return 0
	case w.Late:
		ahead := c.queue.LateCost(w.Rank) + c.promises.Due(now, w.Rank)
		return seconds(ahead / c.lateRate(w))
	case w.Background:
		return 0
	default:
		return seconds(c.queue.CostAhead(&w.Item, 0) / c.availableRate(w.Rank))
	}
}

// lateRate returns the cost per second that late requests are predicted to get: what they have got lately, or a floor. During a
// burst they get nothing, but it is over before most callers give up. Where requests differ in what waiting costs, a late one
// may wait long, and the floor is what less urgent ranks keep; otherwise it is the smallest part of the picks.
func (c *Core) lateRate(w *waitingRequest) float64 {
	floor := c.costRate.PerSecond() * queue.MinLateShare
	if w.request.Ordered {
		floor = c.availableRate(w.Rank) * queue.FloorShare
	}
	return max(c.lateCostRate.PerSecond(), floor)
}

// availableRate returns the cost per second that is placed for requests of a rank: the measured rate less what requests of
// more urgent ranks have brought lately, but at least the part that less urgent ranks keep.
func (c *Core) availableRate(rank int) float64 {
	rate := c.costRate.PerSecond()
	return max(rate-c.inflow.before(rank), rate*queue.FloorShare)
}

// makeRoom rejects a request of the account that fills the queue, and reports whether it did so.
func (c *Core) makeRoom(w *waitingRequest) bool {
	i := c.queue.MakeRoom(&w.Item)
	if i == nil {
		return false
	}
	c.reject(c.waiting[i.Key], shed.New("cell: the queue is full"), minRetry)
	return true
}

func (c *Core) reject(w *waitingRequest, err error, retry time.Duration) {
	delete(c.waiting, w.request.Key)
	c.queue.Remove(&w.Item)
	c.limiter.refund(w.request)
	c.decisions = append(c.decisions, Decision{Key: w.request.Key, Err: err, RetryIn: retry})
}

func retryIn(wait time.Duration) time.Duration { return min(max(wait, minRetry), maxRetry) }

// sweep rejects or defers waiting requests that are overdue, and releases reservations past their deadline.
func (c *Core) sweep(now instant) {
	if now.Sub(c.lastSweep) < sweepInterval {
		return
	}
	c.lastSweep = now
	for _, w := range c.overdue(now) {
		if now.After(w.waitDeadline) && (w.Late || !w.Patient) {
			err := shed.New("cell: no place in time: waited %v, %d wait, %s",
				now.Sub(w.arrived).Round(time.Millisecond), c.queue.Len(), w.timeLeft(now))
			c.reject(w, err, c.promiseReturn(now, w, c.predictWait(now, w)))
		} else {
			c.deferLate(now, w)
		}
	}
	for _, r := range c.reservations {
		if now.After(r.deadline) {
			c.Release(now, r.key, Report{})
		}
	}
	c.queue.RemoveIdle()
}

// overdue returns the waiting requests past their wait deadline or their target, oldest first.
func (c *Core) overdue(now instant) []*waitingRequest {
	var out []*waitingRequest
	for _, w := range c.waiting {
		if now.After(w.waitDeadline) || (!w.Late && w.Background && !c.isRetry(w) && now.After(w.Target)) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *waitingRequest) int {
		return cmp.Or(cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.request.Key, b.request.Key))
	})
	return out
}

// deferLate marks a waiting request as late, which puts it behind on-time ones, or rejects it if it would wait too
// long.
func (c *Core) deferLate(now instant, w *waitingRequest) {
	c.queue.RecordLate(now, &w.Item)
	late := *w
	c.markLate(&late)
	if wait := c.predictWait(now, &late); now.Add(wait).After(late.waitDeadline) {
		c.reject(w, c.waitTooLong(now, &late, wait), c.promiseReturn(now, &late, wait))
		return
	}
	c.queue.Remove(&w.Item)
	c.markLate(w)
	c.queue.Push(&w.Item)
}
