package allowance

import (
	"math"
	"time"

	"teaselgate/rule"
)

// ledger holds the buckets of a shard's client accounts at its primary.
type ledger struct {
	start    time.Time // buckets are empty at this time; zero: full from the beginning
	accounts map[string]*balance
	swept    time.Time
}

// balance is the bucket of one client account: level + outstanding never exceeds burst.
type balance struct {
	rate, burst float64 // of the rule by which the level was counted
	level       float64 // tokens that may be granted
	updated     time.Time
	grants      []grantRecord
	outstanding int64 // tokens granted, neither returned nor expired
}

// grantRecord is a grant that has not expired at its entry.
type grantRecord struct {
	id       uint64
	tokens   int64
	deadline time.Time
}

// noAge is the age of a ledger whose buckets were full from the beginning.
const noAge = time.Duration(math.MaxInt64)

// shareDivisor is the part of a bucket that one grant may take beyond what is needed at once.
const shareDivisor = 2.0

// sweepInterval is the time between two searches for buckets that need not be kept.
const sweepInterval = 10 * time.Second

func newLedger(start time.Time) *ledger {
	return &ledger{start: start, accounts: make(map[string]*balance)}
}

// balance returns the bucket of an account at a time, by the rule in force.
func (l *ledger) balance(now time.Time, a rule.Account, c *changed) *balance {
	b := l.accounts[a.Account]
	if b == nil {
		b = l.open(now, a, c)
		l.accounts[a.Account] = b
	}
	b.advance(now)
	b.follow(a)
	return b
}

// open makes the bucket of an account that none is kept of: it has been idle since the start.
func (l *ledger) open(now time.Time, a rule.Account, c *changed) *balance {
	b := &balance{rate: float64(a.Rate), burst: float64(a.Burst), updated: now}
	rate := b.rate
	if c != nil {
		rate = min(rate, c.slowest)
	}
	switch {
	case l.start.IsZero():
		b.level = b.burst
	case now.After(l.start):
		b.level = min(b.burst, rate*now.Sub(l.start).Seconds())
	}
	if c != nil {
		c.idle.advance(now)
		b.level = min(b.level, c.idle.level)
	}
	return b
}

// follow puts a changed rule in force: it makes no tokens, and takes away those above the new burst.
func (b *balance) follow(a rule.Account) {
	b.rate, b.burst = float64(a.Rate), float64(a.Burst)
	b.level = min(b.level, max(0, b.burst-float64(b.outstanding)))
}

// advance refills the bucket up to a time; grants that expire on the way count as spent from then on.
func (b *balance) advance(now time.Time) {
	for {
		next := -1
		for i, g := range b.grants {
			if !g.deadline.After(now) && (next < 0 || g.deadline.Before(b.grants[next].deadline)) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		b.refill(b.grants[next].deadline)
		b.remove(next)
	}
	b.refill(now)
}

func (b *balance) refill(to time.Time) {
	if !to.After(b.updated) {
		return
	}
	room := max(0, b.burst-float64(b.outstanding))
	if b.level < room {
		b.level = min(room, b.level+b.rate*to.Sub(b.updated).Seconds())
	}
	b.updated = to
}

func (b *balance) remove(i int) {
	b.outstanding -= b.grants[i].tokens
	last := len(b.grants) - 1
	b.grants[i] = b.grants[last]
	b.grants = b.grants[:last]
}

// grant makes a grant of at least the tokens needed; without them it returns the time until they are there. What is
// wanted ahead of use gets a part of the bucket only.
func (b *balance) grant(id uint64, deadline time.Time, item TakeItem) (int64, time.Duration) {
	if b.level < float64(item.Need) {
		if b.rate <= 0 {
			return 0, math.MaxInt64
		}
		return 0, time.Duration((float64(item.Need) - b.level) / b.rate * float64(time.Second))
	}
	most := b.level
	if item.Ahead {
		most /= shareDivisor
	}
	tokens := max(item.Need, min(item.Want, int64(most)))
	b.level -= float64(tokens)
	b.outstanding += tokens
	b.grants = append(b.grants, grantRecord{id, tokens, deadline})
	return tokens, 0
}

// giveBack closes a grant; the tokens that the entry did not spend return to the bucket.
func (b *balance) giveBack(id uint64, unspent int64) {
	for i, g := range b.grants {
		if g.id == id {
			b.remove(i)
			room := max(b.level, b.burst-float64(b.outstanding))
			b.level = min(room, b.level+float64(max(0, min(unspent, g.tokens))))
			return
		}
	}
}

// export returns the buckets that a new ledger could not know of.
func (l *ledger) export(now time.Time) []BucketState {
	out := make([]BucketState, 0, len(l.accounts))
	for name, b := range l.accounts {
		b.advance(now)
		out = append(out, BucketState{name, b.level, b.outstanding})
	}
	return out
}

// age returns the time since the start, noAge for buckets that were full from the beginning.
func (l *ledger) age(now time.Time) time.Duration {
	if l.start.IsZero() {
		return noAge
	}
	return now.Sub(l.start)
}

// load makes a ledger of what a primary that resigned has handed over. What it had granted has expired after the
// life of a promise. The rules of the accounts are put in force when the buckets are used.
func load(now time.Time, age time.Duration, buckets []BucketState) *ledger {
	l := newLedger(time.Time{})
	if age != noAge {
		l.start = now.Add(-age)
	}
	for _, in := range buckets {
		b := &balance{burst: in.Level + float64(in.Outstanding), level: in.Level, updated: now}
		if in.Outstanding > 0 {
			b.grants = []grantRecord{{tokens: in.Outstanding, deadline: now.Add(promiseLife)}}
			b.outstanding = in.Outstanding
		}
		l.accounts[in.Account] = b
	}
	return l
}

// sweep forgets full buckets: open makes them again.
func (l *ledger) sweep(now time.Time) {
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
	for name, b := range l.accounts {
		b.advance(now)
		if b.rate == 0 {
			continue // handed over: its rule is not known before its first use
		}
		if b.outstanding == 0 && b.level >= b.burst && l.mayOpenFull(now, b) {
			delete(l.accounts, name)
		}
	}
}

func (l *ledger) mayOpenFull(now time.Time, b *balance) bool {
	return l.start.IsZero() || b.rate*now.Sub(l.start).Seconds() >= b.burst
}
