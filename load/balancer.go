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
	readinessInterval = 200 * time.Millisecond
	balancerDelay     = 4 * readinessInterval
)

// balancer spreads calls over the instances that are ready, as the platform's balancer does.
type balancer struct {
	addresses []string
	ready     []atomic.Bool
	started   atomic.Uint64
}

func newBalancer(addresses []string) *balancer {
	b := &balancer{addresses: addresses, ready: make([]atomic.Bool, len(addresses))}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// pick returns the next ready instance, or just the next one if none is ready.
func (b *balancer) pick() string {
	size := uint64(len(b.addresses))
	start := b.started.Add(1)
	for offset := range size {
		index := (start + offset) % size
		if b.ready[index].Load() {
			return b.addresses[index]
		}
	}
	return b.addresses[start%size]
}

// pollReadiness asks the instances for their readiness until the context ends.
func (b *balancer) pollReadiness(ctx context.Context, instances []*site.Instance) {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		var probes sync.WaitGroup
		for index, instance := range instances {
			probes.Go(func() { b.ready[index].Store(instance.Ready(ctx, client)) })
		}
		probes.Wait()
		_ = delay.For(ctx, readinessInterval)
	}
}
