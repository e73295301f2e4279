package order

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"teaselgate/event"
	"teaselgate/standin/bubble"
)

func TestBalanceChoosesDirection(t *testing.T) {
	cases := []struct {
		name string
		load StageLoad
		want StageChange
	}{
		{"low load", StageLoad{Prefill: 0.5, Decode: 1, PrefillEngines: 6, DecodeEngines: 12}, NoChange},
		{"memory fills, prefill idle", StageLoad{Prefill: 1.75, Decode: 6.1, PrefillEngines: 6, DecodeEngines: 12}, ToDecode},
		{"after one change", StageLoad{Prefill: 1.75, Decode: 6.1, PrefillEngines: 5, DecodeEngines: 13}, ToDecode},
		{"both equally utilised", StageLoad{Prefill: 1.75, Decode: 6.1, PrefillEngines: 4, DecodeEngines: 14}, NoChange},
		{"long prompts", StageLoad{Prefill: 4.6, Decode: 4, PrefillEngines: 5, DecodeEngines: 13}, ToPrefill},
		{"two prefill engines stay", StageLoad{Prefill: 0.2, Decode: 12, PrefillEngines: 2, DecodeEngines: 12}, NoChange},
		{
			"enough engines are changing",
			StageLoad{Prefill: 1.75, Decode: 6.1, PrefillEngines: 5, DecodeEngines: 11, ChangingEngines: 2},
			NoChange,
		},
		{"no prefill engine", StageLoad{Decode: 6, DecodeEngines: 12}, NoChange},
		{"many engines", StageLoad{Prefill: 8, Decode: 50, PrefillEngines: 31, DecodeEngines: 58}, ToDecode},
	}
	for _, c := range cases {
		if got := Balance(c.load); got != c.want {
			t.Errorf("%s: unexpected change, got %d instead of %d", c.name, got, c.want)
		}
	}
}

// Under a constant load the split must reach a state that it keeps, so that no engine changes back and forth.
func TestBalanceSettlesUnderConstantLoad(t *testing.T) {
	for prefill := 0.0; prefill < 20; prefill += 0.7 {
		for decode := 0.0; decode < 20; decode += 0.7 {
			l := StageLoad{Prefill: prefill, Decode: decode, PrefillEngines: 6, DecodeEngines: 12}
			for range 20 {
				switch Balance(l) {
				case ToDecode:
					l.PrefillEngines, l.DecodeEngines = l.PrefillEngines-1, l.DecodeEngines+1
				case ToPrefill:
					l.PrefillEngines, l.DecodeEngines = l.PrefillEngines+1, l.DecodeEngines-1
				case NoChange:
				}
			}
			if got := Balance(l); got != NoChange {
				t.Fatalf("the split does not settle at %+v", l)
			}
		}
	}
}

// fakeStageEngines is a set of engines that change their stage on order, in fake time.
type fakeStageEngines struct {
	mu     sync.Mutex
	decode map[string]bool
	paused map[string]bool
	fence  uint64
	orders []StageOrder
	err    error // result of the next orders
}

func (e *fakeStageEngines) order(_ context.Context, o StageOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		return ErrStaleFence
	}
	e.fence = o.Fence
	e.orders = append(e.orders, o)
	if e.err != nil {
		return e.err
	}
	const changeTime = 6 * time.Second
	time.AfterFunc(changeTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.decode[o.Server] = o.Decode
	})
	return nil
}

func newFakeStageEngines(prefillEngines, decodeEngines int) *fakeStageEngines {
	e := &fakeStageEngines{decode: make(map[string]bool), paused: make(map[string]bool)}
	for n := range prefillEngines + decodeEngines {
		e.decode[fmt.Sprintf("e%02d", n)] = n >= prefillEngines
	}
	return e
}

func (e *fakeStageEngines) countAvailable(decode bool) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for server, d := range e.decode {
		if d == decode && !e.paused[server] {
			n++
		}
	}
	return n
}

func (e *fakeStageEngines) newBalancer(s *fakeStore, name string, prefill, decode float64) *StageBalancer {
	claim := 0
	return &StageBalancer{
		Service: "llm",
		Lease: &Lease{
			Name: "stage-llm", Holder: name, Get: s.Get, Update: s.Update, FirstOrderDelay: func() time.Duration { return 0 },
			NewClaim: func() string { claim++; return fmt.Sprint(name, claim) }, Now: time.Now, HoldNow: time.Now,
			Era: func() uint64 { return 0 },
		},
		IsDispatcher: func() bool { return true },
		Load: func() (StageLoad, bool) {
			return StageLoad{
				Prefill: prefill, Decode: decode, PrefillEngines: e.countAvailable(false), DecodeEngines: e.countAvailable(true),
			}, true
		},
		PickEngine: func(decode bool) (Candidate, bool) {
			e.mu.Lock()
			defer e.mu.Unlock()
			for n := range len(e.decode) {
				if server := fmt.Sprintf("e%02d", n); e.decode[server] != decode && !e.paused[server] {
					return Candidate{Server: server}, true
				}
			}
			return Candidate{}, false
		},
		PausePlacement: func(server string, until time.Time) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.paused[server] = until.After(time.Now())
		},
		InStage: func(server string, decode bool) (bool, bool) {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.decode[server] == decode, true
		},
		Order:  e.order,
		Record: func(event.Event) {},
		Now:    time.Now,
	}
}

