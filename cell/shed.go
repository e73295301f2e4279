package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"teaselgate/rule"
)

const (
	sweepInterval         = 20 * time.Millisecond
	minRetry              = time.Second      // shortest time after which a rejected request may be retried
	maxRetry              = 30 * time.Second // longest such time
	costRateWindow        = 3 * time.Second  // time constant of the decay
	costRateWarmupSeconds = 0.3              // time with waiting requests before the rate is used

	// minLateShare is the smallest share of the picks that late requests get.
	minLateShare = 1.0 / (backgroundPickInterval * latePickInterval)
)

// costRateMeter measures the cost placed per second over the time in which requests are waiting.
type costRateMeter struct {
	cost, waitSeconds float64 // decaying sums of the cost placed and of the time with waiting requests
	at                instant
}

func (m *costRateMeter) advance(now instant, waiting bool) {
	if !m.at.IsZero() && waiting {
		dt := now.Sub(m.at).Seconds()
		keep := math.Exp(-dt / costRateWindow.Seconds())
		m.cost *= keep
		m.waitSeconds = m.waitSeconds*keep + dt
	}
	m.at = now
}

func (m *costRateMeter) add(cost float64) { m.cost += cost }

// scale changes the measured rate by a factor.
func (m *costRateMeter) scale(factor float64) { m.cost *= factor }

// perSecond returns the rate, or 0 before costRateWarmupSeconds with waiting requests.
func (m *costRateMeter) perSecond() float64 {
	if m.waitSeconds < costRateWarmupSeconds {
		return 0
	}
	return m.cost / m.waitSeconds
}

// admit rejects a new request that could not be placed in time. With an error it returns the time after which to retry.
func (c *Core) admit(now instant, w *waitingRequest) (time.Duration, error) {
	if !c.hasServersFor(w.request) {
		return minRetry, noServer.New("cell: no server in the cell that the request may use")
	}
	if c.piecesNeeded(w.request) > c.decodes[0].pieces {
		return maxRetry, noServer.New("cell: the request needs more memory than any decode server has")
	}
	wait := c.predictWait(w)
	if c.queue.length >= maxQueueLength && !c.makeRoom(w) {
		return retryIn(wait), shed.New("cell: the queue is full")
	}
	if now.After(w.waitDeadline) && now.After(w.responseDeadline) {
		return retryIn(wait), shed.New("cell: the caller's time is too short for an answer")
	}
	if c.isRetry(w) {
		return 0, nil
	}
	if wait.Seconds() <= maxWaitShare*w.waitDeadline.Sub(now).Seconds() {
		return 0, nil
	}
	if w.request.Class != rule.ClassPatient || w.late {
		return retryIn(wait), c.waitTooLong(now, w, wait)
	}
	c.markLate(w)
	if wait = c.predictWait(w); now.Add(wait).After(w.waitDeadline) {
		return retryIn(wait), c.waitTooLong(now, w, wait)
	}
	return 0, nil
}

func (c *Core) waitTooLong(now instant, w *waitingRequest, wait time.Duration) error {
	return shed.New("cell: the wait of %v would be too long: cost %.0f waits with %.0f of it late, %.0f/s are placed, %v left",
		wait.Round(time.Millisecond), c.queue.waitingCost[0]+c.queue.waitingCost[1], c.queue.lateCost,
		c.costRate.perSecond(), w.waitDeadline.Sub(now).Round(time.Millisecond))
}

// markLate marks a request that has missed its target or is predicted to miss it. The request must not be in the queue.
func (c *Core) markLate(w *waitingRequest) {
	w.late = true
	w.waitDeadline = w.responseDeadline
}

// isRetry reports whether an earlier attempt of the request failed through no fault of its caller.
func (c *Core) isRetry(w *waitingRequest) bool { return len(w.request.Exclude) > 0 }

// predictWait estimates the wait of a new request from the cost ahead of it. An urgent request waits for its account's
// share of the cell, and at most until all waiting urgent requests are placed; a late one waits for all late requests.
// For an on-time background request predictWait returns 0.
func (c *Core) predictWait(w *waitingRequest) time.Duration {
	rate := c.costRate.perSecond()
	if rate == 0 {
		return 0
	}
	q, a := c.queue, w.account
	if w.late {
		return seconds(q.lateCost / max(c.lateCostRate.perSecond(), rate*minLateShare))
	}
	if !w.urgent() {
		return 0
	}
	weights := q.activeWeight
	if a.urgent.len()+a.backgroundLen() == 0 {
		weights += a.weight
	}
	own := (a.urgentCost/a.weight + max(a.virtualStart-q.virtualTime-c.urgentLead(), 0)) * weights
	return seconds(min(own, q.waitingCost[0]) / rate)
}

// makeRoom rejects the newest request of the account with the most waiting cost per weight, a background request if
// there is one, so that an account that fills the queue does not shut out the others. It reports whether it did so.
func (c *Core) makeRoom(w *waitingRequest) bool {
	var worst *accountQueue
	for _, a := range c.queue.accounts {
		if worst == nil || (a.urgentCost+a.backgroundCost)/a.weight > (worst.urgentCost+worst.backgroundCost)/worst.weight {
			worst = a
		}
	}
	if worst == nil || worst == w.account {
		return false
	}
	for _, f := range []*fifo[*waitingRequest]{&worst.late, &worst.onTime, &worst.urgent} {
		if n := f.len(); n > 0 {
			c.reject(f.items[n-1], shed.New("cell: the queue is full"), minRetry)
			return true
		}
	}
	return false
}

func (c *Core) reject(w *waitingRequest, err error, retry time.Duration) {
	delete(c.waiting, w.request.Key)
	c.queue.remove(w)
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
		if now.After(w.waitDeadline) && (w.late || w.request.Class != rule.ClassPatient) {
			c.reject(w, shed.New("cell: no place in time: waited %v, %d wait", now.Sub(w.arrived).Round(time.Millisecond), c.queue.length), retryIn(c.predictWait(w)))
		} else {
			c.deferLate(now, w)
		}
	}
	for _, r := range c.reservations {
		if now.After(r.deadline) {
			c.Release(now, r.key, Report{})
		}
	}
	c.queue.removeIdle()
}

// overdue returns the waiting requests past their wait deadline or their target, oldest first.
func (c *Core) overdue(now instant) []*waitingRequest {
	var out []*waitingRequest
	for _, w := range c.waiting {
		if now.After(w.waitDeadline) || (!w.late && !w.urgent() && !c.isRetry(w) && now.After(w.targetDeadline)) {
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
	late := *w
	c.markLate(&late)
	if wait := c.predictWait(&late); now.Add(wait).After(late.waitDeadline) {
		c.reject(w, c.waitTooLong(now, &late, wait), retryIn(wait))
		return
	}
	c.queue.remove(w)
	c.markLate(w)
	c.queue.push(w)
}
