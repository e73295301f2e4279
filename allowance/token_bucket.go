package allowance

import (
	"math"
	"time"

	"teaselgate/rule"
)

// ledger holds the buckets of a shard's client accounts at its primary.
type shardBuckets struct {
	emptyAt   time.Time // buckets are empty at this time; zero: full from the beginning
	byAccount map[string]*tokenBucket
	lastSweep time.Time
}

// balance is the bucket of one client account: level + outstanding never exceeds burst.
type tokenBucket struct {
	rate, burst float64 // of the rule by which the level was counted
	level       float64 // tokens that may be granted
	updatedAt   time.Time
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
const startedFullAge = time.Duration(math.MaxInt64)

// shareDivisor is the part of a bucket that one grant may take beyond what is needed at once.
const prefetchShareDivisor = 2.0

// sweepInterval is the time between two searches for buckets that need not be kept.
const sweepInterval = 10 * time.Second

func newShardBuckets(emptyAt time.Time) *shardBuckets {
	return &shardBuckets{emptyAt: emptyAt, byAccount: make(map[string]*tokenBucket)}
}

// balance returns the bucket of an account at a time, by the rule in force.
func (s *shardBuckets) bucket(now time.Time, a rule.Account, change *recentChange) *tokenBucket {
	b := s.byAccount[a.Account]
	if b == nil {
		b = s.newBucket(now, a, change)
		s.byAccount[a.Account] = b
	}
	b.advance(now)
	b.applyRule(a)
	return b
}

// open makes the bucket of an account that none is kept of: it has been idle since the start.
func (s *shardBuckets) newBucket(now time.Time, a rule.Account, change *recentChange) *tokenBucket {
	b := &tokenBucket{rate: float64(a.Rate), burst: float64(a.Burst), updatedAt: now}
	rate := b.rate
	if change != nil {
		rate = min(rate, change.minRate)
	}
	switch {
	case s.emptyAt.IsZero():
		b.level = b.burst
	case now.After(s.emptyAt):
		b.level = min(b.burst, rate*now.Sub(s.emptyAt).Seconds())
	}
	if change != nil {
		change.idleBucket.advance(now)
		b.level = min(b.level, change.idleBucket.level)
	}
	return b
}

// follow puts a changed rule in force: it makes no tokens, and takes away those above the new burst.
func (b *tokenBucket) applyRule(a rule.Account) {
	b.rate, b.burst = float64(a.Rate), float64(a.Burst)
	b.level = min(b.level, max(0, b.burst-float64(b.outstanding)))
}

// advance refills the bucket up to a time; grants that expire on the way count as spent from then on.
func (b *tokenBucket) advance(now time.Time) {
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
		b.removeGrant(next)
	}
	b.refill(now)
}

func (b *tokenBucket) refill(to time.Time) {
	if !to.After(b.updatedAt) {
		return
	}
	capacity := max(0, b.burst-float64(b.outstanding))
	if b.level < capacity {
		b.level = min(capacity, b.level+b.rate*to.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = to
}

func (b *tokenBucket) removeGrant(i int) {
	b.outstanding -= b.grants[i].tokens
	last := len(b.grants) - 1
	b.grants[i] = b.grants[last]
	b.grants = b.grants[:last]
}

// grant makes a grant of at least the tokens needed; without them it returns the time until they are there. What is
// wanted ahead of use gets a part of the bucket only.
func (b *tokenBucket) grant(id uint64, deadline time.Time, item TakeItem) (int64, time.Duration) {
	if b.level < float64(item.Need) {
		if b.rate <= 0 {
			return 0, math.MaxInt64
		}
		return 0, time.Duration((float64(item.Need) - b.level) / b.rate * float64(time.Second))
	}
	available := b.level
	if item.Ahead {
		available /= prefetchShareDivisor
	}
	tokens := max(item.Need, min(item.Want, int64(available)))
	b.level -= float64(tokens)
	b.outstanding += tokens
	b.grants = append(b.grants, grantRecord{id, tokens, deadline})
	return tokens, 0
}

// giveBack closes a grant; the tokens that the entry did not spend return to the bucket.
func (b *tokenBucket) returnGrant(id uint64, unspent int64) {
	for i, g := range b.grants {
		if g.id == id {
			b.removeGrant(i)
			capacity := max(b.level, b.burst-float64(b.outstanding))
			b.level = min(capacity, b.level+float64(max(0, min(unspent, g.tokens))))
			return
		}
	}
}

// export returns the buckets that a new ledger could not know of.
func (s *shardBuckets) snapshot(now time.Time) []BucketState {
	out := make([]BucketState, 0, len(s.byAccount))
	for name, b := range s.byAccount {
		b.advance(now)
		out = append(out, BucketState{name, b.level, b.outstanding})
	}
	return out
}

// age returns the time since the start, noAge for buckets that were full from the beginning.
func (s *shardBuckets) age(now time.Time) time.Duration {
	if s.emptyAt.IsZero() {
		return startedFullAge
	}
	return now.Sub(s.emptyAt)
}

// load makes a ledger of what a primary that resigned has handed over. What it had granted has expired after the
// life of a promise. The rules of the accounts are put in force when the buckets are used.
func restoreShardBuckets(now time.Time, age time.Duration, states []BucketState) *shardBuckets {
	restored := newShardBuckets(time.Time{})
	if age != startedFullAge {
		restored.emptyAt = now.Add(-age)
	}
	for _, state := range states {
		b := &tokenBucket{burst: state.Level + float64(state.Outstanding), level: state.Level, updatedAt: now}
		if state.Outstanding > 0 {
			b.grants = []grantRecord{{tokens: state.Outstanding, deadline: now.Add(leaseDuration)}}
			b.outstanding = state.Outstanding
		}
		restored.byAccount[state.Account] = b
	}
	return restored
}

// sweep forgets full buckets: open makes them again.
func (s *shardBuckets) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for name, b := range s.byAccount {
		b.advance(now)
		if b.rate == 0 {
			continue // handed over: its rule is not known before its first use
		}
		if b.outstanding == 0 && b.level >= b.burst && s.wouldOpenFull(now, b) {
			delete(s.byAccount, name)
		}
	}
}

func (s *shardBuckets) wouldOpenFull(now time.Time, b *tokenBucket) bool {
	return s.emptyAt.IsZero() || b.rate*now.Sub(s.emptyAt).Seconds() >= b.burst
}