// A constant load that fills the decode engines must move two of six prefill engines to decode, one after the other,
// and then no more.
func TestStageBalancerStopsAtBestSplit(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		e := newFakeStageEngines(6, 12)
		ctx, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		e.newBalancer(newFakeStore(), "i1", 1.75, 6.1).Run(ctx)
		if len(e.orders) != 2 || e.countAvailable(true) != 14 {
			t.Errorf("unexpected result, got %d orders and %d decode engines instead of 2 and 14",
				len(e.orders), e.countAvailable(true))
		}
	})
}

// The load of the first requests after an idle time is no basis for a change, so the first order must come later.
func TestNoStageChangeRightAfterLoadBegins(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		e := newFakeStageEngines(6, 12)
		ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
		defer stop()
		start := time.Now()
		balancer := e.newBalancer(newFakeStore(), "i1", 1.75, 6.1)
		load := balancer.Load
		balancer.Load = func() (StageLoad, bool) {
			if time.Since(start) < 10*time.Second {
				return StageLoad{PrefillEngines: 6, DecodeEngines: 12}, true
			}
			return load()
		}
		first := time.Duration(0)
		balancer.Order = func(_ context.Context, _ StageOrder) error {
			if first == 0 {
				first = time.Since(start)
			}
			return nil
		}
		balancer.Run(ctx)
		if least := 10*time.Second + newLoadDelay - balanceInterval; first < least || first > least+2*time.Second {
			t.Errorf("unexpected first order after %v instead of soon after %v", first, least)
		}
	})
}

// Of two instances that both consider themselves the dispatcher, only the holder of the lease may send orders.
func TestOnlyLeaseHolderSendsOrders(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		e, s := newFakeStageEngines(6, 12), newFakeStore()
		ctx, stop := context.WithTimeout(t.Context(), 9*time.Second)
		defer stop()
		done := make(chan struct{})
		go func() { e.newBalancer(s, "i2", 1.75, 6.1).Run(ctx); close(done) }()
		e.newBalancer(s, "i1", 1.75, 6.1).Run(ctx)
		<-done
		if len(e.orders) == 0 {
			t.Error("no order was sent")
		}
		for _, o := range e.orders {
			if o.Holder != e.orders[0].Holder || o.Fence != e.orders[0].Fence {
				t.Errorf("orders under different leases: %+v and %+v", e.orders[0], o)
			}
		}
	})
}

func TestPlacementStaysPausedAfterOrderWithUnknownResult(t *testing.T) {
	cases := []struct {
		err    error
		paused bool
	}{{ErrOrderRejected, false}, {ErrStaleFence, false}, {errors.New("no response"), true}}
	for _, c := range cases {
		bubble.Test(t, func(t *testing.T) {
			e := newFakeStageEngines(6, 12)
			e.err = c.err
			ctx, stop := context.WithTimeout(t.Context(), 4500*time.Millisecond)
			defer stop()
			e.newBalancer(newFakeStore(), "i1", 1.75, 6.1).Run(ctx)
			if got := e.paused["e00"]; got != c.paused {
				t.Errorf("%v: unexpected pause of placement, got %v instead of %v", c.err, got, c.paused)
			}
		})
	}
}

// The users' rule on requests that crash engines, applied to orders: three more at most after the fifth crash.
const maxEnginesEnded = 5 + 3

// Each order ends the engine that gets it, which is back in its old stage some seconds later. The orders must not end one
// engine after the other for as long as the load calls for a change.
func TestOrdersThatEndEnginesBecomeRare(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		e := newFakeStageEngines(6, 12)
		e.err = errors.New("the connection broke off")
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Minute)
		defer stop()
		balancer := e.newBalancer(newFakeStore(), "i1", 1.75, 6.1)
		const restart = 3 * time.Second
		ended := make(map[string]time.Time)
		send := balancer.Order
		balancer.Order = func(ctx context.Context, o StageOrder) error {
			ended[o.Server] = time.Now()
			return send(ctx, o)
		}
		balancer.InStage = func(server string, decode bool) (bool, bool) {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.decode[server] == decode, time.Since(ended[server]) > restart
		}
		balancer.Run(ctx)
		if n := len(e.orders); n == 0 || n > maxEnginesEnded {
			t.Errorf("%d engines were ended in 5 min", n)
		}
	})
}
