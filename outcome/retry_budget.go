package outcome

import "sync"

// Default limits of retries: one for each ten requests, and a burst.
const (
	defaultRetryRatio = 0.1
	defaultRetryBurst = 20
)

// RetryBudget limits retries to a share of the requests, so that they can't multiply the load on failing backend
// servers. It is a token bucket that first attempts fill and retries empty.
type RetryBudget struct {
	ratio, burst float64

	mu     sync.Mutex
	tokens float64
}

// NewDefaultRetryBudget returns a full budget with the default limits.
func NewDefaultRetryBudget() *RetryBudget {
	return NewRetryBudget(defaultRetryRatio, defaultRetryBurst)
}

// NewRetryBudget returns a full budget that allows ratio retries for each request, and burst retries at once.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, burst: burst, tokens: burst}
}

// SetLimits changes the ratio and the burst.
func (b *RetryBudget) SetLimits(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.burst = ratio, burst
	b.tokens = min(b.tokens, burst)
}

// Remaining returns the number of retries that are left.
func (b *RetryBudget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// Deposit records the first attempt of a request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Withdraw takes one retry, and reports whether one was left.
func (b *RetryBudget) Withdraw() bool { return b.WithdrawN(1) }

// WithdrawN takes n retries, and reports whether that many were left. If not, it takes none.
func (b *RetryBudget) WithdrawN(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}
