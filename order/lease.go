// Package order sends orders to engines. For each group of pools and for each service, one instance at a time, the
// holder of its lease, loads models or changes the role or stage of engines between prefill and decode, as the measured
// load requires. Orders carry a fencing number, by which engines reject those of an earlier holder.
package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"teaselgate/platform"
)

// LeaseKind is the kind of the platform's objects that hold leases.
const LeaseKind = "lease"

// Timing of a lease and of the orders sent under it.
const (
	leaseDuration = 10 * time.Second
	leaseMargin   = time.Second     // tolerance for clocks that run at different speeds
	renewInterval = 3 * time.Second // interval between renewals, and between lease attempts of a preferred instance
	orderTimeout  = 2 * time.Second
)

// LeaseRecord is the stored state of a lease. Each write differs from the one before, since the platform store gives a
// new version only to a write that changes something.
type LeaseRecord struct {
	Holder  string `json:"holder"`  // name and incarnation of the holding instance; empty once released
	Claim   string `json:"claim"`   // unique to each acquisition, to recognise it after a lost response
	Renewal uint64 `json:"renewal"` // number of renewals by this process, so that each write differs
	Era     uint64 `json:"era"`     // era of the store in which the holder acquired the lease
}

// Lease is one instance's view of a lease. It compares no clocks of different machines: the holder counts the duration
// from the moment when it sent the last confirmed write, and another instance acquires the lease only after it has seen
// the same version for longer than that. A restore of the store ends the lease, since the store may have lost it: the
// holder stops once it learns of the new era, and in that era nobody acquires the lease for as long as it could last.
// Its exported fields are set before use; it is not safe for concurrent use.
type Lease struct {
	Name            string
	Holder          string
	Get             func(ctx context.Context, kind, name string) (platform.Object, error)
	Update          func(ctx context.Context, kind, name string, version platform.Version, data any) (platform.Object, error)
	FirstOrderDelay func() time.Duration // time from acquiring the lease to the first order
	NewClaim        func() string        // returns a unique id for an acquisition
	Era             func() uint64        // newest known era of the store
	Now             func() time.Time     // for waits: it may stand still while the host is suspended
	HoldNow         func() time.Time     // for the time for which the lease is held: it counts suspensions of the host

	claim           string           // claim of the newest attempt to acquire the lease; empty if none
	renewals        uint64           // number of renewals over all acquisitions
	version         platform.Version // version of the last confirmed write
	fence           platform.Version // fencing number: the version of the acquisition
	deadline        time.Time        // end of the lease by HoldNow while this instance holds it
	firstOrderAt    time.Time        // time before which no order may be sent
	versionUnknown  bool             // whether the version must be read again before the next write
	observedVersion platform.Version // last version seen of a lease that another instance holds
	observedAt      time.Time        // time at which observedVersion was first seen
	observedEra     uint64           // era of the store in which observedVersion was seen
	claimEra        uint64           // era of the store in which claim was made
}

// Held reports whether this instance holds the lease.
func (l *Lease) Held() bool { return l.fence.Era() == l.Era() && l.HoldNow().Before(l.deadline) }

// Guard returns a function that reports whether the lease as it is now still lasts. It may be called from any goroutine,
// right before an order is sent: the process may have been paused since Fence was called.
func (l *Lease) Guard() func() bool {
	fence, deadline := l.fence, l.deadline
	return func() bool { return fence.Era() == l.Era() && l.HoldNow().Before(deadline) }
}

// Fence returns the fencing number for an order that is sent now, or false if none may be sent: the lease must last
// until the order has ended or timed out.
func (l *Lease) Fence() (uint64, bool) {
	if !l.Held() || l.Now().Before(l.firstOrderAt) || l.HoldNow().Add(orderTimeout).After(l.deadline) {
		return 0, false
	}
	return uint64(l.fence), true
}

