package cell

import "time"

// Constants of the rate limits of client accounts.
const (
	// initialFill is the part of the burst that a new dispatcher starts with: its predecessor may have granted it.
	initialFill = 0.15
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
}

// tokenBucket is the token bucket of an account. Debits of requests that were admitted elsewhere can make its level
// negative.
type tokenBucket struct {
	level, rate, burst float64 // tokens, tokens per second, tokens
	at                 instant
}

func newRateLimiter() rateLimiter {
	return rateLimiter{buckets: make(map[string]*tokenBucket), share: 1}
}

// setShare sets the share from the part of the fleet that the dispatcher reaches, and the number of cells that limit
// the same accounts.
func (l *rateLimiter) setShare(reachable, known, cells int) {
	l.share = min(1, reachableSlack*float64(reachable)/float64(max(known, 1)*max(cells, 1)))
}

// charge charges a request to its account and reports whether the account had the tokens. If it had not, it charges
// nothing and returns the time after which to retry.
func (l *rateLimiter) charge(now instant, request PlaceRequest) (time.Duration, bool) {
	if request.Charge == 0 || request.Rate <= 0 {
		return 0, true
	}
	b := l.bucket(now, request.Account, request.Rate, request.Burst)
	// A request larger than the burst passes once the bucket is full, and leaves a debt.
	need := min(float64(request.Charge), b.burst)
	if b.level >= need {
		b.level -= float64(request.Charge)
		return 0, true
	}
	return max(seconds((need-b.level)/(b.rate*l.share)).Truncate(time.Millisecond)+time.Millisecond, minRateRetry), false
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

func (l *rateLimiter) bucket(now instant, account string, rate, burst float64) *tokenBucket {
	b, ok := l.buckets[account]
	if !ok {
		b = &tokenBucket{level: initialFill * burst, at: now}
		l.buckets[account] = b
	}
	b.level = min(burst, b.level+rate*l.share*now.Sub(b.at).Seconds())
	b.rate, b.burst, b.at = rate, burst, now
	return b
}
