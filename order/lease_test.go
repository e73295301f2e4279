package order

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/platform"
)

// clock is a clock that a test sets.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func acquireOrRenew(t *testing.T, l *Lease) {
	t.Helper()
	if err := l.AcquireOrRenew(t.Context()); err != nil {
		t.Fatalf("unexpected error %v", err)
	}
}

func TestLeaseHasOneHolderAndPassesOnAfterItExpires(t *testing.T) {
	s, c := newFakeStore(), &clock{time.Unix(1000, 0)}
	a, b := s.newLease("chat", "a", 0, c.Now), s.newLease("chat", "b", 0, c.Now)
	acquireOrRenew(t, a)
	acquireOrRenew(t, b)
	if !a.Held() || b.Held() {
		t.Fatalf("unexpected lease holders, a held: %v, b held: %v", a.Held(), b.Held())
	}
	// While a renews the lease, b never acquires it.
	for range 20 {
		c.now = c.now.Add(renewInterval)
		acquireOrRenew(t, a)
		acquireOrRenew(t, b)
		if !a.Held() || b.Held() {
			t.Fatalf("unexpected lease holders, a held: %v, b held: %v", a.Held(), b.Held())
		}
	}
	// While a is paused, its lease expires, and b acquires it with a higher fencing number.
	old, _ := a.Fence()
	for range 5 {
		c.now = c.now.Add(renewInterval)
		acquireOrRenew(t, b)
	}
	if fence, ok := a.Fence(); ok || a.Held() {
		t.Errorf("paused holder still holds the lease, fence %d", fence)
	}
	if fence, ok := b.Fence(); !ok || fence <= old {
		t.Errorf("unexpected fencing number %d, valid %v, after %d", fence, ok, old)
	}
	// a resumes and must not acquire the lease from b.
	acquireOrRenew(t, a)
	if a.Held() || !b.Held() {
		t.Errorf("unexpected lease holders after the pause, a held: %v, b held: %v", a.Held(), b.Held())
	}
}

// The host of the holder is suspended, and its clock for waits stands still meanwhile, or its wall clock is set ahead. The
// holder must not send an order on the lease, which another instance may hold, and nobody takes a lease early.
func TestSuspendedHolderSendsNoOrder(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second, 12 * time.Second, time.Hour} {
		s, now, suspended := newFakeStore(), &clock{time.Unix(1000, 0)}, time.Duration(0)
		holder := s.newLease("chat", "a", 0, now.Now)
		holder.HoldNow = func() time.Time { return now.now.Add(suspended) }
		acquireOrRenew(t, holder)
		guard := holder.Guard()
		suspended = pause
		_, mayOrder := holder.Fence()
		if lasts := pause < leaseDuration; holder.Held() != lasts || guard() != lasts || mayOrder && pause+orderTimeout > leaseDuration {
			t.Errorf("%v: held %v, guard %v, order allowed %v", pause, holder.Held(), guard(), mayOrder)
		}
		observer := s.newLease("chat", "b", 0, now.Now)
		observer.HoldNow = holder.HoldNow
		acquireOrRenew(t, observer)
		suspended += time.Hour
		acquireOrRenew(t, observer)
		if observer.Held() {
			t.Errorf("%v: the lease was acquired because the wall clock was set ahead", pause)
		}
	}
}

func TestConcurrentAcquisitionFailsWithConflict(t *testing.T) {
	s, c := newFakeStore(), &clock{time.Unix(1000, 0)}
	a, b := s.newLease("chat", "a", 0, c.Now), s.newLease("chat", "b", 0, c.Now)
	// b has read that the lease is free, and then a acquires it.
	acquireOrRenew(t, a)
	if err := b.acquire(t.Context(), 0); !errors.Is(err, platform.ErrConflict) || b.Held() {
		t.Errorf("unexpected result of the second acquisition: %v, held %v", err, b.Held())
	}
}

func TestLeaseSurvivesLostResponses(t *testing.T) {
	s, c := newFakeStore(), &clock{time.Unix(1000, 0)}
	a, b := s.newLease("chat", "a", 0, c.Now), s.newLease("chat", "b", 0, c.Now)
	s.loseResponses = 1
	if err := a.AcquireOrRenew(t.Context()); !errors.Is(err, platform.ErrOutcomeUnknown) || a.Held() {
		t.Fatalf("unexpected result of an acquisition whose response was lost: %v, held %v", err, a.Held())
	}
	acquireOrRenew(t, b)
	if b.Held() {
		t.Fatal("lease acquired by b after the response to a's acquisition was lost")
	}
	acquireOrRenew(t, a)
	first, ok := a.Fence()
	if !ok {
		t.Fatal("a did not acquire the lease again although the lease holds its claim")
	}
	// A renewal whose response is lost neither extends nor ends the lease.
	c.now = c.now.Add(renewInterval)
	s.loseResponses = 1
	if err := a.AcquireOrRenew(t.Context()); !errors.Is(err, platform.ErrOutcomeUnknown) || !a.Held() {
		t.Fatalf("unexpected result of a renewal whose response was lost: %v, held %v", err, a.Held())
	}
	if want := time.Unix(1000, 0).Add(leaseDuration); !a.deadline.Equal(want) {
		t.Errorf("unexpected deadline, got %v instead of %v", a.deadline, want)
	}
	c.now = c.now.Add(renewInterval)
	acquireOrRenew(t, a)
	if fence, ok := a.Fence(); !ok || fence != first || !a.deadline.Equal(c.now.Add(leaseDuration)) {
		t.Errorf("unexpected lease after reading the version again: fence %d, deadline %v", fence, a.deadline)
	}
}

