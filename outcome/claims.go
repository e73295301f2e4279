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
	takeTimeout  = 4 * time.Second        // to win or refuse a claim
	storeTimeout = 250 * time.Millisecond // that an answer waits for its claim
	retakeDelay  = time.Second            // before the claim of a live holder is taken over
	maxWrites    = 4                      // of one record, while its answers are lost
)

var (
	namespace = errorx.NewNamespace("outcome")
	taken     = namespace.NewType("taken")
	down      = namespace.NewType("down")

	// ErrClaimTaken says that another holder has the claim.
	ErrClaimTaken = taken.NewWithNoMessage()
	// ErrPlatformDown says that the platform can't be used to claim the call.
	ErrPlatformDown = down.NewWithNoMessage()
)

// ClaimStore makes keyed calls run at most once over all instances. Its exported fields are set before Serve.
type ClaimStore struct {
	Owner       string // incarnation of this instance
	Platform    *platform.Client
	OwnerEnded  func(owner string) bool // whether an incarnation is known to have ended
	ShouldPrune func() bool             // whether this instance removes expired claims
	Record      func(event.Event)
	Now         func() time.Time
	Wait        func(context.Context, time.Duration) error

	mu       sync.Mutex
	unsaved  []*Claim // whose last write is still to be made
	wake     chan struct{}
	finished chan struct{} // closed when nothing is unsaved
	bucket   int           // next one to remove expired claims from
}

// NewClaimStore returns claims at a platform.
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

// Claim is a claim won by this instance.
type Claim struct {
	claims  *ClaimStore
	name    string
	version uint64
	record  ClaimRecord
	last    *ClaimRecord // the write that is still to be made; nil deletes the claim
}

// Acquire wins the claim of a call, or returns the stored answer of an earlier run, or refuses.
// The error is ErrDown if the platform can't be used; nothing has been sent then.
func (c *ClaimStore) Acquire(ctx context.Context, ask ClaimRequest) (*Claim, *StoredResponse, error) {
	ctx, stop := context.WithTimeout(ctx, takeTimeout)
	defer stop()
	h := &Claim{claims: c, name: ask.name(), record: ClaimRecord{
		Token:   uuid.NewString(),
		Owner:   c.Owner,
		State:   StateClaimed,
		Digest:  ask.Digest,
		Expires: c.Now().Add(ClaimLifetime),
	}}
	old, err := c.write(ctx, h, h.record)
	if err == nil {
		return h, nil, nil
	}
	if !errors.Is(err, ErrClaimTaken) {
		h.giveUp(ctx)
		return nil, nil, err
	}
	return c.resolve(ctx, h, old)
}

// resolve answers from the claim of an earlier call, or takes it over if nothing was sent for it.
func (c *ClaimStore) resolve(ctx context.Context, h *Claim, old stored) (*Claim, *StoredResponse, error) {
	if old.record.Digest != h.record.Digest {
		return nil, nil, errReused
	}
	switch old.record.State {
	case StateAnswered:
		if old.record.Answer == nil || old.record.Answer.TooLong {
			return nil, nil, errTooLong
		}
		return nil, old.record.Answer, nil
	case StateLost:
		return nil, nil, errLost
	case StateSent:
		if c.OwnerEnded(old.record.Owner) {
			return nil, nil, errLost
		}
		return nil, nil, errInProgress.WithRetryAt(c.Now().Add(time.Second))
	}
	return c.takeOver(ctx, h, old)
}

// takeOver replaces a claim for which nothing was sent. Its holder, paused or not, can't send any more,
// because its conditional update to Sent now fails.
func (c *ClaimStore) takeOver(ctx context.Context, h *Claim, old stored) (*Claim, *StoredResponse, error) {
	if !c.OwnerEnded(old.record.Owner) {
		if err := c.Wait(ctx, retakeDelay); err != nil {
			return nil, nil, down.Wrap(err, "outcome: no time to take the claim over")
		}
		again, err := c.read(ctx, h.name)
		if err != nil {
			return nil, nil, down.Wrap(err, "outcome: unable to read the claim")
		}
		if again.version != old.version {
			return nil, nil, errInProgress.WithRetryAt(c.Now().Add(time.Second))
		}
	}
	h.version = old.version
	if _, err := c.write(ctx, h, h.record); err != nil {
		if errors.Is(err, ErrClaimTaken) {
			return nil, nil, errInProgress.WithRetryAt(c.Now().Add(time.Second))
		}
		h.giveUp(ctx)
		return nil, nil, err
	}
	c.Record(event.Event{Code: event.ClaimTakenOver, Detail: old.record.Owner})
	return h, nil, nil
}

// stored is a claim as read.
type stored struct {
	version uint64
	record  ClaimRecord
}

// write stores a record over the version that the holder knows. A lost answer is resolved by rereading:
// the token and state in the object tell whether the write took effect.
func (c *ClaimStore) write(ctx context.Context, h *Claim, want ClaimRecord) (stored, error) {
	for range maxWrites {
		o, err := c.Platform.Update(ctx, claimKind(h.name), h.name, h.version, want)
		if err == nil {
			h.version, h.record = o.Version, want
			return stored{}, nil
		}
		if errors.Is(err, platform.ErrUnavailable) {
			return stored{}, down.Wrap(err, "outcome: unable to write the claim")
		}
		now, err := c.read(ctx, h.name)
		if err != nil {
			return stored{}, down.Wrap(err, "outcome: unable to read the claim")
		}
		if now.record.Token == want.Token && now.record.State == want.State {
			h.version, h.record = now.version, want
			return stored{}, nil
		}
		if now.version != h.version {
			return now, taken.New("outcome: the claim belongs to %s", now.record.Owner)
		}
	}
	return stored{}, down.New("outcome: the platform does not confirm the claim")
}

// read returns a claim; its version is 0 if there is none.
func (c *ClaimStore) read(ctx context.Context, name string) (stored, error) {
	o, err := c.Platform.Get(ctx, claimKind(name), name)
	if errors.Is(err, platform.ErrNotFound) {
		return stored{}, nil
	}
	if err != nil {
		return stored{}, err
	}
	s := stored{version: o.Version}
	if err := json.Unmarshal(o.Data, &s.record); err != nil {
		return s, fmt.Errorf("outcome: unable to decode the claim %s: %w", name, err)
	}
	return s, nil
}
