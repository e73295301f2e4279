package cell

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"testing"
	"time"

	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/rule"
)

// Figures of an account as the users' sites have them.
const (
	testRate           = 70_000.0
	testBurst          = 70_000.0
	testCharge         = 4_440
	meteringWindow     = 8 * time.Second
	allowedExcess      = 0.1     // that the users allow on top
	allowedSlackTokens = 190_000 // tokens, the same
)

// admitted runs requests of one account, a fixed time apart, past dispatchers that each take an equal part.
func admittedTokens(dispatchers []*rateLimiter, every time.Duration) int {
	tokens, now := 0, clockStart
	for n := 0; now.Sub(clockStart) < meteringWindow; n++ {
		now = now.Add(every)
		m := dispatchers[n%len(dispatchers)]
		if _, ok := m.charge(now, PlaceRequest{Account: "hot", Charge: testCharge, Rate: testRate, Burst: testBurst}); ok {
			tokens += testCharge
		}
	}
	return tokens
}

func newLimiterReaching(heard, known, cells int) *rateLimiter {
	m := newRateLimiter()
	m.setShare(heard, known, cells)
	return &m
}

// Replays the load of an account that sends eight times its rate, while the fleet is divided.
func TestAccountFarOverItsRateIsLimited(t *testing.T) {
	allowed := int((testRate*meteringWindow.Seconds()+testBurst)*(1+allowedExcess)) + allowedSlackTokens
	const hot = 8 * time.Millisecond // between requests: eight times the rate
	cases := []struct {
		name        string
		dispatchers []*rateLimiter
	}{
		{"one dispatcher", []*rateLimiter{newLimiterReaching(9, 9, 1)}},
		{"two for a moment that hear all", []*rateLimiter{newLimiterReaching(9, 9, 2), newLimiterReaching(9, 9, 2)}},
		{"three of nine are cut off, each alone", []*rateLimiter{
			newLimiterReaching(6, 9, 1), newLimiterReaching(1, 9, 1), newLimiterReaching(1, 9, 1), newLimiterReaching(1, 9, 1),
		}},
		{"two halves", []*rateLimiter{newLimiterReaching(5, 9, 1), newLimiterReaching(4, 9, 1)}},
		{"four cells", []*rateLimiter{
			newLimiterReaching(9, 9, 4), newLimiterReaching(9, 9, 4), newLimiterReaching(9, 9, 4), newLimiterReaching(9, 9, 4),
		}},
	}
	for _, c := range cases {
		if got := admittedTokens(c.dispatchers, hot); got > allowed {
			t.Errorf("%s: %d tokens in %v, more than the %d allowed", c.name, got, meteringWindow, allowed)
		}
	}
}

// An account within its rate is not refused after the first second, also by a dispatcher that has just begun.
func TestAccountWithinItsRateIsServed(t *testing.T) {
	m := newRateLimiter()
	refused, now := 0, clockStart
	every := seconds(testCharge / (0.9 * testRate))
	for now.Sub(clockStart) < meteringWindow {
		now = now.Add(every)
		if _, ok := m.charge(now, PlaceRequest{Account: "a", Charge: testCharge, Rate: testRate, Burst: testBurst}); !ok {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d requests within the rate were refused", refused)
	}
}

func TestDebitsReduceTheAccountsBudget(t *testing.T) {
	m := newRateLimiter()
	debit := Debit{Account: "a", Tokens: 3 * testBurst, Rate: testRate, Burst: testBurst}
	if debt := m.debit(clockStart, debit); debt < time.Second {
		t.Errorf("unexpected debt, got %v instead of seconds", debt)
	}
	wait, ok := m.charge(clockStart, PlaceRequest{Account: "a", Charge: testCharge, Rate: testRate, Burst: testBurst})
	if ok || wait < time.Second {
		t.Errorf("unexpected charge of an account in debt, got %v %v", ok, wait)
	}
	if _, ok := m.charge(clockStart.Add(wait), PlaceRequest{Account: "a", Charge: testCharge, Rate: testRate, Burst: testBurst}); !ok {
		t.Error("the account was refused at the time when it was told to come back")
	}
}

func TestChargeOfUnplacedRequestIsRefunded(t *testing.T) {
	m := newRateLimiter()
	request := PlaceRequest{Account: "a", Charge: testCharge, Rate: testRate, Burst: testBurst}
	for n := range 100 {
		if _, ok := m.charge(clockStart, request); !ok {
			t.Fatalf("request %d was refused although those before gave their charge back", n)
		}
		m.refund(request)
	}
}

// Replays a fleet that is divided at once under a hot account: its dispatchers must not wait for the membership, which
// takes tens of seconds at 81 instances, to give out their parts only.
func TestDispatcherInPartitionReducesItsRateShareAtOnce(t *testing.T) {
	const peers, reached = 80, 23
	h := NewHub(func() *rule.Set { return nil }, EngineCalls{}, func(event.Event) {})
	h.Self = "self"
	h.Reachable = func() (int, int) { return peers + 1, peers + 1 } // the membership does not know yet
	h.Peers = func() []fleet.Member {
		out := make([]fleet.Member, peers)
		for n := range out {
			out[n] = fleet.Member{Name: fmt.Sprint(n), Peer: fmt.Sprint(n)}
		}
		return out
	}
	h.Call = func(_ context.Context, address, _ string, _, _ any) error {
		if n, err := strconv.Atoi(address); err != nil || n >= reached {
			return errors.New("no answer")
		}
		return nil
	}
	d := newDispatcher(ID{Prefill: "p", Decode: "d"}, h.Now())
	h.reconcile(t.Context(), d)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	d.place(ctx, h.Now, nil, PlaceRequest{Key: "x", Account: "hot", Charge: testCharge, Rate: testRate, Burst: testBurst}, func() {}, h.Reachable)
	if most := reachableSlack * (reached + 1) / (peers + 1); d.core.limiter.share-most > 1e-9 { // but for rounding
		t.Errorf("the dispatcher gives out %.2f of the rate, more than %.2f for the %d of %d instances that it reaches",
			d.core.limiter.share, most, reached+1, peers+1)
	}
}
