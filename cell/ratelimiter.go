package cell

import "time"

// Constants of the accounts' meters.
const (
	// meterStart is the part of the burst that a new dispatcher begins with: the one before may have given it out.
	initialFill = 0.15
	// minMeterRetry is the least time after which a caller over its rate may come back.
	minRateRetry = 50 * time.Millisecond
	// hearingSlack lets a dispatcher that does not hear a few instances still give out the whole rate; all parts of a
	// divided fleet together give out at most this many times it.
	reachableSlack = 1.2
)

// meters hold the client accounts to their rates. Load that they answer: one account sends many times its rate, while
// instances fail or are cut off, so that for a while several dispatchers may meter the same account.
type rateLimiter struct {
	buckets map[string]*tokenBucket
	share   float64 // of each rate that this dispatcher may give out
}

// meter is a token bucket; debts of requests that were metered elsewhere make it negative.
type tokenBucket struct {
	level, rate, burst float64
	at                 instant
}

func newRateLimiter() rateLimiter {
	return rateLimiter{buckets: make(map[string]*tokenBucket), share: 1}
}

// hear sets the share from the part of the fleet that the dispatcher hears, and the number of cells that meter the
// same accounts.
func (m *rateLimiter) setShare(reachable, known, cells int) {
	m.share = min(1, reachableSlack*float64(reachable)/float64(max(known, 1)*max(cells, 1)))
}

// take charges a request, or returns the time after which its account has the tokens.
func (m *rateLimiter) charge(now instant, request PlaceRequest) (time.Duration, bool) {
	if request.Charge == 0 || request.Rate <= 0 {
		return 0, true
	}
	b := m.bucket(now, request.Account, request.Rate, request.Burst)
	// A request larger than the burst passes once the bucket is full, and leaves a debt.
	need := min(float64(request.Charge), b.burst)
	if b.level >= need {
		b.level -= float64(request.Charge)
		return 0, true
	}
	return max(seconds((need-b.level)/(b.rate*m.share)).Truncate(time.Millisecond)+time.Millisecond, minRateRetry), false
}

// giveBack returns the charge of a request that was not placed.
func (m *rateLimiter) refund(request PlaceRequest) {
	if b, ok := m.buckets[request.Account]; ok && request.Charge > 0 {
		b.level = min(b.level+float64(request.Charge), b.burst)
	}
}

// debit takes tokens of requests that were admitted elsewhere, and returns after which time the account is out of debt.
func (m *rateLimiter) debit(now instant, d Debit) time.Duration {
	if d.Rate <= 0 {
		return 0
	}
	b := m.bucket(now, d.Account, d.Rate, d.Burst)
	b.level -= float64(d.Tokens)
	if b.level >= 0 {
		return 0
	}
	return seconds(-b.level / (b.rate * m.share))
}

func (m *rateLimiter) bucket(now instant, account string, rate, burst float64) *tokenBucket {
	b, ok := m.buckets[account]
	if !ok {
		b = &tokenBucket{level: initialFill * burst, at: now}
		m.buckets[account] = b
	}
	b.level = min(burst, b.level+rate*m.share*now.Sub(b.at).Seconds())
	b.rate, b.burst, b.at = rate, burst, now
	return b
}
