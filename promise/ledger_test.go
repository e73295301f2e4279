package promise

import (
	"fmt"
	"testing"
	"time"

	"teaselgate/queue"
)

const start = queue.Instant(time.Hour)

// A caller that returns as told must find its room held; one that comes early must gain nothing by that, and keep its promise.
func TestStandingOfReturningCallers(t *testing.T) {
	cases := []struct {
		name    string
		returns time.Duration // from the time that it was told
		want    Standing
		again   Standing // of another return at the time that it was told
	}{
		{"early", -2 * time.Second, Early, AsTold},
		{"a little early", -earlyTolerance / 2, AsTold, Newcomer},
		{"as told", 0, AsTold, Newcomer},
		{"a little late", Hold / 2, AsTold, Newcomer},
		{"late", Hold + time.Second, Newcomer, Newcomer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l Ledger
			at := start.Add(3 * time.Second)
			l.Make(start, "a", Promise{Rank: 1, Cost: 10, At: at})
			if got := l.Redeem(at.Add(c.returns), "a"); got != c.want {
				t.Errorf("unexpected standing %v instead of %v", got, c.want)
			}
			if got := l.Redeem(at, "a"); got != c.again {
				t.Errorf("unexpected standing %v of the second return instead of %v", got, c.again)
			}
		})
	}
	var l Ledger
	l.Make(start, "no room", Promise{At: start})
	if l.Redeem(start, "no room") != Newcomer {
		t.Error("a caller without a promise is preferred")
	}
	if l.Redeem(start, "unknown") != Newcomer || l.Redeem(start, "") != Newcomer {
		t.Error("a request without a promise is no newcomer")
	}
}

// Room that was promised must count until its time has passed, for the rank that it was promised to and less urgent ones.
func TestPromisedRoomCounts(t *testing.T) {
	var l Ledger
	for n := range 3 {
		l.Make(start, fmt.Sprint(n), Promise{Rank: n, Cost: 10, At: start.Add(time.Duration(n) * time.Second)})
	}
	for rank, want := range []float64{10, 20, 30} {
		if got := l.Outstanding(start, rank); got != want {
			t.Errorf("%v is promised up to rank %d instead of %v", got, rank, want)
		}
	}
	if got := l.Due(start.Add(time.Second), 5); got != 20 {
		t.Errorf("%v is due instead of 20", got)
	}
	if got := l.Outstanding(start.Add(time.Minute), 5); got != 0 {
		t.Errorf("%v is promised after all times have passed", got)
	}
}

// Refusals without end must not fill the memory.
func TestLedgerIsBounded(t *testing.T) {
	var l Ledger
	for n := range 2 * maxPromises {
		l.Make(start, fmt.Sprint(n), Promise{Cost: 1, At: start.Add(time.Minute)})
	}
	if len(l.promises) != maxPromises {
		t.Errorf("%d promises are held", len(l.promises))
	}
	l.Make(start.Add(time.Hour), "x", Promise{Cost: 1, At: start.Add(time.Hour)})
	if len(l.promises) != 1 {
		t.Errorf("%d promises are held after all but one have passed", len(l.promises))
	}
}
