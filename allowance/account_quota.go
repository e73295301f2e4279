package allowance

import (
	"math"
	"slices"
	"time"
)

// Parameters of the grant client.
const (
	maxGrantWait      = 500 * time.Millisecond // longest time that a request waits for a grant
	prefetchDuration  = time.Second            // time of use that a grant for a hot account should last
	prefetchThreshold = 400 * time.Millisecond // remaining time of use below which the next grant is requested
	maxReturnLead     = 150 * time.Millisecond // time before a grant's deadline at which its unspent tokens are returned
	returnLeadDivisor = 4                      // a short grant is returned when a quarter of its duration is left
	usageDecayTime    = 2 * time.Second        // time constant of the moving average of the usage rate
	hotRequestCount   = 4.0                    // requests per prefetchDuration above which an account is hot
	idleTimeout       = 10 * time.Second       // time without requests after which an account's quota is removed
	retryDelay        = 20 * time.Millisecond  // delay before asking again after a refusal, and before the next prefetch
	failureRetryDelay = 5 * time.Millisecond   // delay before the next request after a failed one
)

// accountQuota is the quota that an instance holds for one client account.
type accountQuota struct {
	account           string
	shard             int
	grants            []*grant
	waiters           []*waiter
	requestInFlight   bool
	nextRequestAt     time.Time // earliest time of the next request for grants
	nextPrefetchAt    time.Time // earliest time of the next request for a grant ahead of use
	shortUntil        time.Time // time at which the primary is expected to have shortNeed tokens
	shortNeed         int64     // tokens that the primary last could not grant
	usageRate         float64   // moving average, in tokens per second, as of lastUsed
	meanRequestTokens float64   // moving average of the tokens per request
	lastUsed          time.Time // time of the newest request
}

// grant is a grant of tokens that this instance holds.
type grant struct {
	issuer    string // incarnationKey of the instance that made the grant
	id        uint64 // assigned by the issuer
	remaining int64  // unspent tokens
	deadline  time.Time
	returnAt  time.Time // time at which the unspent tokens are returned
}

// waiter is a request that waits for a grant.
type waiter struct {
	tokens   int64
	deadline time.Time
	result   chan admission // buffered, so that sending never blocks
}

// admission is the decision on a request: the debits of an admitted one, or the error of a refused one.
type admission struct {
	debits  []debit
	retryAt time.Time // time at which a refused request may be retried
	err     error
}

// debit is the number of tokens that an admitted request took from one grant.
type debit struct {
	grant  *grant
	tokens int64
}

// spendable returns the number of unspent tokens in grants that have not expired.
func (q *accountQuota) spendable(now time.Time) int64 {
	var sum int64
	for _, g := range q.grants {
		if now.Before(g.deadline) {
			sum += g.remaining
		}
	}
	return sum
}

// spend takes tokens from the grants, those with the earliest deadline first. It reports whether there were enough.
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

// recordUsage adds a request to the averages of the account's usage at this instance.
func (q *accountQuota) recordUsage(now time.Time, tokens int64) {
	decay := math.Exp(-now.Sub(q.lastUsed).Seconds() / usageDecayTime.Seconds())
	if q.lastUsed.IsZero() {
		decay, q.meanRequestTokens = 0, float64(tokens)
	}
	q.usageRate = q.usageRate*decay + float64(tokens)/usageDecayTime.Seconds()
	q.meanRequestTokens += (float64(tokens) - q.meanRequestTokens) / 8
	q.lastUsed = now
}

// isHot reports whether the account is used enough at this instance to request grants ahead of use.
func (q *accountQuota) isHot(now time.Time) bool {
	return q.usageRateAt(now)*prefetchDuration.Seconds() > hotRequestCount*q.meanRequestTokens
}

func (q *accountQuota) usageRateAt(now time.Time) float64 {
	return q.usageRate * math.Exp(-now.Sub(q.lastUsed).Seconds()/usageDecayTime.Seconds())
}

// demand returns the tokens to request beyond the spendable ones: need covers the first waiting request or the next
// prefetch, want covers all waiting requests and, for a hot account, the expected use.
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

// admitWaiters admits waiting requests in order until the grants don't cover the next one.
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

// expire refuses the waiting requests past their deadline and removes expired grants.
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

// refuseUnfillable refuses the waiting requests for which the primary will not have tokens before their deadline.
func (q *accountQuota) refuseUnfillable(now time.Time) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool {
		if w.tokens < q.shortNeed || !w.deadline.Before(q.shortUntil) {
			return false
		}
		w.result <- q.refusal(now)
		return true
	})
}

// refusal returns the decision to refuse a request: with ErrExhausted while the primary is known to be short of tokens,
// otherwise with ErrUnavailable.
func (q *accountQuota) refusal(now time.Time) admission {
	if now.Before(q.shortUntil) {
		return admission{retryAt: q.shortUntil, err: ErrExhausted}
	}
	return admission{retryAt: now.Add(maxGrantWait), err: ErrUnavailable}
}

// returnExpiring closes the grants of an issuer that are about to expire and returns their unspent tokens.
func (q *accountQuota) returnExpiring(now time.Time, issuer string) []ReturnedGrant {
	var out []ReturnedGrant
	for _, g := range q.grants {
		if g.issuer != issuer || g.remaining == 0 || now.Before(g.returnAt) || !now.Before(g.deadline) {
			continue
		}
		out = append(out, ReturnedGrant{g.id, g.remaining})
		g.remaining, g.deadline = 0, time.Time{} // no request may return tokens to a closed grant
	}
	return out
}

func (q *accountQuota) isIdle(now time.Time) bool {
	return len(q.waiters) == 0 && len(q.grants) == 0 && !q.requestInFlight && now.Sub(q.lastUsed) > idleTimeout
}
