package allowance

import (
	"time"

	"teaselgate/rule"
)

// RateChange is a client account whose rate or burst has changed.
type RateChange struct {
	Old, New rule.Account
}

// changed is what an idle bucket can hold at most after changes of its rule.
type recentChange struct {
	idleBucket tokenBucket
	minRate    float64 // lowest rate since the first change that still counts
	changedAt  time.Time
}

// ApplyRateChanges puts changed rates and bursts in force. A bucket never holds more than it could by the rules in force up to
// each moment, also one that no instance keeps because it is idle.
func (m *ShardManager) ApplyRateChanges(now time.Time, changes []RateChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range changes {
		name := c.New.Account
		recent := m.recentChanges[name]
		if recent == nil {
			recent = &recentChange{idleBucket: tokenBucket{rate: float64(c.Old.Rate), burst: float64(c.Old.Burst), updatedAt: now}}
			recent.idleBucket.level, recent.minRate = recent.idleBucket.burst, recent.idleBucket.rate
			m.recentChanges[name] = recent
		}
		recent.idleBucket.advance(now)
		recent.idleBucket.applyRule(c.New)
		recent.minRate = min(recent.minRate, recent.idleBucket.rate)
		recent.changedAt = now
		if buckets := m.buckets[ShardForAccount(name, len(m.shards))]; buckets != nil && buckets.byAccount[name] != nil {
			buckets.byAccount[name].advance(now)
			buckets.byAccount[name].applyRule(c.New)
		}
	}
	for name, recent := range m.recentChanges {
		recent.idleBucket.advance(now)
		if recent.idleBucket.rate*now.Sub(recent.changedAt).Seconds() >= recent.idleBucket.burst {
			delete(m.recentChanges, name)
		}
	}
}

// openChanged makes the buckets whose rules have changed lately, so that they are handed over with a shard.
func (m *ShardManager) openChangedBuckets(now time.Time, shard int, buckets *shardBuckets) {
	for name := range m.recentChanges {
		if ShardForAccount(name, len(m.shards)) != shard {
			continue
		}
		if a, ok := m.Account(name); ok {
			buckets.bucket(now, a, m.recentChanges[name])
		}
	}
}