func TestNoFenceWhenOrderCouldOutlastLease(t *testing.T) {
	s, c := newFakeStore(), &clock{time.Unix(1000, 0)}
	a := s.newLease("chat", "a", 0, c.Now)
	acquireOrRenew(t, a)
	s.outage = true
	for c.now.Before(time.Unix(1000, 0).Add(leaseDuration - orderTimeout)) {
		if _, ok := a.Fence(); !ok {
			t.Fatalf("got no fencing number at %v, while an order would end before the lease", c.now)
		}
		c.now = c.now.Add(time.Second)
		if err := a.AcquireOrRenew(t.Context()); err == nil {
			t.Fatal("renewal succeeded during an outage")
		}
	}
	c.now = c.now.Add(time.Nanosecond)
	if _, ok := a.Fence(); ok {
		t.Error("got a fencing number for an order that could outlast the lease")
	}
	c.now = c.now.Add(time.Hour)
	s.outage = false
	acquireOrRenew(t, a)
	if _, ok := a.Fence(); !ok {
		t.Error("got no fencing number after the outage")
	}
}

func TestReleasedLeaseIsAcquiredAtOnceButOrdersWait(t *testing.T) {
	s, c := newFakeStore(), &clock{time.Unix(1000, 0)}
	a, b := s.newLease("chat", "a", 0, c.Now), s.newLease("chat", "b", leaseDuration+orderTimeout, c.Now)
	acquireOrRenew(t, a)
	if err := a.Release(t.Context()); err != nil || a.Held() {
		t.Fatalf("unexpected result of the release: %v, held %v", err, a.Held())
	}
	acquireOrRenew(t, b)
	if _, ok := b.Fence(); !b.Held() || ok {
		t.Errorf("unexpected lease: held %v, may order %v before the delay of the first order", b.Held(), ok)
	}
}

// arrival is the arrival of an order at an engine.
type arrival struct {
	at     time.Time
	fence  uint64
	holder string
}

// simulateHolders runs random steps of several holders, with pauses, lost responses, outages, restores of the store and
// delayed orders. It fails if two hold the lease at once or orders of two acquisitions have the same fencing number, and
// returns two orders of which the older arrived last, if there are any.
func simulateHolders(t *rapid.T, firstOrderDelay time.Duration) (older, newer *arrival) {
	const holders = 3
	s := newFakeStore()
	now := time.Unix(1_000_000, 0)
	leases := make([]*Lease, holders)
	for i := range leases {
		offset := time.Duration(rapid.IntRange(-86400, 86400).Draw(t, "offset")) * time.Second
		leases[i] = s.newLease("chat", string(rune('a'+i)), firstOrderDelay, func() time.Time { return now.Add(offset) })
	}
	var arrivals []arrival
	backup := s.backup()
	for range rapid.IntRange(1, 120).Draw(t, "steps") {
		l := leases[rapid.IntRange(0, holders-1).Draw(t, "holder")]
		switch rapid.IntRange(0, 11).Draw(t, "step") {
		case 10:
			backup = s.backup()
		case 11:
			s.restore(backup)
		case 0, 1:
			now = now.Add(time.Duration(rapid.IntRange(0, 13000).Draw(t, "ms")) * time.Millisecond)
		case 2:
			s.outage = rapid.Bool().Draw(t, "outage")
		case 3:
			s.loseResponses = rapid.IntRange(0, 2).Draw(t, "lose")
		case 4:
			_ = l.Release(t.Context())
		case 5, 6, 7:
			if fence, ok := l.Fence(); ok {
				// The process may pause between the check and the sending, and the network may be slow.
				late := time.Duration(rapid.IntRange(0, int((leaseDuration+orderTimeout)/time.Millisecond)).
					Draw(t, "late")) * time.Millisecond
				arrivals = append(arrivals, arrival{now.Add(late), fence, l.Holder})
			}
		default:
			_ = l.AcquireOrRenew(t.Context())
		}
		if n := countHolders(leases); n > 1 {
			t.Fatalf("%d holders of the lease at once", n)
		}
	}
	for i := range arrivals {
		for j := range arrivals {
			if arrivals[i].fence == arrivals[j].fence && arrivals[i].holder != arrivals[j].holder {
				t.Fatalf("%s and %s have the fencing number %d", arrivals[i].holder, arrivals[j].holder, arrivals[i].fence)
			}
			if arrivals[i].fence < arrivals[j].fence && arrivals[i].at.After(arrivals[j].at) {
				return &arrivals[i], &arrivals[j]
			}
		}
	}
	return nil, nil
}

