package allowance

import (
	"math"
	"slices"
	"time"
)

// Behaviour of an entry.
const (
	maxGrantWait      = 500 * time.Millisecond // that a request waits for a grant
	prefetchDuration  = time.Second            // of use that a grant to a hot account holds
	prefetchThreshold = 400 * time.Millisecond // of use at which the next grant is asked for
	maxReturnLead     = 150 * time.Millisecond // before the end of a grant, the rest is given back
	returnLeadDivisor = 4                      // part of a short grant's life at whose end the rest is given back
	usageDecayTime    = 2 * time.Second        // over which use is averaged
	hotRequestCount   = 4.0                    // in the prefetch time, above which an account is hot
	idleTimeout       = 10 * time.Second       // after which an unused pool is forgotten
	retryDelay        = 20 * time.Millisecond  // before a keeper that could not grant is asked again
	failureRetryDelay = 5 * time.Millisecond   // before the next question after one that failed
)

// pool is what an entry holds of one client account.
type accountQuota struct {
	account           string
	shard             int
	grants            []*grant
	waiters           []*waiter
	requestInFlight   bool
	nextRequestAt     time.Time // when the keeper may be asked again
	nextPrefetchAt    time.Time // when the next grant may be asked for ahead of use
	shortUntil        time.Time // when the keeper may have tokens again
	shortNeed         int64     // tokens that it was short of
	usageRate         float64   // tokens per second
	meanRequestTokens float64   // tokens per request
	lastUsed          time.Time
}

// grant is what is left of a grant at its entry.
type grant struct {
	issuer    string // holder that made it
	id        uint64
	remaining int64
	deadline  time.Time
	returnAt  time.Time // when the rest is given back
}

// waiter is a request that waits for a grant.
type waiter struct {
	tokens   int64
	deadline time.Time
	result   chan admission // one place
}

// admission is the answer to a request.
type admission struct {
	debits  []debit
	retryAt time.Time
	err     error
}

// part is what an admitted request took from one grant.
type debit struct {
	grant  *grant
	tokens int64
}

// live returns the tokens that can be spent now.
func (q *accountQuota) spendable(now time.Time) int64 {
	var sum int64
	for _, g := range q.grants {
		if now.Before(g.deadline) {
			sum += g.remaining
		}
	}
	return sum
}

// spend takes tokens from the grants that end first.
func (q *accountQuota) spend(now time.Time, tokens int64) ([]debit, bool) {
	if q.spendable(now) < tokens {
		return nil, false
	}
	slices.SortFunc(q.grants, func(a, b *grant) int { return a.deadline.Compare(b.deadline) })
	var debits []debit
	for _, g := range q.grants {
		if n := min(tokens, g.remaining); n > 0 && now.Before(g.deadline) {
			g.remaining -= n
			tokens -= n
			debits = append(debits, debit{g, n})
		}
	}
	return debits, true
}

// estimate averages the use of the account at this entry.
func (q *accountQuota) recordUsage(now time.Time, tokens int64) {
	decay := math.Exp(-now.Sub(q.lastUsed).Seconds() / usageDecayTime.Seconds())
	if q.lastUsed.IsZero() {
		decay, q.meanRequestTokens = 0, float64(tokens)
	}
	q.usageRate = q.usageRate*decay + float64(tokens)/usageDecayTime.Seconds()
	q.meanRequestTokens += (float64(tokens) - q.meanRequestTokens) / 8
	q.lastUsed = now
}

// hot tells whether the account is worth grants beyond the requests at hand.
func (q *accountQuota) isHot(now time.Time) bool {
	return q.usageRateAt(now)*prefetchDuration.Seconds() > hotRequestCount*q.meanRequestTokens
}

func (q *accountQuota) usageRateAt(now time.Time) float64 {
	return q.usageRate * math.Exp(-now.Sub(q.lastUsed).Seconds()/usageDecayTime.Seconds())
}

// demand returns what to ask for: need for the first request that waits, want for all and what comes next.
func (q *accountQuota) demand(now time.Time) (need, want int64) {
	for _, w := range q.waiters {
		if need == 0 {
			need = w.tokens
		}
		want += w.tokens
	}
	available := q.spendable(now)
	need = max(0, need-available)
	if !q.isHot(now) {
		return need, max(0, want-available)
	}
	rate := q.usageRateAt(now)
	if need == 0 && !now.Before(q.nextPrefetchAt) && float64(available) < rate*prefetchThreshold.Seconds() {
		need = max(1, int64(q.meanRequestTokens))
	}
	if need == 0 {
		return 0, 0
	}
	want += int64(rate * prefetchDuration.Seconds())
	return need, max(need, want-available)
}

// serve admits the waiting requests in order as far as the grants reach.
func (q *accountQuota) admitWaiters(now time.Time) {
	for len(q.waiters) > 0 {
		w := q.waiters[0]
		debits, ok := q.spend(now, w.tokens)
		if !ok {
			return
		}
		q.waiters = q.waiters[1:]
		w.result <- admission{debits: debits}
	}
}

// expire refuses the requests that have waited long enough.
func (q *accountQuota) expire(now time.Time) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if now.Before(w.deadline) {
			return false
		}
		w.result <- q.refusal(now)
		return true
	})
	q.grants = slices.DeleteFunc(q.grants, func(g *grant) bool { return !now.Before(g.deadline) })
}

// refuseShort refuses at once the requests that the keeper will not have tokens for in time.
func (q *accountQuota) refuseUnfillable(now time.Time) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if w.tokens < q.shortNeed || !w.deadline.Before(q.shortUntil) {
			return false
		}
		w.result <- q.refusal(now)
		return true
	})
}

func (q *accountQuota) refusal(now time.Time) admission {
	if now.Before(q.shortUntil) {
		return admission{retryAt: q.shortUntil, err: ErrExhausted}
	}
	return admission{retryAt: now.Add(maxGrantWait), err: ErrUnavailable}
}

// closing takes out the rest of grants that are about to end.
func (q *accountQuota) returnExpiring(now time.Time, issuer string) []ReturnedGrant {
	var out []ReturnedGrant
	for _, g := range q.grants {
		if g.issuer != issuer || g.remaining == 0 || now.Before(g.returnAt) || !now.Before(g.deadline) {
			continue
		}
		out = append(out, ReturnedGrant{g.id, g.remaining})
		g.remaining, g.deadline = 0, time.Time{} // a request that ends later gives nothing back to it
	}
	return out
}

func (q *accountQuota) isIdle(now time.Time) bool {
	return len(q.waiters) == 0 && len(q.grants) == 0 && !q.requestInFlight && now.Sub(q.lastUsed) > idleTimeout
}
