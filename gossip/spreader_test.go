package gossip

import (
	"context"
	"errors"
	"testing"
	"time"

	"teaselgate/standin/bubble"
)

// All knowledge of several peers at once, and again at once after each failure, would take a narrow link for itself.
func TestExchangesFollowOneAnotherAndFailedOnesRest(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := NewSpreader()
		s.Learn(t.Context(), func(context.Context, string) error { return nil })
		running, most, begun := 0, 0, 0
		exchange := func(ctx context.Context, _ string) error {
			running, begun = running+1, begun+1
			most = max(most, running)
			<-ctx.Done()
			running--
			return errors.New("no reply")
		}
		const probes = 40 // over two seconds
		for n := range probes {
			s.ExchangeIfDifferent([]string{"a", "b"}[n%2], 1, 2, exchange)
			time.Sleep(2 * time.Second / probes)
		}
		s.Wait()
		if most != 1 {
			t.Errorf("%d exchanges ran at once", most)
		}
		if begun != 2 {
			t.Errorf("unexpected number of exchanges with two silent peers, got %d instead of one with each", begun)
		}
	})
}