// countHolders returns how many of the leases are held.
func countHolders(leases []*Lease) int {
	n := 0
	for _, l := range leases {
		if l.Held() {
			n++
		}
	}
	return n
}

// The delay of the first order must suffice for engines that don't check fencing numbers.
func TestDelayKeepsOldOrdersFromArrivingAfterNewOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if older, newer := simulateHolders(t, leaseDuration+orderTimeout); older != nil {
			t.Fatalf("older order %v arrived after %v", older, newer)
		}
	})
}

// Without the delay an old order can arrive after a new one; this shows that the test above can fail.
func TestOldOrderCanArriveAfterNewOneWithoutDelay(t *testing.T) {
	s, c := newFakeStore(), &clock{time.Unix(1000, 0)}
	a, b := s.newLease("chat", "a", 0, c.Now), s.newLease("chat", "b", 0, c.Now)
	acquireOrRenew(t, a)
	old, _ := a.Fence()
	oldOrder := arrival{c.now.Add(5 * time.Second), old, a.Holder}
	if err := a.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	c.now = c.now.Add(time.Second)
	acquireOrRenew(t, b)
	fence, ok := b.Fence()
	if newOrder := (arrival{c.now, fence, b.Holder}); !ok || !oldOrder.at.After(newOrder.at) || oldOrder.fence >= newOrder.fence {
		t.Errorf("no old order after a new one without the delay: %v and %v", oldOrder, newOrder)
	}
}

func TestRestoredStoreDoesNotGiveALeaseTwice(t *testing.T) {
	s, c := newFakeStore(), &clock{time.Unix(1000, 0)}
	a, b := s.newLease("chat", "a", 0, c.Now), s.newLease("chat", "b", 0, c.Now)
	backup := s.backup()
	acquireOrRenew(t, a)
	old, ok := a.Fence()
	if !ok {
		t.Fatal("got no fencing number before the restore")
	}
	// The restored store has no lease, but a holds it and does not know of the restore.
	s.restore(backup)
	acquireOrRenew(t, b)
	if b.Held() {
		t.Fatal("lease acquired from the restored store while its holder may go on")
	}
	for range 5 {
		c.now = c.now.Add(renewInterval)
		acquireOrRenew(t, b)
		if a.Held() && b.Held() {
			t.Fatal("two holders after the restore")
		}
	}
	if fence, ok := b.Fence(); !ok || fence <= old {
		t.Errorf("unexpected fencing number %d, valid %v, after %d of the earlier era", fence, ok, old)
	}
	if b.fence.Revision() != a.fence.Revision() {
		t.Errorf("the revision was not given twice: %d and %d", a.fence.Revision(), b.fence.Revision())
	}
}

func TestHolderStopsOnceItLearnsOfARestore(t *testing.T) {
	s, c := newFakeStore(), &clock{time.Unix(1000, 0)}
	a := s.newLease("chat", "a", 0, c.Now)
	acquireOrRenew(t, a)
	s.restore(s.backup())
	if _, err := a.Get(t.Context(), LeaseKind, "other"); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("unexpected error of reading another object: %v", err)
	}
	if _, ok := a.Fence(); ok || a.Held() {
		t.Error("lease still held after a response of the restored store")
	}
}

// TestRenewalOverAnotherAcquisitionEndsTheLease covers a holder whose renewal carries a revision that the restored store
// has given to another holder's acquisition.
func TestRenewalOverAnotherAcquisitionEndsTheLease(t *testing.T) {
	s, c := newFakeStore(), &clock{time.Unix(1000, 0)}
	a, b := s.newLease("chat", "a", 0, c.Now), s.newLease("chat", "b", 0, c.Now)
	backup := s.backup()
	acquireOrRenew(t, a)
	s.restore(backup)
	acquireOrRenew(t, b) // learns of the new era
	if err := b.acquire(t.Context(), 0); err != nil || !b.Held() {
		t.Fatalf("unexpected result of the acquisition by b: %v, held %v", err, b.Held())
	}
	if err := a.AcquireOrRenew(t.Context()); !errors.Is(err, platform.ErrOutcomeUnknown) || a.Held() {
		t.Errorf("unexpected renewal by a: %v, held %v", err, a.Held())
	}
	for range 3 {
		acquireOrRenew(t, a)
		if a.Held() {
			t.Fatal("a holds the lease again while b may hold it")
		}
	}
}

// TestLeaseCreatedAfterARestoreIsNotHeld covers a restore between the read that finds no lease and the write that creates
// it.
func TestLeaseCreatedAfterARestoreIsNotHeld(t *testing.T) {
	s, c := newFakeStore(), &clock{time.Unix(1000, 0)}
	a := s.newLease("chat", "a", 0, c.Now)
	s.restore(s.backup())
	if err := a.acquire(t.Context(), 0); err != nil || a.Held() {
		t.Errorf("unexpected result of an acquisition after a restore: %v, held %v", err, a.Held())
	}
}
