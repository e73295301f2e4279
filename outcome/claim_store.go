package outcome

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"teaselgate/delay"
	"teaselgate/event"
	"teaselgate/platform"
)

// Limits of work on claims.
const (
	claimTimeout      = 4 * time.Second        // bounds acquiring a claim, and marking its request as sent
	finalWriteTimeout = 250 * time.Millisecond // how long a response waits for the final write of its claim
	takeOverDelay     = time.Second            // how long an instance watches a live holder's claim before taking it over
	maxWriteTries     = 4                      // tries of one write that the platform does not confirm
)

var (
	namespace    = errorx.NewNamespace("outcome")
	claimTaken   = namespace.NewType("taken")
	platformDown = namespace.NewType("down")

	// ErrClaimTaken reports that another holder has the claim.
	ErrClaimTaken = claimTaken.NewWithNoMessage()
	// ErrPlatformDown reports that the platform can't be used to claim the request.
	ErrPlatformDown = platformDown.NewWithNoMessage()
)

// ClaimStore makes each request with an idempotency key run at most once over all instances, by means of claims in the
// platform store. Its exported fields are set before Serve.
type ClaimStore struct {
	Owner       string // incarnation of this instance
	Platform    *platform.Client
	OwnerEnded  func(owner string) bool // reports whether an incarnation is known to have ended
	ShouldPrune func() bool             // reports whether this instance removes expired claims
	Record      func(event.Event)
	Now         func() time.Time
	Wait        func(context.Context, time.Duration) error

	mu       sync.Mutex
	unsaved  []*Claim      // claims whose final write is not confirmed
	wake     chan struct{} // receives a value when a claim is added to unsaved
	allSaved chan struct{} // closed when unsaved becomes empty; nil while it is empty
	bucket   int           // bucket to prune next
}

// NewClaimStore returns a store that keeps claims on a platform, for the instance with the incarnation owner.
func NewClaimStore(owner string, client *platform.Client) *ClaimStore {
	return &ClaimStore{
		Owner:       owner,
		Platform:    client,
		OwnerEnded:  func(string) bool { return false },
		ShouldPrune: func() bool { return false },
		Record:      func(event.Event) {},
		Now:         time.Now,
		Wait:        delay.For,
		wake:        make(chan struct{}, 1),
	}
}

// Acquire acquires the claim of a request. If the request was claimed before, Acquire returns the stored response or
// a refusal, or takes the claim over if its request was not sent. The error is ErrPlatformDown if the platform can't be
// used; nothing has been sent then.
func (s *ClaimStore) Acquire(ctx context.Context, req ClaimRequest) (*Claim, *StoredResponse, error) {
	ctx, stop := context.WithTimeout(ctx, claimTimeout)
	defer stop()
	claim := &Claim{store: s, name: req.name(), record: ClaimRecord{
		Token:   uuid.NewString(),
		Owner:   s.Owner,
		State:   StateClaimed,
		Digest:  req.Digest,
		Expires: s.Now().Add(ClaimLifetime),
	}}
	existing, err := s.write(ctx, claim, claim.record)
	if err == nil {
		return claim, nil, nil
	}
	if !errors.Is(err, ErrClaimTaken) {
		claim.abandon(ctx)
		return nil, nil, err
	}
	return s.resolve(ctx, claim, existing)
}

// resolve decides on a request whose claim exists already: it returns the stored response, refuses the request, or
// takes the claim over if nothing was sent for it.
func (s *ClaimStore) resolve(ctx context.Context, claim *Claim, existing storedClaim) (*Claim, *StoredResponse, error) {
	if existing.record.Digest != claim.record.Digest {
		return nil, nil, errKeyReused
	}
	switch existing.record.State {
	case StateResponseStored:
		if existing.record.Response == nil || existing.record.Response.TooLong {
			return nil, nil, errResponseTooLong
		}
		return nil, existing.record.Response, nil
	case StateLost:
		return nil, nil, errResponseLost
	case StateSent:
		if s.OwnerEnded(existing.record.Owner) {
			return nil, nil, errResponseLost
		}
		return nil, nil, errInProgress.WithRetryAt(s.Now().Add(time.Second))
	}
	return s.takeOver(ctx, claim, existing)
}

// takeOver replaces a claim whose request was not sent. After that its former holder, even one that was only paused,
// can't send the request, because its conditional update to StateSent fails.
func (s *ClaimStore) takeOver(
	ctx context.Context, claim *Claim, existing storedClaim,
) (*Claim, *StoredResponse, error) {
	if !s.OwnerEnded(existing.record.Owner) {
		if err := s.Wait(ctx, takeOverDelay); err != nil {
			return nil, nil, platformDown.Wrap(err, "outcome: no time left to take over the claim")
		}
		current, err := s.read(ctx, claim.name)
		if err != nil {
			return nil, nil, platformDown.Wrap(err, "outcome: unable to read the claim")
		}
		if current.version != existing.version {
			return nil, nil, errInProgress.WithRetryAt(s.Now().Add(time.Second))
		}
	}
	claim.version = existing.version
	if _, err := s.write(ctx, claim, claim.record); err != nil {
		if errors.Is(err, ErrClaimTaken) {
			return nil, nil, errInProgress.WithRetryAt(s.Now().Add(time.Second))
		}
		claim.abandon(ctx)
		return nil, nil, err
	}
	s.Record(event.Event{Code: event.ClaimTakenOver, Detail: existing.record.Owner})
	return claim, nil, nil
}

// storedClaim is a claim as read from the platform store.
type storedClaim struct {
	version platform.Version // 0 if the store has no such claim
	record  ClaimRecord
}

// write stores want as the record of a claim if the stored claim still has the version claim.version. If another holder
// has the claim, write returns the claim as stored and ErrClaimTaken. If the platform's response was lost, write reads
// the claim again: the token and the state in the stored record show whether the write took effect.
func (s *ClaimStore) write(ctx context.Context, claim *Claim, want ClaimRecord) (storedClaim, error) {
	for range maxWriteTries {
		o, err := s.Platform.Update(ctx, claimKind(claim.name), claim.name, claim.version, want)
		if err == nil {
			claim.version, claim.record = o.Version, want
			return storedClaim{}, nil
		}
		if errors.Is(err, platform.ErrUnavailable) {
			return storedClaim{}, platformDown.Wrap(err, "outcome: unable to write the claim")
		}
		current, err := s.read(ctx, claim.name)
		if err != nil {
			return storedClaim{}, platformDown.Wrap(err, "outcome: unable to read the claim")
		}
		if current.record.Token == want.Token && current.record.State == want.State {
			claim.version, claim.record = current.version, want
			return storedClaim{}, nil
		}
		if current.version != claim.version {
			return current, claimTaken.New("outcome: the claim belongs to %s", current.record.Owner)
		}
	}
	return storedClaim{}, platformDown.New("outcome: the platform did not confirm the claim")
}

// read returns a claim as stored. Its version is 0 if there is none.
func (s *ClaimStore) read(ctx context.Context, name string) (storedClaim, error) {
	o, err := s.Platform.Get(ctx, claimKind(name), name)
	if errors.Is(err, platform.ErrNotFound) {
		return storedClaim{}, nil
	}
	if err != nil {
		return storedClaim{}, err
	}
	claim := storedClaim{version: o.Version}
	if err := json.Unmarshal(o.Data, &claim.record); err != nil {
		return claim, fmt.Errorf("outcome: unable to decode the claim %s: %w", name, err)
	}
	return claim, nil
}
