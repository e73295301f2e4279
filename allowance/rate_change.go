package allowance

import (
	"time"

	"teaselgate/rule"
)

// RateChange is a client account whose rate or burst has changed.
type RateChange struct {
	Old, New rule.Account
}

// recentChange limits the level at which a bucket that no primary stores may be recreated after its account's rule has
// changed.
type recentChange struct {
	idleBucket tokenBucket // the bucket as it would be if nothing had been taken from it
	minRate    float64     // lowest rate since just before the first recorded change
	changedAt  time.Time   // time of the newest change
}

// ApplyRateChanges applies changed rates and bursts. A bucket never holds more tokens than the rules in force at each
// moment allow. This also applies to an idle bucket that is not stored anywhere.
func (m *ShardManager) ApplyRateChanges(now time.Time, changes []RateChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range changes {
		name := c.New.Account
		recent := m.recentChanges[name]
		if recent == nil {
			recent = &recentChange{
				idleBucket: tokenBucket{rate: float64(c.Old.Rate), burst: float64(c.Old.Burst), updatedAt: now},
			}
			recent.idleBucket.level, recent.minRate = recent.idleBucket.burst, recent.idleBucket.rate
			m.recentChanges[name] = recent
		}
		recent.idleBucket.advance(now)
		recent.idleBucket.applyRule(c.New)
		recent.minRate = min(recent.minRate, recent.idleBucket.rate)
		recent.changedAt = now
		if b := m.buckets[ShardForAccount(name, len(m.shards))]; b != nil && b.byAccount[name] != nil {
			b.byAccount[name].advance(now)
			b.byAccount[name].applyRule(c.New)
		}
	}
	for name, recent := range m.recentChanges {
		recent.idleBucket.advance(now)
		// An idle bucket would be full again, so the changes no longer limit a recreated one.
		if recent.idleBucket.rate*now.Sub(recent.changedAt).Seconds() >= recent.idleBucket.burst {
			delete(m.recentChanges, name)
		}
	}
}

// createChangedBuckets creates the buckets of a shard's accounts whose rules have changed recently, so that they are
// handed over with the shard.
func (m *ShardManager) createChangedBuckets(now time.Time, shard int, buckets *shardBuckets) {
	for name := range m.recentChanges {
		if ShardForAccount(name, len(m.shards)) != shard {
			continue
		}
		if a, ok := m.Account(name); ok {
			buckets.bucket(now, a, m.recentChanges[name])
		}
	}
}
