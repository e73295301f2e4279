package cell

import (
	"fmt"
	"time"

	"teaselgate/promise"
)

// Constants of the rate limits of client accounts.
const (
	// initialFill is the part of the burst that a new dispatcher starts with if it can't learn what its predecessor has
	// granted.
	initialFill = 0.15
	// unusedFill is the part of the burst with which an account starts that no instance has had requests of.
	unusedFill = 0.75
	// minRateRetry is the shortest time after which a caller over its rate may retry.
	minRateRetry = 50 * time.Millisecond
	// reachableSlack lets a dispatcher that does not reach a few instances still grant the whole rate. All parts of a
	// partitioned fleet together grant at most this multiple of the rate.
	reachableSlack = 1.2
)

// rateLimiter enforces the rates of client accounts, also while one account sends many times its rate and instances
// fail or are partitioned, so that for a while several dispatchers may limit the same account.
type rateLimiter struct {
	buckets map[string]*tokenBucket
	share   float64 // part of each rate that this dispatcher may grant
	// reports are the newest levels that the instances know from the predecessor, by account. They are nil while they are
	// not known.
	reports map[string]levelReport
}

// levelReport is the level of an account's bucket at a time.
type levelReport struct {
	tokens float64
	at     instant
}

// tokenBucket is the token bucket of an account. Debits of requests that were admitted elsewhere can make its level
// negative.
type tokenBucket struct {
	level, rate, burst float64        // tokens, tokens per second, tokens
	reserved           float64        // tokens of requests that wait until the level allows them
	promises           promise.Ledger // of tokens, to callers that were refused
	at                 instant
	since              instant // when this dispatcher began to count; until then it knew the level from the instances
}

func newRateLimiter() rateLimiter {
	return rateLimiter{buckets: make(map[string]*tokenBucket), share: 1}
}

// setShare sets the share from the part of the fleet that the dispatcher reaches, and the number of cells that limit
// the same accounts.
func (l *rateLimiter) setShare(reachable, known, cells int) {
	l.share = min(1, reachableSlack*float64(reachable)/float64(max(known, 1)*max(cells, 1)))
}

// charge charges a request to its account and reports whether the account had the tokens, or will have them within
// patience. In the latter case it returns the time until then and reserves the tokens, which chargeReserved or unreserve
// ends. Otherwise it charges nothing and returns the time after which to retry.
func (l *rateLimiter) charge(now instant, request PlaceRequest, patience time.Duration) (time.Duration, bool) {
	if request.Charge == 0 || request.Rate <= 0 {
		return 0, true
	}
	b := l.bucket(now, request.Account, request.Rate, request.Burst)
	// A request larger than the burst passes once the bucket is full, and leaves a debt.
	missing := min(float64(request.Charge), b.burst) - (b.level - b.reserved - b.held(now, request))
	if missing <= 0 {
		b.level -= float64(request.Charge)
		return 0, true
	}
	wait := seconds(missing/(b.rate*l.share)).Truncate(time.Millisecond) + time.Millisecond
	if wait <= patience {
		b.reserved += float64(request.Charge)
		return wait, true
	}
	return max(l.promise(now, request, b, wait), minRateRetry), false
}

// held returns the tokens that are held for callers that were told to return about now. Such a caller has them.
func (b *tokenBucket) held(now instant, request PlaceRequest) float64 {
	if request.Return == "" || b.promises.Redeem(now, request.Return) == promise.AsTold {
		return 0
	}
	return b.promises.Due(now, 0)
}

// promise returns the time after which a refused request is to be repeated, behind those of the account that were refused
// before, and records it if its caller can wait that long.
func (l *rateLimiter) promise(now instant, request PlaceRequest, b *tokenBucket, wait time.Duration) time.Duration {
	if !request.Ordered || request.Return == "" {
		return wait
	}
	wait += seconds(b.promises.Outstanding(now, 0) / (b.rate * l.share))
	if request.ReturnWithin == 0 || wait <= request.ReturnWithin {
		b.promises.Make(now, request.Return, promise.Promise{Cost: float64(request.Charge), First: now, At: now.Add(wait)})
	}
	return wait
}

// describe describes the figures that decide whether a request is within its account's rate, for the log.
func (l *rateLimiter) describe(now instant, request PlaceRequest) string {
	b := l.bucket(now, request.Account, request.Rate, request.Burst)
	return fmt.Sprintf("charge %d, level %.0f of %.0f with %.0f reserved, %.0f/s of which %.2f here, counted for %v",
		request.Charge, b.level, b.burst, b.reserved, b.rate, l.share, now.Sub(b.since).Round(time.Millisecond))
}

// chargeReserved charges a request whose tokens were reserved.
func (l *rateLimiter) chargeReserved(request PlaceRequest) {
	if b, ok := l.buckets[request.Account]; ok {
		b.reserved -= float64(request.Charge)
		b.level -= float64(request.Charge)
	}
}

// unreserve gives up the reserved tokens of a request.
func (l *rateLimiter) unreserve(request PlaceRequest) {
	if b, ok := l.buckets[request.Account]; ok {
		b.reserved -= float64(request.Charge)
	}
}

// refund refunds the charge of a request that was not placed.
func (l *rateLimiter) refund(request PlaceRequest) {
	if b, ok := l.buckets[request.Account]; ok && request.Charge > 0 {
		b.level = min(b.level+float64(request.Charge), b.burst)
	}
}

// debit charges tokens of requests that were admitted elsewhere, and returns the time until the account is out of debt.
func (l *rateLimiter) debit(now instant, d Debit) time.Duration {
	if d.Rate <= 0 {
		return 0
	}
	b := l.bucket(now, d.Account, d.Rate, d.Burst)
	b.level -= float64(d.Tokens)
	if b.level >= 0 {
		return 0
	}
	return seconds(-b.level / (b.rate * l.share))
}

// level returns the level of an account's bucket, and false if it has none.
func (l *rateLimiter) level(now instant, account string) (float64, bool) {
	b, ok := l.buckets[account]
	if !ok {
		return 0, false
	}
	return l.bucket(now, account, b.rate, b.burst).level, true
}

func (l *rateLimiter) bucket(now instant, account string, rate, burst float64) *tokenBucket {
	b, ok := l.buckets[account]
	if !ok {
		b = &tokenBucket{level: l.initialLevel(now, account, rate, burst), at: now, since: now}
		l.buckets[account] = b
	}
	b.level = min(burst, b.level+rate*l.share*now.Sub(b.at).Seconds())
	b.rate, b.burst, b.at = rate, burst, now
	return b
}

// initialLevel returns the level of a new bucket: the predecessor's, as far as it is known. A dispatcher that reaches too
// few instances may be in another part of a partitioned fleet than its predecessor, which goes on granting.
func (l *rateLimiter) initialLevel(now instant, account string, rate, burst float64) float64 {
	if l.reports == nil || l.share < 1 {
		return initialFill * burst
	}
	report, ok := l.reports[account]
	if !ok {
		return unusedFill * burst
	}
	return min(report.tokens+rate*now.Sub(report.at).Seconds(), burst)
}

// adoptLevels takes the newest levels that the instances know. Buckets that exist already began with initialFill, and
// keep what was charged to them since.
func (l *rateLimiter) adoptLevels(now instant, reports map[string]levelReport) {
	l.reports = reports
	for account, b := range l.buckets {
		b.level = min(b.level+l.initialLevel(now, account, b.rate, b.burst)-initialFill*b.burst, b.burst)
	}
}
