package allowance

import (
	"math"
	"slices"
	"time"
)

// Behaviour of an entry.
const (
	maxWait       = 500 * time.Millisecond // that a request waits for a grant
	prefetchTime  = time.Second            // of use that a grant to a hot account holds
	prefetchLevel = 400 * time.Millisecond // of use at which the next grant is asked for
	closeTime     = 150 * time.Millisecond // before the end of a grant, the rest is given back
	closeDivisor  = 4                      // part of a short grant's life at whose end the rest is given back
	estimateTime  = 2 * time.Second        // over which use is averaged
	hotRequests   = 4.0                    // in the prefetch time, above which an account is hot
	idleTime      = 10 * time.Second       // after which an unused pool is forgotten
	retryTime     = 20 * time.Millisecond  // before a keeper that could not grant is asked again
	failureTime   = 5 * time.Millisecond   // before the next question after one that failed
)

// pool is what an entry holds of one client account.
type pool struct {
	account    string
	shard      int
	grants     []*grant
	waiters    []*waiter
	asking     bool
	askAt      time.Time // when the keeper may be asked again
	prefetchAt time.Time // when the next grant may be asked for ahead of use
	short      time.Time // when the keeper may have tokens again
	need       int64     // tokens that it was short of
	use        float64   // tokens per second
	size       float64   // tokens per request
	used       time.Time
}

// grant is what is left of a grant at its entry.
type grant struct {
	from     string // holder that made it
	id       uint64
	left     int64
	deadline time.Time
	closeAt  time.Time // when the rest is given back
}

// waiter is a request that waits for a grant.
type waiter struct {
	tokens   int64
	deadline time.Time
	done     chan admission // one place
}

// admission is the answer to a request.
type admission struct {
	parts   []part
	retryAt time.Time
	err     error
}

// part is what an admitted request took from one grant.
type part struct {
	grant  *grant
	tokens int64
}

// live returns the tokens that can be spent now.
func (p *pool) live(now time.Time) int64 {
	var sum int64
	for _, g := range p.grants {
		if now.Before(g.deadline) {
			sum += g.left
		}
	}
	return sum
}

// spend takes tokens from the grants that end first.
func (p *pool) spend(now time.Time, tokens int64) ([]part, bool) {
	if p.live(now) < tokens {
		return nil, false
	}
	slices.SortFunc(p.grants, func(a, b *grant) int { return a.deadline.Compare(b.deadline) })
	var parts []part
	for _, g := range p.grants {
		if n := min(tokens, g.left); n > 0 && now.Before(g.deadline) {
			g.left -= n
			tokens -= n
			parts = append(parts, part{g, n})
		}
	}
	return parts, true
}

// estimate averages the use of the account at this entry.
func (p *pool) estimate(now time.Time, tokens int64) {
	decay := math.Exp(-now.Sub(p.used).Seconds() / estimateTime.Seconds())
	if p.used.IsZero() {
		decay, p.size = 0, float64(tokens)
	}
	p.use = p.use*decay + float64(tokens)/estimateTime.Seconds()
	p.size += (float64(tokens) - p.size) / 8
	p.used = now
}

// hot tells whether the account is worth grants beyond the requests at hand.
func (p *pool) hot(now time.Time) bool {
	return p.useAt(now)*prefetchTime.Seconds() > hotRequests*p.size
}

func (p *pool) useAt(now time.Time) float64 {
	return p.use * math.Exp(-now.Sub(p.used).Seconds()/estimateTime.Seconds())
}

// demand returns what to ask for: need for the first request that waits, want for all and what comes next.
func (p *pool) demand(now time.Time) (need, want int64) {
	for _, w := range p.waiters {
		if need == 0 {
			need = w.tokens
		}
		want += w.tokens
	}
	left := p.live(now)
	need = max(0, need-left)
	if !p.hot(now) {
		return need, max(0, want-left)
	}
	use := p.useAt(now)
	if need == 0 && !now.Before(p.prefetchAt) && float64(left) < use*prefetchLevel.Seconds() {
		need = max(1, int64(p.size))
	}
	if need == 0 {
		return 0, 0
	}
	want += int64(use * prefetchTime.Seconds())
	return need, max(need, want-left)
}

// serve admits the waiting requests in order as far as the grants reach.
func (p *pool) serve(now time.Time) {
	for len(p.waiters) > 0 {
		w := p.waiters[0]
		parts, ok := p.spend(now, w.tokens)
		if !ok {
			return
		}
		p.waiters = p.waiters[1:]
		w.done <- admission{parts: parts}
	}
}

// expire refuses the requests that have waited long enough.
func (p *pool) expire(now time.Time) {
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		if now.Before(w.deadline) {
			return false
		}
		w.done <- p.refusal(now)
		return true
	})
	p.grants = slices.DeleteFunc(p.grants, func(g *grant) bool { return !now.Before(g.deadline) })
}

// refuseShort refuses at once the requests that the keeper will not have tokens for in time.
func (p *pool) refuseShort(now time.Time) {
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		if w.tokens < p.need || !w.deadline.Before(p.short) {
			return false
		}
		w.done <- p.refusal(now)
		return true
	})
}

func (p *pool) refusal(now time.Time) admission {
	if now.Before(p.short) {
		return admission{retryAt: p.short, err: ErrExhausted}
	}
	return admission{retryAt: now.Add(maxWait), err: ErrUnavailable}
}

// closing takes out the rest of grants that are about to end.
func (p *pool) closing(now time.Time, from string) []ReturnedGrant {
	var out []ReturnedGrant
	for _, g := range p.grants {
		if g.from != from || g.left == 0 || now.Before(g.closeAt) || !now.Before(g.deadline) {
			continue
		}
		out = append(out, ReturnedGrant{g.id, g.left})
		g.left, g.deadline = 0, time.Time{} // a request that ends later gives nothing back to it
	}
	return out
}

func (p *pool) idle(now time.Time) bool {
	return len(p.waiters) == 0 && len(p.grants) == 0 && !p.asking && now.Sub(p.used) > idleTime
}