// AcquireOrRenew renews the lease if this instance holds it, and acquires it if it is free or has expired.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	if l.Held() && !l.versionUnknown {
		return l.renew(ctx)
	}
	readStarted := l.Now()
	object, record, err := l.read(ctx)
	if err != nil {
		return err
	}
	era := l.Era()
	if l.claimEra < era {
		l.Abandon()
	}
	switch {
	case l.claim != "" && record.Claim == l.claim:
		l.version, l.versionUnknown = object.Version, false
		if l.Held() {
			return l.renew(ctx)
		}
		return l.acquire(ctx, object.Version)
	case record.Holder == "" && record.Era == era:
		return l.acquire(ctx, object.Version)
	}
	// A record of an earlier era counts as held, since the restore may have undone a later acquisition.
	l.deadline, l.versionUnknown = time.Time{}, false
	if object.Version != l.observedVersion || era != l.observedEra {
		l.observedVersion, l.observedEra, l.observedAt = object.Version, era, l.Now()
		return nil
	}
	if readStarted.Sub(l.observedAt) < leaseDuration+leaseMargin {
		return nil
	}
	return l.acquire(ctx, object.Version)
}

// read returns the lease's object and its content; a lease without an object is free at version 0.
func (l *Lease) read(ctx context.Context) (platform.Object, LeaseRecord, error) {
	var record LeaseRecord
	object, err := l.Get(ctx, LeaseKind, l.Name)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{}, record, nil
	}
	if err != nil {
		return object, record, fmt.Errorf("order: unable to read lease %s: %w", l.Name, err)
	}
	if err := json.Unmarshal(object.Data, &record); err != nil {
		return object, record, fmt.Errorf("order: unable to decode lease %s: %w", l.Name, err)
	}
	return object, record, nil
}

// renew extends the lease by writing the next renewal.
func (l *Lease) renew(ctx context.Context) error {
	sent := l.HoldNow()
	l.renewals++
	record := LeaseRecord{Holder: l.Holder, Claim: l.claim, Renewal: l.renewals, Era: l.fence.Era()}
	object, err := l.Update(ctx, LeaseKind, l.Name, l.version, record)
	if err != nil {
		// The write may have taken effect; the old deadline stays, and the version is read again.
		l.versionUnknown = true
		return fmt.Errorf("order: unable to renew lease %s: %w", l.Name, err)
	}
	l.version, l.deadline = object.Version, sent.Add(leaseDuration)
	return nil
}

// acquire writes a new claim. If the response is lost, the next AcquireOrRenew finds the claim and acquires the lease
// again.
func (l *Lease) acquire(ctx context.Context, version platform.Version) error {
	l.claim, l.claimEra = l.NewClaim(), l.Era()
	sent := l.HoldNow()
	record := LeaseRecord{Holder: l.Holder, Claim: l.claim, Era: l.claimEra}
	object, err := l.Update(ctx, LeaseKind, l.Name, version, record)
	if err != nil {
		return fmt.Errorf("order: unable to acquire lease %s: %w", l.Name, err)
	}
	if object.Version.Era() != l.claimEra {
		return nil // the store was restored before the write; the next attempt begins anew
	}
	l.version, l.fence = object.Version, object.Version
	l.deadline, l.firstOrderAt = sent.Add(leaseDuration), l.Now().Add(l.FirstOrderDelay())
	l.versionUnknown = false
	return nil
}

// Abandon drops the lease without writing to the store, after an engine has reported a newer holder.
func (l *Lease) Abandon() {
	l.deadline, l.versionUnknown = time.Time{}, true
	l.claim = ""
}

// Release gives up the lease in the store, so that another instance can acquire it at once.
func (l *Lease) Release(ctx context.Context) error {
	if !l.Held() {
		return nil
	}
	l.deadline = time.Time{}
	if _, err := l.Update(ctx, LeaseKind, l.Name, l.version, LeaseRecord{Claim: l.claim, Era: l.fence.Era()}); err != nil {
		return fmt.Errorf("order: unable to release lease %s: %w", l.Name, err)
	}
	return nil
}
