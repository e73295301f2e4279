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
type changed struct {
	idle    balance
	slowest float64 // lowest rate since the first change that still counts
	since   time.Time
}

// ApplyRateChanges puts changed rates and bursts in force. A bucket never holds more than it could by the rules in force up to
// each moment, also one that no instance keeps because it is idle.
func (k *ShardManager) ApplyRateChanges(now time.Time, changes []RateChange) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range changes {
		name := c.New.Account
		old := k.changes[name]
		if old == nil {
			old = &changed{idle: balance{rate: float64(c.Old.Rate), burst: float64(c.Old.Burst), updated: now}}
			old.idle.level, old.slowest = old.idle.burst, old.idle.rate
			k.changes[name] = old
		}
		old.idle.advance(now)
		old.idle.follow(c.New)
		old.slowest = min(old.slowest, old.idle.rate)
		old.since = now
		if l := k.ledgers[ShardForAccount(name, len(k.seats))]; l != nil && l.accounts[name] != nil {
			l.accounts[name].advance(now)
			l.accounts[name].follow(c.New)
		}
	}
	for name, c := range k.changes {
		c.idle.advance(now)
		if c.idle.rate*now.Sub(c.since).Seconds() >= c.idle.burst {
			delete(k.changes, name)
		}
	}
}

// openChanged makes the buckets whose rules have changed lately, so that they are handed over with a shard.
func (k *ShardManager) openChanged(now time.Time, shard int, l *ledger) {
	for name := range k.changes {
		if ShardForAccount(name, len(k.seats)) != shard {
			continue
		}
		if a, ok := k.Account(name); ok {
			l.balance(now, a, k.changes[name])
		}
	}
}
