// Package order gives orders to engines: one instance holds a lease on each group of pools, loads models and moves
// engines between prefill and decode as measured pressure asks for it.
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

// Times of a lease.
const (
	leaseLife     = 10 * time.Second
	leaseMargin   = time.Second // for clocks of unequal speed
	renewInterval = 3 * time.Second
	orderTimeout  = 2 * time.Second
)

// LeaseRecord is the platform's object of a lease. Each write differs from the one before, since the platform gives
// a new version only to a write that changes something.
type LeaseRecord struct {
	Holder  string `json:"holder"`  // incarnation of an instance; empty once released
	Claim   string `json:"claim"`   // unique for each taking, so that a lost answer can be resolved
	Renewal uint64 `json:"renewal"` // number of renewals since the taking
}

// Lease is one instance's view of a lease. It carries no time of other machines: the holder counts its life from the
// moment it sent the last confirmed write, and another takes it only after it has seen the same version for longer
// than that. Its exported fields are set before use; it is used by one goroutine.
type Lease struct {
	Name            string
	Holder          string
	Get             func(ctx context.Context, kind, name string) (platform.Object, error)
	Update          func(ctx context.Context, kind, name string, version uint64, data any) (platform.Object, error)
	FirstOrderDelay func() time.Duration // from taking the lease to the first order
	NewClaim        func() string
	Now             func() time.Time

	claim     string
	renewals  uint64
	version   uint64
	fence     uint64
	deadline  time.Time // of the holder's right
	first     time.Time // no order before
	uncertain bool      // whether the version must be read again
	seen      uint64    // version of another holder
	seenAt    time.Time
}

// Held tells whether this instance holds the lease now.
func (l *Lease) Held() bool { return l.Now().Before(l.deadline) }

// Fence returns the fencing number for an order that begins now, or false if none may begin: the right must last
// until the order has ended or timed out.
func (l *Lease) Fence() (uint64, bool) {
	now := l.Now()
	if now.Before(l.first) || now.Add(orderTimeout).After(l.deadline) {
		return 0, false
	}
	return l.fence, true
}

// AcquireOrRenew renews the lease, or takes it if it is free.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	if l.Held() && !l.uncertain {
		return l.renew(ctx)
	}
	asked := l.Now()
	object, record, err := l.read(ctx)
	if err != nil {
		return err
	}
	switch {
	case l.claim != "" && record.Claim == l.claim:
		l.version, l.uncertain = object.Version, false
		if l.Held() {
			return l.renew(ctx)
		}
		return l.take(ctx, object.Version)
	case record.Holder == "":
		return l.take(ctx, object.Version)
	}
	l.deadline, l.uncertain = time.Time{}, false
	if object.Version != l.seen {
		l.seen, l.seenAt = object.Version, l.Now()
		return nil
	}
	if asked.Sub(l.seenAt) < leaseLife+leaseMargin {
		return nil
	}
	return l.take(ctx, object.Version)
}

// read returns the lease's object; one that does not exist is free at version 0.
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

func (l *Lease) renew(ctx context.Context) error {
	sent := l.Now()
	l.renewals++
	record := LeaseRecord{Holder: l.Holder, Claim: l.claim, Renewal: l.renewals}
	object, err := l.Update(ctx, LeaseKind, l.Name, l.version, record)
	if err != nil {
		// The write may have taken effect; the old deadline stands, and the version is read again.
		l.uncertain = true
		return fmt.Errorf("order: unable to renew lease %s: %w", l.Name, err)
	}
	l.version, l.deadline = object.Version, sent.Add(leaseLife)
	return nil
}

// take writes a new claim. If the answer is lost, the next Try finds the claim and takes the lease anew.
func (l *Lease) take(ctx context.Context, version uint64) error {
	l.claim = l.NewClaim()
	sent := l.Now()
	object, err := l.Update(ctx, LeaseKind, l.Name, version, LeaseRecord{Holder: l.Holder, Claim: l.claim})
	if err != nil {
		return fmt.Errorf("order: unable to take lease %s: %w", l.Name, err)
	}
	l.version, l.fence = object.Version, object.Version
	l.deadline, l.first = sent.Add(leaseLife), l.Now().Add(l.FirstOrderDelay())
	l.uncertain = false
	return nil
}

// Abandon gives the right up without telling the platform, after an engine has heard of a newer holder.
func (l *Lease) Abandon() {
	l.deadline, l.uncertain = time.Time{}, true
	l.claim = ""
}

// Release gives the lease up, so that another can take it at once.
func (l *Lease) Release(ctx context.Context) error {
	if !l.Held() {
		return nil
	}
	l.deadline = time.Time{}
	if _, err := l.Update(ctx, LeaseKind, l.Name, l.version, LeaseRecord{Claim: l.claim}); err != nil {
		return fmt.Errorf("order: unable to release lease %s: %w", l.Name, err)
	}
	return nil
}
