package slot

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"teaselgate/rule"
	"teaselgate/standin/bubble"
)

var errCut = errors.New("slot: no connection")

// slotFleet is a fleet of clients in a synctest bubble. The first instance is the keeper until it is away.
type slotFleet struct {
	mu      sync.Mutex
	clients []*Client
	keepers []*Keeper
	away    map[int]bool // instances that answer no calls
	calls   int
}

func newSlotFleet(ctx context.Context, n int, running *sync.WaitGroup) *slotFleet {
	f := &slotFleet{away: make(map[int]bool)}
	rules := rule.NewSet(rule.Contents{Pools: []rule.Pool{{Pool: "o", Duty: rule.Plain}}, Servers: testServers(2)})
	for i := range n {
		k := NewKeeper(func() *rule.Set { return rules })
		c := NewClient(NewPicker(func() *rule.Set { return rules }), k)
		c.Shared = func(string) bool { return true }
		c.Keeper = func(string) (string, bool) {
			if i == 0 {
				return "", true
			}
			return "0", false
		}
		c.Call = func(ctx context.Context, address, method string, args, reply any) error {
			return f.call(ctx, address, method, args, reply)
		}
		f.clients, f.keepers = append(f.clients, c), append(f.keepers, k)
		running.Go(func() { _ = k.Serve(ctx) })
		running.Go(func() { _ = c.Serve(ctx) })
	}
	return f
}

func (f *slotFleet) call(ctx context.Context, address, method string, args, reply any) error {
	var n int
	if _, err := fmt.Sscan(address, &n); err != nil {
		return err
	}
	f.mu.Lock()
	f.calls++
	away := f.away[n]
	f.mu.Unlock()
	if away {
		<-ctx.Done()
		return errCut
	}
	<-time.After(time.Millisecond)
	if method == RPCName+".Report" {
		return f.keepers[n].Receiver().Report(args.(ReportArgs), reply.(*ReportReply))
	}
	*reply.(*TakeReply) = f.keepers[n].Take(ctx, args.(TakeArgs))
	return nil
}

func (f *slotFleet) setAway(n int, away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away[n] = away
}

func runSlotFleet(t *testing.T, n int, test func(ctx context.Context, f *slotFleet)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		f := newSlotFleet(ctx, n, &running)
		test(ctx, f)
		stop()
		running.Wait()
	})
}

// All instances together must not fill one server while another has a free slot, although none knows what the others send.
func TestInstancesShareTheSlots(t *testing.T) {
	runSlotFleet(t, 20, func(ctx context.Context, f *slotFleet) {
		counts := make(map[string]int)
		for n := range 2 * serverSlots {
			s, err := f.clients[n%20].Pick(ctx, "o", Ask{Key: fmt.Sprint(n), Left: time.Second, Aim: 100 * time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			counts[s.Server]++
		}
		if counts["s0"] != serverSlots || counts["s1"] != serverSlots {
			t.Errorf("unexpected requests at the servers %v", counts)
		}
		f.clients[3].Done("3", "s0", 20*time.Millisecond, Answered)
		<-time.After(50 * time.Millisecond)
		if s := f.keepers[0].States()["o"]; s.InUse != 2*serverSlots-1 {
			t.Errorf("%d slots are in use after the end of a request", s.InUse)
		}
	})
}

// A request that finds no free slot must get the next one that is, and the truth when there will be none in time.
func TestRequestWaitsForASlot(t *testing.T) {
	runSlotFleet(t, 3, func(ctx context.Context, f *slotFleet) {
		all := 2 * (serverSlots + spareSlots)
		for n := range all {
			if _, err := f.clients[1].Pick(ctx, "o", Ask{Key: fmt.Sprint(n), Left: 5 * time.Second, Aim: time.Second}); err != nil {
				t.Fatal(err)
			}
		}
		time.AfterFunc(400*time.Millisecond, func() { f.clients[1].Done("0", "s0", 400*time.Millisecond, Answered) })
		began := time.Now()
		if _, err := f.clients[2].Pick(ctx, "o", Ask{Key: "x", Left: 2 * time.Second, Aim: time.Second}); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took < 400*time.Millisecond || took > 450*time.Millisecond {
			t.Errorf("the slot came after %v", took)
		}
		var refusal *Refusal
		_, err := f.clients[2].Pick(ctx, "o", Ask{Key: "y", Left: 100 * time.Millisecond, Aim: 50 * time.Millisecond})
		if !errors.As(err, &refusal) || !errors.Is(err, ErrFull) || !refusal.RetryAt.After(time.Now()) {
			t.Errorf("unexpected error %v", err)
		}
	})
}

// While its keeper is silent, an instance must go on by itself, after one short wait and not one for each request, and use the
// keeper again once that answers.
func TestInstanceGoesOnWhileTheKeeperIsSilent(t *testing.T) {
	runSlotFleet(t, 3, func(ctx context.Context, f *slotFleet) {
		f.setAway(0, true)
		began := time.Now()
		for n := range 10 {
			s, err := f.clients[1].Pick(ctx, "o", Ask{Key: fmt.Sprint(n), Left: time.Second, Aim: 300 * time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			f.clients[1].Done(fmt.Sprint(n), s.Server, time.Millisecond, Answered)
		}
		if took := time.Since(began); took > takeTimeout+10*time.Millisecond {
			t.Errorf("10 requests took %v while the keeper is silent", took)
		}
		if _, err := f.clients[1].Pick(ctx, "o", Ask{Key: "r", Retry: true, Left: time.Second}); !errors.Is(err, ErrNoRetry) {
			t.Errorf("unexpected error %v of a retry that nobody pays for", err)
		}
		f.setAway(0, false)
		<-time.After(keeperPause + time.Second)
		if _, err := f.clients[1].Pick(ctx, "o", Ask{Key: "x", Left: time.Second, Aim: 300 * time.Millisecond}); err != nil {
			t.Fatal(err)
		}
		if s := f.keepers[0].States()["o"]; s.InUse != 1 {
			t.Errorf("the keeper counts %d requests instead of the one that it gave a slot", s.InUse)
		}
	})
}

// A caller that leaves while its request waits must leave no slot taken.
func TestRequestOfACallerThatLeavesTakesNoSlot(t *testing.T) {
	runSlotFleet(t, 3, func(ctx context.Context, f *slotFleet) {
		for n := range 2 * (serverSlots + spareSlots) {
			if _, err := f.clients[1].Pick(ctx, "o", Ask{Key: fmt.Sprint(n), Left: 3 * time.Second, Aim: time.Second}); err != nil {
				t.Fatal(err)
			}
		}
		ctx, leave := context.WithTimeout(ctx, 200*time.Millisecond)
		defer leave()
		if _, err := f.clients[2].Pick(ctx, "o", Ask{Key: "x", Left: 2 * time.Second, Aim: time.Second}); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("unexpected error %v", err)
		}
		<-time.After(100 * time.Millisecond)
		if s := f.keepers[0].States()["o"]; s.Waiting != 0 {
			t.Errorf("%d requests wait", s.Waiting)
		}
		<-time.After(10 * time.Second)
		if s := f.keepers[0].States()["o"]; s.InUse != 0 {
			t.Errorf("%d slots are taken after all deadlines", s.InUse)
		}
	})
}
