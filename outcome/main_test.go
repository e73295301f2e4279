package outcome_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that the tests leave no goroutine running.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
