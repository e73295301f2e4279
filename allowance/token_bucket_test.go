package allowance

import (
	"testing"
	"time"

	"teaselgate/rule"
)

var testStart = time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC)

// Guards against the removal of a restored bucket before its first use, after which it would be recreated full.
func TestSweepKeepsUnusedRestoredBucket(t *testing.T) {
	buckets := restoreShardBuckets(testStart, startedFullAge, []BucketState{{Account: "dala", Level: 40}})
	buckets.sweep(testStart.Add(sweepInterval))
	b := buckets.bucket(testStart.Add(sweepInterval), rule.Account{Account: "dala", Rate: 1, Burst: 1000}, nil)
	if b.level != 40 {
		t.Errorf("unexpected level, got %v instead of 40", b.level)
	}
}

// Guards against a refill that counts outstanding grants only at its end: they limit the level until they expire.
func TestRefillCountsGrantsUntilExpiry(t *testing.T) {
	b := &tokenBucket{rate: 100, burst: 100, level: 100, updatedAt: testStart}
	b.grant(1, testStart.Add(time.Second), TakeItem{Need: 100, Want: 100})
	b.advance(testStart.Add(1100 * time.Millisecond))
	if b.level < 9.99 || b.level > 10.01 {
		t.Errorf("unexpected level, got %v instead of 10", b.level)
	}
}

func TestReturnGrantCountsOnce(t *testing.T) {
	b := &tokenBucket{rate: 0, burst: 100, level: 100, updatedAt: testStart}
	b.grant(1, testStart.Add(time.Second), TakeItem{Need: 60, Want: 60})
	b.returnGrant(1, 50)
	b.returnGrant(1, 50)
	if b.level != 90 || b.outstanding != 0 {
		t.Errorf("unexpected bucket, got level %v and %d outstanding tokens instead of 90 and 0", b.level, b.outstanding)
	}
}

func TestRaisedBurstAddsNoTokens(t *testing.T) {
	now := testStart
	manager := NewShardManager(Instance{Name: "i1", Incarnation: 1}, 1, now)
	small := rule.Account{Account: "dala", Rate: 10, Burst: 100}
	large := rule.Account{Account: "dala", Rate: 10, Burst: 1000}
	manager.ApplyRateChanges(now, []RateChange{{small, large}})
	b := newShardBuckets(time.Time{}).bucket(now.Add(time.Second), large, manager.recentChanges["dala"])
	if b.level != 110 {
		t.Errorf("unexpected level, got %v instead of 110", b.level)
	}
}
