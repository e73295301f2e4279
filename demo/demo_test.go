package demo

import (
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestDemoRunsWithoutBrokenPromises(t *testing.T) {
	defer goleak.VerifyNone(t)
	var out strings.Builder
	d := &Demo{Out: &out, Length: time.Second}
	if err := d.Run(t.Context()); err != nil {
		t.Fatalf("unexpected error %v, output:\n%s", err, out.String())
	}
}
