package allowance

import (
	"context"
	"sync"
	"time"

	"teaselgate/rule"
)

// StaticLimiter gives each instance an equal share of every account's rate and burst. It sends no messages and serves
// as a baseline for measurements.
type StaticLimiter struct {
	Instances func() int // returns the number of live instances that share the rate
	Now       func() time.Time

	mu      sync.Mutex
	buckets map[string]*staticBucket
}

type staticBucket struct {
	level     float64 // available tokens
	updatedAt time.Time
}

// NewStaticLimiter returns a static limiter with full buckets.
func NewStaticLimiter(instances func() int) *StaticLimiter {
	return &StaticLimiter{Instances: instances, Now: time.Now, buckets: make(map[string]*staticBucket)}
}

// Take charges tokens to an account, or returns ErrExhausted and the time at which the tokens will be available.
func (s *StaticLimiter) Take(_ context.Context, a rule.Account, tokens int64) (*Charge, time.Time, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := float64(max(s.Instances(), 1))
	rate, burst := float64(a.Rate)/share, float64(a.Burst)/share
	b := s.refill(a.Account, rate, burst)
	if b.level < float64(tokens) {
		wait := (float64(tokens) - b.level) / rate
		return nil, s.Now().Add(time.Duration(wait * float64(time.Second))), ErrExhausted
	}
	b.level -= float64(tokens)
	settle := func(used int64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		b.level = min(burst, b.level+float64(tokens-used))
	}
	return &Charge{settle: settle}, time.Time{}, nil
}

func (s *StaticLimiter) refill(account string, rate, burst float64) *staticBucket {
	now := s.Now()
	b := s.buckets[account]
	if b == nil {
		b = &staticBucket{level: burst, updatedAt: now}
		s.buckets[account] = b
	}
	b.level = min(burst, b.level+rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	return b
}
