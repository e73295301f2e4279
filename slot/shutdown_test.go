package slot

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"
)

// An instance that stops cuts what is unfinished at its shutdown deadline. A request that waits for a slot is refused while an
// answer could still reach its caller, and one that gets a slot in time is served. Requests waited until the deadline before.
func TestWaitForASlotEndsBeforeAShutdown(t *testing.T) {
	for _, freeIn := range []time.Duration{300 * time.Millisecond, time.Minute} {
		runSlotFleet(t, 3, func(ctx context.Context, f *slotFleet) {
			for n := range 2 * (serverSlots + spareSlots) {
				if _, err := f.clients[1].Pick(ctx, "o", Ask{Key: fmt.Sprint(n), Left: 30 * time.Second, Aim: time.Second}); err != nil {
					t.Fatal(err)
				}
			}
			timer := time.AfterFunc(freeIn, func() { f.clients[1].Done("0", "s0", 50*time.Millisecond, Answered) })
			defer timer.Stop()
			began := time.Now()
			shutdown := began.Add(time.Second)
			f.clients[2].ShutdownDeadline = func() time.Time {
				if time.Since(began) < 100*time.Millisecond {
					return time.Time{}
				}
				return shutdown
			}
			_, err := f.clients[2].Pick(ctx, "o", Ask{Key: "x", Left: 20 * time.Second, Aim: 10 * time.Second})
			var refusal *Refusal
			if refused := errors.As(err, &refusal) && errors.Is(err, ErrFull); refused != (freeIn > time.Second) || !refused && err != nil {
				t.Errorf("slot free in %v: unexpected error %v", freeIn, err)
			}
			if !time.Now().Before(shutdown) {
				t.Errorf("slot free in %v: the wait ended %v after the shutdown deadline", freeIn, time.Since(shutdown))
			}
		})
	}
}
