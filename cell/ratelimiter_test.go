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
	"teaselgate/throttle"
)

// Parameters of an account as at the users' sites.
const (
	testRate           = 70_000.0
	testBurst          = 70_000.0
	testCharge         = 4_440
	testWindow         = 8 * time.Second
	allowedExcess      = 0.1     // share by which the admitted tokens may exceed rate and burst
	allowedSlackTokens = 190_000 // tokens that may be admitted beyond that
)

// admittedTokens sends requests of one account at a fixed interval to dispatchers in turn and returns the admitted
// tokens.
func admittedTokens(limiters []*rateLimiter, interval time.Duration) int {
	tokens, now := 0, clockStart
	for n := 0; now.Sub(clockStart) < testWindow; n++ {
		now = now.Add(interval)
		limiter := limiters[n%len(limiters)]
		if _, ok := limiter.charge(now, PlaceRequest{Account: "hot", Charge: testCharge, Rate: testRate, Burst: testBurst}, 0); ok {
			tokens += testCharge
		}
	}
	return tokens
}

func newLimiterReaching(reachable, known, cells int) *rateLimiter {
	l := newRateLimiter()
	l.setShare(reachable, known, cells)
	return &l
}

// Covers an account that sends eight times its rate while the fleet is partitioned.
func TestAccountFarOverItsRateIsLimited(t *testing.T) {
	allowed := int((testRate*testWindow.Seconds()+testBurst)*(1+allowedExcess)) + allowedSlackTokens
	const interval = 8 * time.Millisecond // between requests: eight times the rate
	cases := []struct {
		name     string
		limiters []*rateLimiter
	}{
		{"one dispatcher", []*rateLimiter{newLimiterReaching(9, 9, 1)}},
		{"two cells, whose dispatchers reach all instances", []*rateLimiter{newLimiterReaching(9, 9, 2), newLimiterReaching(9, 9, 2)}},
		{"three of nine instances isolated", []*rateLimiter{
			newLimiterReaching(6, 9, 1), newLimiterReaching(1, 9, 1), newLimiterReaching(1, 9, 1), newLimiterReaching(1, 9, 1),
		}},
		{"partition into halves", []*rateLimiter{newLimiterReaching(5, 9, 1), newLimiterReaching(4, 9, 1)}},
		{"four cells", []*rateLimiter{
			newLimiterReaching(9, 9, 4), newLimiterReaching(9, 9, 4), newLimiterReaching(9, 9, 4), newLimiterReaching(9, 9, 4),
		}},
	}
	for _, c := range cases {
		if got := admittedTokens(c.limiters, interval); got > allowed {
			t.Errorf("%s: %d tokens in %v, more than the %d allowed", c.name, got, testWindow, allowed)
		}
	}
}

// An account within its rate is not rejected, even by a new dispatcher.
func TestAccountWithinItsRateIsServed(t *testing.T) {
	limiter := newRateLimiter()
	rejected, now := 0, clockStart
	interval := seconds(testCharge / (0.9 * testRate))
	for now.Sub(clockStart) < testWindow {
		now = now.Add(interval)
		if _, ok := limiter.charge(now, PlaceRequest{Account: "a", Charge: testCharge, Rate: testRate, Burst: testBurst}, 0); !ok {
			rejected++
		}
	}
	if rejected > 0 {
		t.Errorf("unexpected rejection of %d requests within the rate", rejected)
	}
}

func TestDebitsPutAccountInDebt(t *testing.T) {
	limiter := newRateLimiter()
	debit := Debit{Account: "a", Tokens: 3 * testBurst, Rate: testRate, Burst: testBurst}
	if debt := limiter.debit(clockStart, debit); debt < time.Second {
		t.Errorf("unexpected debt, got %v instead of seconds", debt)
	}
	wait, ok := limiter.charge(clockStart, PlaceRequest{Account: "a", Charge: testCharge, Rate: testRate, Burst: testBurst}, 0)
	if ok || wait < time.Second {
		t.Errorf("unexpected charge of an account in debt, got %v %v", ok, wait)
	}
	if _, ok := limiter.charge(clockStart.Add(wait), PlaceRequest{Account: "a", Charge: testCharge, Rate: testRate, Burst: testBurst}, 0); !ok {
		t.Error("unexpected rejection of the account at its retry time")
	}
}

func TestChargeOfUnplacedRequestIsRefunded(t *testing.T) {
	limiter := newRateLimiter()
	request := PlaceRequest{Account: "a", Charge: testCharge, Rate: testRate, Burst: testBurst}
	for n := range 100 {
		if _, ok := limiter.charge(clockStart, request, 0); !ok {
			t.Fatalf("unexpected rejection of request %d after refunds of the ones before", n)
		}
		limiter.refund(request)
	}
}

// Guards against granting too much right after a partition: a dispatcher must reduce its share of the rates before the
// membership notices the partition, which takes tens of seconds at 81 instances.
func TestDispatcherInPartitionReducesItsRateShareAtOnce(t *testing.T) {
	const peers, reached = 80, 23
	h := NewHub(func() *rule.Set { return nil }, EngineCalls{}, func(event.Event) {})
	h.Self = "self"
	h.Reachable = func() (int, int) { return peers + 1, peers + 1 } // the membership has not noticed yet
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
	d := newDispatcher(ID{Prefill: "p", Decode: "d"}, h.Now(), throttle.NewList())
	h.reconcile(t.Context(), d)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	d.place(ctx, h.Now, nil, PlaceRequest{Key: "x", Account: "hot", Charge: testCharge, Rate: testRate, Burst: testBurst}, func() {}, h.Reachable)
	if maxShare := reachableSlack * (reached + 1) / (peers + 1); d.core.limiter.share-maxShare > 1e-9 { // apart from rounding
		t.Errorf("unexpected share of the rate, got %.2f, more than %.2f for the %d of %d instances that are reachable",
			d.core.limiter.share, maxShare, reached+1, peers+1)
	}
}
