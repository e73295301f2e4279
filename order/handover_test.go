package order

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"teaselgate/platform"
	"teaselgate/standin/bubble"
)

// arrivals records the orders that reach engines, which do not check fencing numbers.
type arrivals struct {
	mu     sync.Mutex
	orders []StageOrder
}

func (a *arrivals) add(o StageOrder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.orders = append(a.orders, o)
}

// handover runs two balancers of one service, of which either believes for random times that it is the dispatcher. Their
// processes are paused for up to a minute, also between the last check of the lease and the sending of an order; calls to the
// store take up to 2 s, and the responses of some are lost.
func handover(t *testing.T, seed uint64) []StageOrder {
	var reached arrivals
	bubble.Test(t, func(t *testing.T) {
		engines, store := newFakeStageEngines(6, 12), newFakeStore()
		ctx, stop := context.WithTimeout(t.Context(), 4*time.Minute)
		defer stop()
		var running sync.WaitGroup
		for n := range 2 {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			b := engines.newBalancer(store, fmt.Sprintf("i%d", n), 1.75, 6.1)
			b.Lease.FirstOrderDelay = func() time.Duration { return UnfencedOrderDelay }
			get, update := b.Lease.Get, b.Lease.Update
			b.Lease.Get = func(ctx context.Context, kind, name string) (platform.Object, error) {
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
				return get(ctx, kind, name)
			}
			b.Lease.Update = func(
				ctx context.Context, kind, name string, version platform.Version, data any,
			) (platform.Object, error) {
				time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
				o, err := update(ctx, kind, name, version, data)
				if random.IntN(8) == 0 {
					return platform.Object{}, platform.ErrOutcomeUnknown
				}
				return o, err
			}
			dispatches, until := false, time.Time{}
			b.IsDispatcher = func() bool {
				if time.Now().After(until) {
					dispatches = n == 0 && random.IntN(4) > 0 || n == 1 && random.IntN(2) > 0
					until = time.Now().Add(time.Duration(5+random.IntN(20)) * time.Second)
				}
				return dispatches
			}
			b.Load = func() (StageLoad, bool) {
				load := StageLoad{Prefill: 0.5, Decode: 10, PrefillEngines: 9, DecodeEngines: 9}
				if time.Now().Unix()/30%2 == 0 {
					load.Prefill, load.Decode = 8, 2
				}
				return load, true
			}
			b.Order = func(_ context.Context, o StageOrder) error {
				if random.IntN(3) == 0 {
					time.Sleep(time.Duration(random.IntN(60)) * time.Second) // the process is paused
				}
				if !o.Guard() {
					return ErrOrderRejected
				}
				reached.add(o)
				return errors.New("the response is lost")
			}
			running.Go(func() { b.Run(ctx) })
		}
		running.Wait()
	})
	return reached.orders
}

// Around a hand-over, with delays, losses and pauses at every step, no order under an earlier lease arrives after one under
// a later lease, so that no change is ordered twice.
func TestNoOrderArrivesAfterThoseOfTheNextHolder(t *testing.T) {
	const seeds = 150
	orders, handovers := 0, 0
	for seed := range uint64(seeds) {
		arrived := handover(t, seed)
		orders += len(arrived)
		for n := 1; n < len(arrived); n++ {
			if arrived[n].Fence != arrived[n-1].Fence {
				handovers++
			}
			if arrived[n].Fence < arrived[n-1].Fence {
				t.Errorf("seed %d: order %d of %s under fence %d arrives after one of %s under fence %d", seed, n,
					arrived[n].Holder, arrived[n].Fence, arrived[n-1].Holder, arrived[n-1].Fence)
			}
		}
	}
	if orders < 2*seeds || handovers < seeds/4 {
		t.Errorf("the runs show too little: %d orders and %d changes of the lease", orders, handovers)
	}
}
