package allowance

import (
	"math"
	"time"

	"teaselgate/rule"
)

// shardBuckets holds the token buckets of a shard's client accounts at its primary.
type shardBuckets struct {
	emptyAt   time.Time               // time from which empty buckets fill; zero if they started full
	byAccount map[string]*tokenBucket // a bucket is created when it is first used
	lastSweep time.Time
}

// tokenBucket is the bucket of one client account. level + outstanding does not exceed burst, unless a changed rule has
// reduced burst below outstanding.
type tokenBucket struct {
	rate, burst float64 // rule by which the level was last computed; rate in tokens per second
	level       float64 // tokens available for grants
	updatedAt   time.Time
	grants      []grantRecord
	outstanding int64 // tokens granted and neither returned nor expired
}

// grantRecord is a grant that the instance holding it may still spend.
type grantRecord struct {
	id       uint64
	tokens   int64
	deadline time.Time
}

// startedFullAge is the age of shard buckets that started full.
const startedFullAge = time.Duration(math.MaxInt64)

// prefetchShareDivisor limits a grant made ahead of use to the bucket's level divided by it, unless more is needed.
const prefetchShareDivisor = 2.0

// sweepInterval is the time between two removals of full buckets.
const sweepInterval = 10 * time.Second

func newShardBuckets(emptyAt time.Time) *shardBuckets {
	return &shardBuckets{emptyAt: emptyAt, byAccount: make(map[string]*tokenBucket)}
}

// bucket returns the bucket of an account, refilled up to now and with the account's rule applied.
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

// newBucket creates the bucket of an account for which none is stored, with the level that it has reached if nothing
// has been taken from it since emptyAt.
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

// applyRule applies the account's rule. It adds no tokens and removes those above the new burst.
func (b *tokenBucket) applyRule(a rule.Account) {
	b.rate, b.burst = float64(a.Rate), float64(a.Burst)
	b.level = min(b.level, max(0, b.burst-float64(b.outstanding)))
}

// advance refills the bucket up to now. Each grant that has expired by now counts as spent from its deadline on.
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

// grant grants at least the tokens needed. If the bucket doesn't hold them, it returns 0 tokens and the time until it
// will. A grant ahead of use is limited to a share of the bucket, unless more is needed.
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

// returnGrant closes a grant and returns its unspent tokens to the bucket.
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

// snapshot returns the state of all stored buckets, for the next primary.
func (s *shardBuckets) snapshot(now time.Time) []BucketState {
	out := make([]BucketState, 0, len(s.byAccount))
	for name, b := range s.byAccount {
		b.advance(now)
		out = append(out, BucketState{name, b.level, b.outstanding})
	}
	return out
}

// age returns the time since emptyAt, or startedFullAge if the buckets started full.
func (s *shardBuckets) age(now time.Time) time.Duration {
	if s.emptyAt.IsZero() {
		return startedFullAge
	}
	return now.Sub(s.emptyAt)
}

// restoreShardBuckets returns the buckets that a resigning primary has handed over. All grants of that primary expire
// within the duration of a lease. The rule of an account is applied when its bucket is first used.
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

// sweep removes full buckets that newBucket would recreate full.
func (s *shardBuckets) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for name, b := range s.byAccount {
		b.advance(now)
		if b.rate == 0 {
			continue // restored and not used yet, so its rule isn't known
		}
		if b.outstanding == 0 && b.level >= b.burst && s.wouldRecreateFull(now, b) {
			delete(s.byAccount, name)
		}
	}
}

// wouldRecreateFull reports whether newBucket would return a full bucket for the account of b.
func (s *shardBuckets) wouldRecreateFull(now time.Time, b *tokenBucket) bool {
	return s.emptyAt.IsZero() || b.rate*now.Sub(s.emptyAt).Seconds() >= b.burst
}
