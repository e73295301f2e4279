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

// Timing of the balancer. A leaving instance keeps its listener open for balancerDelay, which is longer than the
// balancer needs to notice that the instance is not ready.
const (
	readinessInterval = 200 * time.Millisecond
	balancerDelay     = 4 * readinessInterval
)

// balancer spreads requests round robin over the ready instances, as the platform's load balancer does.
type balancer struct {
	addresses []string
	ready     []atomic.Bool // by the index of the address
	picks     atomic.Uint64 // calls of pick
}

func newBalancer(addresses []string) *balancer {
	b := &balancer{addresses: addresses, ready: make([]atomic.Bool, len(addresses))}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// pick returns the address of the next ready instance, or of the next instance if none is ready.
func (b *balancer) pick() string {
	size := uint64(len(b.addresses))
	start := b.picks.Add(1)
	for offset := range size {
		index := (start + offset) % size
		if b.ready[index].Load() {
			return b.addresses[index]
		}
	}
	return b.addresses[start%size]
}

// pollReadiness probes the readiness of all instances at each interval until the context ends.
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
