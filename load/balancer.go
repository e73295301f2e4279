package load

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"teaselgate/delay"
	"teaselgate/standin/site"
)

// Timing of the balancer: instances stay open a little longer than it needs to notice that they leave.
const (
	readyInterval = 200 * time.Millisecond
	balancerDelay = 4 * readyInterval
)

// balancer spreads calls over the instances that are ready, as the platform's balancer does.
type balancer struct {
	addresses []string
	ready     []atomic.Bool
	next      atomic.Uint64
}

func newBalancer(addresses []string) *balancer {
	b := &balancer{addresses: addresses, ready: make([]atomic.Bool, len(addresses))}
	for n := range b.ready {
		b.ready[n].Store(true)
	}
	return b
}

// pick returns the next ready instance, or just the next one if none is ready.
func (b *balancer) pick() string {
	size := uint64(len(b.addresses))
	start := b.next.Add(1)
	for n := range size {
		at := (start + n) % size
		if b.ready[at].Load() {
			return b.addresses[at]
		}
	}
	return b.addresses[start%size]
}

// follow asks the instances for their readiness until the context ends.
func (b *balancer) follow(ctx context.Context, instances []*site.Instance) {
	client := &http.Client{Timeout: readyInterval, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		var asks sync.WaitGroup
		for n, i := range instances {
			asks.Go(func() { b.ready[n].Store(i.Ready(ctx, client)) })
		}
		asks.Wait()
		_ = delay.For(ctx, readyInterval)
	}
}
