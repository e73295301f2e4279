// Package delay waits for a time that a context may cut short.
package delay

import (
	"context"
	"time"
)

// For waits for a time and returns nil, or the context's error if that ends first.
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
