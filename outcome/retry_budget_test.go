package outcome

import "testing"

func TestRetryBudgetLimitsRetries(t *testing.T) {
	budget := NewDefaultRetryBudget()
	retries := 0
	for range 1000 {
		budget.Deposit()
		if budget.Withdraw() {
			retries++
		}
	}
	if limit := int(1000*defaultRetryRatio) + defaultRetryBurst; retries > limit {
		t.Errorf("unexpected number of retries, got %d instead of at most %d", retries, limit)
	}
}
