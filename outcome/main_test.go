package outcome_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that nothing of the tests is left running.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
