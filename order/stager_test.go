package order

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"teaselgate/event"
)

func TestBalance(t *testing.T) {
	cases := []struct {
		name string
		load StageLoad
		want StageChange
	}{
		{"calm", StageLoad{Prefill: 0.5, Decode: 1, PrefillEngines: 6, DecodeEngines: 12}, NoChange},
		{"memory fills while prefill idles", StageLoad{Prefill: 1.75, Decode: 6.1, PrefillEngines: 6, DecodeEngines: 12}, ToDecode},
		{"after one change", StageLoad{Prefill: 1.75, Decode: 6.1, PrefillEngines: 5, DecodeEngines: 13}, ToDecode},
		{"both equally full", StageLoad{Prefill: 1.75, Decode: 6.1, PrefillEngines: 4, DecodeEngines: 14}, NoChange},
		{"long prompts", StageLoad{Prefill: 4.6, Decode: 4, PrefillEngines: 5, DecodeEngines: 13}, ToPrefill},
		{"two prefill engines stay", StageLoad{Prefill: 0.2, Decode: 12, PrefillEngines: 2, DecodeEngines: 12}, NoChange},
		{"enough are changing", StageLoad{Prefill: 1.75, Decode: 6.1, PrefillEngines: 5, DecodeEngines: 11, ChangingEngines: 2}, NoChange},
		{"no prefill engine", StageLoad{Decode: 6, DecodeEngines: 12}, NoChange},
		{"many engines", StageLoad{Prefill: 8, Decode: 50, PrefillEngines: 31, DecodeEngines: 58}, ToDecode},
	}
	for _, c := range cases {
		if got := Balance(c.load); got != c.want {
			t.Errorf("%s: unexpected change, got %d instead of %d", c.name, got, c.want)
		}
	}
}

// A split that is best for a load stays: no engine goes forth and back under a load that does not change.
func TestBalanceSettles(t *testing.T) {
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

// stageEngines are engines in fake time that a stager orders about.
type stageEngines struct {
	mu     sync.Mutex
	decode map[string]bool
	held   map[string]bool
	fence  uint64
	orders []StageOrder
	err    error // of the next orders
}

func (e *stageEngines) order(_ context.Context, o StageOrder) error {
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
	const switchTime = 6 * time.Second
	time.AfterFunc(switchTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.decode[o.Server] = o.Decode
	})
	return nil
}

func newEngineSet(prefills, decodes int) *stageEngines {
	e := &stageEngines{decode: make(map[string]bool), held: make(map[string]bool)}
	for n := range prefills + decodes {
		e.decode[fmt.Sprintf("e%02d", n)] = n >= prefills
	}
	return e
}

func (e *stageEngines) count(decode bool) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for server, d := range e.decode {
		if d == decode && !e.held[server] {
			n++
		}
	}
	return n
}

func (e *stageEngines) stager(s *store, name string, prefill, decode float64) *StageBalancer {
	claim := 0
	return &StageBalancer{
		Service: "llm",
		Lease: &Lease{
			Name: "stage-llm", Holder: name, Get: s.Get, Update: s.Update, FirstOrderDelay: func() time.Duration { return 0 },
			NewClaim: func() string { claim++; return fmt.Sprint(name, claim) }, Now: time.Now,
		},
		IsDispatcher: func() bool { return true },
		Load: func() (StageLoad, bool) {
			return StageLoad{Prefill: prefill, Decode: decode, PrefillEngines: e.count(false), DecodeEngines: e.count(true)}, true
		},
		PickEngine: func(decode bool) (Candidate, bool) {
			e.mu.Lock()
			defer e.mu.Unlock()
			for n := range len(e.decode) {
				if server := fmt.Sprintf("e%02d", n); e.decode[server] != decode && !e.held[server] {
					return Candidate{Server: server}, true
				}
			}
			return Candidate{}, false
		},
		PausePlacement: func(server string, until time.Time) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.held[server] = until.After(time.Now())
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

// Replays the load of the calm day at the bursts' edge: two of six prefill engines go over, one after the other, and
// the split then stays.
func TestStagerBalancesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngineSet(6, 12)
		ctx, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		e.stager(newStore(), "i1", 1.75, 6.1).Run(ctx)
		if len(e.orders) != 2 || e.count(true) != 14 {
			t.Errorf("unexpected orders, got %d with %d decode engines instead of 2 with 14", len(e.orders), e.count(true))
		}
	})
}

// Replays the first seconds of traffic: the load of the first requests says nothing yet.
func TestTheFirstRequestsChangeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngineSet(6, 12)
		ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
		defer stop()
		start := time.Now()
		stager := e.stager(newStore(), "i1", 1.75, 6.1)
		load := stager.Load
		stager.Load = func() (StageLoad, bool) {
			if time.Since(start) < 10*time.Second {
				return StageLoad{PrefillEngines: 6, DecodeEngines: 12}, true
			}
			return load()
		}
		first := time.Duration(0)
		stager.Order = func(_ context.Context, _ StageOrder) error {
			if first == 0 {
				first = time.Since(start)
			}
			return nil
		}
		stager.Run(ctx)
		if least := 10*time.Second + firstLoadTime - stagerInterval; first < least || first > least+2*time.Second {
			t.Errorf("unexpected first order after %v instead of soon after %v", first, least)
		}
	})
}

// Two instances that both take themselves for the dispatcher: only the lease's holder orders.
func TestOnlyOneHolderOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, s := newEngineSet(6, 12), newStore()
		ctx, stop := context.WithTimeout(t.Context(), 9*time.Second)
		defer stop()
		done := make(chan struct{})
		go func() { e.stager(s, "i2", 1.75, 6.1).Run(ctx); close(done) }()
		e.stager(s, "i1", 1.75, 6.1).Run(ctx)
		<-done
		for _, o := range e.orders {
			if o.Holder != e.orders[0].Holder || o.Fence != e.orders[0].Fence {
				t.Errorf("orders of two holders: %+v and %+v", e.orders[0], o)
			}
		}
	})
}

func TestOrdersThatMayBeCarriedOutHoldTheEngine(t *testing.T) {
	cases := []struct {
		err  error
		held bool
	}{{ErrOrderRejected, false}, {ErrStaleFence, false}, {errors.New("no answer"), true}}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			e := newEngineSet(6, 12)
			e.err = c.err
			ctx, stop := context.WithTimeout(t.Context(), 4500*time.Millisecond)
			defer stop()
			e.stager(newStore(), "i1", 1.75, 6.1).Run(ctx)
			if got := e.held["e00"]; got != c.held {
				t.Errorf("%v: unexpected hold of the engine, got %v instead of %v", c.err, got, c.held)
			}
		})
	}
}
