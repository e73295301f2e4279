package forward

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// burst sends model requests at even intervals and counts those on time, late and refused.
func (w *world) burst(prefix string, n int, interval time.Duration, count *burstCount) {
	for i := range n {
		count.sending.Go(func() { count.add(w.ask(draft(fmt.Sprint(prefix, i)))) })
		pass(interval)
	}
}

// burstCount counts the answers of a burst by the time to their end, which is that to their first event and the stream.
type burstCount struct {
	sending sync.WaitGroup
	mu      sync.Mutex
	onTime  int
	late    int
	refused int
	held    time.Duration // longest time until a refusal
}

const (
	burstAim    = 900 * time.Millisecond // to the first event
	burstStream = 10 * 40 * time.Millisecond
)

func (c *burstCount) add(got answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case got.Code != http.StatusOK:
		c.refused++
		c.held = max(c.held, got.took)
	case got.took <= burstAim+burstStream:
		c.onTime++
	default:
		c.late++
	}
}

// Replays bursts of half more than the engines serve, with calm between them: requests that can't be on time are served
// in the calm, behind all that can, instead of being refused. A tenth may be refused; three quarters are on time.
func TestBurstsAreServedLateRatherThanRefused(t *testing.T) {
	const (
		inBurst = 40
		inCalm  = 10
		bursts  = 4
		all     = bursts * (inBurst + inCalm)
	)
	inWorld(t, func(w *world) {
		count := &burstCount{}
		for n := range bursts {
			w.burst(fmt.Sprintf("b%d-", n), inBurst, 30*time.Millisecond, count)
			w.burst(fmt.Sprintf("c%d-", n), inCalm, 200*time.Millisecond, count)
		}
		count.sending.Wait()
		t.Logf("%d on time, %d late, %d refused, held %v", count.onTime, count.late, count.refused, count.held)
		if count.refused > all/10 {
			t.Errorf("unexpected %d of %d requests refused", count.refused, all)
		}
		if count.onTime < all*3/4 {
			t.Errorf("unexpected %d of %d requests on time", count.onTime, all)
		}
	})
}
