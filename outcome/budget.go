package outcome

import "sync"

// Limits of retries: one for each ten calls, and a few in a burst.
const (
	retryShare = 0.1
	retryBurst = 20
)

// RetryBudget bounds the retries of an instance to a share of its calls, so that retries can't
// multiply the load on servers that fail.
type RetryBudget struct {
	share, burst float64

	mu    sync.Mutex
	level float64
}

// NewDefaultRetryBudget returns a full budget with the usual limits.
func NewDefaultRetryBudget() *RetryBudget { return NewRetryBudget(retryShare, retryBurst) }

// NewRetryBudget returns a full budget of a share of the calls, and a number of retries in a burst.
func NewRetryBudget(share, burst float64) *RetryBudget {
	return &RetryBudget{share: share, burst: burst, level: burst}
}

// SetLimits changes the share and the burst.
func (b *RetryBudget) SetLimits(share, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.burst = share, burst
	b.level = min(b.level, burst)
}

// Remaining returns the retries that are left.
func (b *RetryBudget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.level
}

// Deposit notes a first attempt.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.burst, b.level+b.share)
}

// Withdraw takes one retry, or returns false if none is left.
func (b *RetryBudget) Withdraw() bool { return b.WithdrawN(1) }

// WithdrawN takes a number of retries, or returns false if not so many are left.
func (b *RetryBudget) WithdrawN(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < float64(n) {
		return false
	}
	b.level -= float64(n)
	return true
}
