// Package delay waits for a duration or the end of a context.
package delay

import (
	"context"
	"time"
)

// For waits for d and returns nil. If the context ends first, it returns the context's error at once.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
