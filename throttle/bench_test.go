package throttle

import (
	"context"
	"fmt"
	"testing"

	"teaselgate/upstream"
)

// BenchmarkAcquire measures a permit that this instance grants itself, and one without limits in force.
func BenchmarkAcquire(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprint("limited ", limited), func(b *testing.B) {
			l := NewList()
			if limited {
				l.Observe(server, Answer{Kind: Run, Limited: true, Rate: 1e9, SentAt: l.Now()})
			}
			ctx := context.Background()
			for b.Loop() {
				_ = l.Acquire(ctx, server, ForRequest)
			}
		})
	}
}

// BenchmarkCanTake measures the look at 256 engines that all name limits, as at each placement of a large cell.
func BenchmarkCanTake(b *testing.B) {
	l := NewList()
	keys := make([]upstream.ServerKey, 256)
	for n := range keys {
		keys[n] = upstream.ServerKey{Server: fmt.Sprint("s", n), Address: "10.0.0.1:80"}
		l.Observe(keys[n], Answer{Kind: Run, Limited: true, Rate: 5, SentAt: l.Now()})
	}
	for b.Loop() {
		for _, key := range keys {
			l.CanTake(key, 1)
		}
	}
}

// BenchmarkDigest measures what a probe costs while 256 servers name limits.
func BenchmarkDigest(b *testing.B) {
	l := NewList()
	for n := range 256 {
		l.Observe(upstream.ServerKey{Server: fmt.Sprint("s", n), Address: "10.0.0.1:80"}, Answer{Kind: Run, Limited: true, Rate: 5, SentAt: l.Now()})
	}
	for b.Loop() {
		l.Digest()
	}
}
