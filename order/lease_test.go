package order

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/platform"
)

// clock is a machine's clock.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func try(t *testing.T, l *Lease) {
	t.Helper()
	if err := l.AcquireOrRenew(t.Context()); err != nil {
		t.Fatalf("unexpected error %v", err)
	}
}

func TestOneOfTwoGetsTheLease(t *testing.T) {
	s, c := newStore(), &clock{time.Unix(1000, 0)}
	a, b := s.lease("chat", "a", 0, c.read), s.lease("chat", "b", 0, c.read)
	try(t, a)
	try(t, b)
	if !a.Held() || b.Held() {
		t.Fatalf("unexpected holders, a %v, b %v", a.Held(), b.Held())
	}
	// While a renews, b never gets it.
	for range 20 {
		c.now = c.now.Add(renewInterval)
		try(t, a)
		try(t, b)
		if !a.Held() || b.Held() {
			t.Fatalf("unexpected holders, a %v, b %v", a.Held(), b.Held())
		}
	}
	// a is paused: its right ends by itself, and b takes over with a higher number.
	old, _ := a.Fence()
	for range 5 {
		c.now = c.now.Add(renewInterval)
		try(t, b)
	}
	if fence, ok := a.Fence(); ok || a.Held() {
		t.Errorf("unexpected right of a paused holder, fence %d", fence)
	}
	if fence, ok := b.Fence(); !ok || fence <= old {
		t.Errorf("unexpected fence %d, %v after %d", fence, ok, old)
	}
	// a wakes and must not get it back.
	try(t, a)
	if a.Held() || !b.Held() {
		t.Errorf("unexpected holders after the pause, a %v, b %v", a.Held(), b.Held())
	}
}

func TestSimultaneousTakersAreToldApartByVersion(t *testing.T) {
	s, c := newStore(), &clock{time.Unix(1000, 0)}
	a, b := s.lease("chat", "a", 0, c.read), s.lease("chat", "b", 0, c.read)
	// b has read that the lease is free, then a takes it.
	try(t, a)
	if err := b.take(t.Context(), 0); !errors.Is(err, platform.ErrConflict) || b.Held() {
		t.Errorf("unexpected result of the loser: %v, held %v", err, b.Held())
	}
}

func TestLostAnswers(t *testing.T) {
	s, c := newStore(), &clock{time.Unix(1000, 0)}
	a, b := s.lease("chat", "a", 0, c.read), s.lease("chat", "b", 0, c.read)
	s.lose = 1
	if err := a.AcquireOrRenew(t.Context()); !errors.Is(err, platform.ErrOutcomeUnknown) || a.Held() {
		t.Fatalf("unexpected result of a taking without answer: %v, held %v", err, a.Held())
	}
	try(t, b)
	if b.Held() {
		t.Fatal("unexpected second holder of a lease whose first answer was lost")
	}
	try(t, a)
	first, ok := a.Fence()
	if !ok {
		t.Fatal("unexpected refusal of an own claim")
	}
	// A renewal without answer neither lengthens nor ends the right.
	c.now = c.now.Add(renewInterval)
	s.lose = 1
	if err := a.AcquireOrRenew(t.Context()); !errors.Is(err, platform.ErrOutcomeUnknown) || !a.Held() {
		t.Fatalf("unexpected result of a renewal without answer: %v, held %v", err, a.Held())
	}
	if want := time.Unix(1000, 0).Add(leaseLife); !a.deadline.Equal(want) {
		t.Errorf("unexpected deadline, got %v instead of %v", a.deadline, want)
	}
	c.now = c.now.Add(renewInterval)
	try(t, a)
	if fence, ok := a.Fence(); !ok || fence != first || !a.deadline.Equal(c.now.Add(leaseLife)) {
		t.Errorf("unexpected lease after a reread: fence %d, deadline %v", fence, a.deadline)
	}
}

