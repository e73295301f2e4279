package allowance

import (
	"context"
	"sync"
	"time"

	"teaselgate/rule"
)

// StaticLimiter gives each instance a fixed share of every account: the baseline without messages.
type StaticLimiter struct {
	Instances func() int // live instances that share the rate
	Now       func() time.Time

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	level   float64 // tokens
	updated time.Time
}

// NewStaticLimiter returns a baseline with full buckets.
func NewStaticLimiter(instances func() int) *StaticLimiter {
	return &StaticLimiter{Instances: instances, Now: time.Now, buckets: make(map[string]*bucket)}
}

// Take charges tokens to an account, or returns ErrExhausted and the time at which they will be there.
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

func (s *StaticLimiter) refill(name string, rate, burst float64) *bucket {
	now := s.Now()
	b := s.buckets[name]
	if b == nil {
		b = &bucket{level: burst, updated: now}
		s.buckets[name] = b
	}
	b.level = min(burst, b.level+rate*now.Sub(b.updated).Seconds())
	b.updated = now
	return b
}