func TestOutageEndsTheRightToOrder(t *testing.T) {
	s, c := newStore(), &clock{time.Unix(1000, 0)}
	a := s.lease("chat", "a", 0, c.read)
	try(t, a)
	s.outage = true
	for c.now.Before(time.Unix(1000, 0).Add(leaseLife - orderTimeout)) {
		if _, ok := a.Fence(); !ok {
			t.Fatalf("unexpected end of the right at %v", c.now)
		}
		c.now = c.now.Add(time.Second)
		if err := a.AcquireOrRenew(t.Context()); err == nil {
			t.Fatal("unexpected answer in an outage")
		}
	}
	c.now = c.now.Add(time.Nanosecond)
	if _, ok := a.Fence(); ok {
		t.Error("unexpected right to an order that could outlast the lease")
	}
	c.now = c.now.Add(time.Hour)
	s.outage = false
	try(t, a)
	if _, ok := a.Fence(); !ok {
		t.Error("unexpected refusal after the outage")
	}
}

func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	s, c := newStore(), &clock{time.Unix(1000, 0)}
	a, b := s.lease("chat", "a", 0, c.read), s.lease("chat", "b", leaseLife+orderTimeout, c.read)
	try(t, a)
	if err := a.Release(t.Context()); err != nil || a.Held() {
		t.Fatalf("unexpected release: %v, held %v", err, a.Held())
	}
	try(t, b)
	if _, ok := b.Fence(); !b.Held() || ok {
		t.Errorf("unexpected right: held %v, order %v before the wait", b.Held(), ok)
	}
}

// landing is an order that reaches an engine.
type landing struct {
	at    time.Time
	fence uint64
}

// races runs holders against each other with pauses, lost answers, outages, and orders that land late. No two may
// hold the lease at once. It returns the pair of orders that landed in the wrong order, if any.
func races(t *rapid.T, wait time.Duration) (older, newer *landing) {
	const holders = 3
	s := newStore()
	now := time.Unix(1_000_000, 0)
	leases := make([]*Lease, holders)
	for i := range leases {
		offset := time.Duration(rapid.IntRange(-86400, 86400).Draw(t, "offset")) * time.Second
		leases[i] = s.lease("chat", string(rune('a'+i)), wait, func() time.Time { return now.Add(offset) })
	}
	var landings []landing
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		l := leases[rapid.IntRange(0, holders-1).Draw(t, "holder")]
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1:
			now = now.Add(time.Duration(rapid.IntRange(0, 13000).Draw(t, "ms")) * time.Millisecond)
		case 2:
			s.outage = rapid.Bool().Draw(t, "outage")
		case 3:
			s.lose = rapid.IntRange(0, 2).Draw(t, "lose")
		case 4:
			_ = l.Release(t.Context())
		case 5, 6, 7:
			if fence, ok := l.Fence(); ok {
				// A pause between the check and the sending, and a slow way to the engine.
				late := time.Duration(rapid.IntRange(0, int((leaseLife+orderTimeout)/time.Millisecond)).Draw(t, "late")) * time.Millisecond
				landings = append(landings, landing{now.Add(late), fence})
			}
		default:
			_ = l.AcquireOrRenew(t.Context())
		}
		if n := holding(leases); n > 1 {
			t.Fatalf("unexpected %d holders at once", n)
		}
	}
	for i := range landings {
		for j := range landings {
			if landings[i].fence < landings[j].fence && landings[i].at.After(landings[j].at) {
				return &landings[i], &landings[j]
			}
		}
	}
	return nil, nil
}

func holding(leases []*Lease) int {
	n := 0
	for _, l := range leases {
		if l.Held() {
			n++
		}
	}
	return n
}

// TestOldOrdersNeverLandAfterNewOnes is for engines that don't check fencing numbers.
func TestOldOrdersNeverLandAfterNewOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if older, newer := races(t, leaseLife+orderTimeout); older != nil {
			t.Fatalf("unexpected order %v after %v", older, newer)
		}
	})
}

// TestWithoutTheWaitOldOrdersLandAfterNewOnes shows that the wait is needed, and that the test above can fail.
func TestWithoutTheWaitOldOrdersLandAfterNewOnes(t *testing.T) {
	s, c := newStore(), &clock{time.Unix(1000, 0)}
	a, b := s.lease("chat", "a", 0, c.read), s.lease("chat", "b", 0, c.read)
	try(t, a)
	old, _ := a.Fence()
	late := landing{c.now.Add(5 * time.Second), old}
	if err := a.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	c.now = c.now.Add(time.Second)
	try(t, b)
	fence, ok := b.Fence()
	if soon := (landing{c.now, fence}); !ok || !late.at.After(soon.at) || late.fence >= soon.fence {
		t.Errorf("unexpected safety without the wait: %v and %v", late, soon)
	}
}
