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

	// ErrTaken says that another holder has the claim.
	ErrTaken = taken.NewWithNoMessage()
	// ErrDown says that the platform can't be used to claim the call.
	ErrDown = down.NewWithNoMessage()
)

// Claims makes keyed calls run at most once over all instances. Its exported fields are set before Serve.
type Claims struct {
	Owner    string // incarnation of this instance
	Platform *platform.Client
	Gone     func(owner string) bool // whether an incarnation is known to have ended
	Prunes   func() bool             // whether this instance removes expired claims
	Record   func(event.Event)
	Now      func() time.Time
	Wait     func(context.Context, time.Duration) error

	mu       sync.Mutex
	unsaved  []*Held // whose last write is still to be made
	wake     chan struct{}
	finished chan struct{} // closed when nothing is unsaved
	bucket   int           // next one to remove expired claims from
}

// NewClaims returns claims at a platform.
func NewClaims(owner string, client *platform.Client) *Claims {
	return &Claims{
		Owner:    owner,
		Platform: client,
		Gone:     func(string) bool { return false },
		Prunes:   func() bool { return false },
		Record:   func(event.Event) {},
		Now:      time.Now,
		Wait:     delay.For,
		wake:     make(chan struct{}, 1),
	}
}

// Held is a claim won by this instance.
type Held struct {
	claims  *Claims
	name    string
	version uint64
	record  Record
	last    *Record // the write that is still to be made; nil deletes the claim
}

// Take wins the claim of a call, or returns the stored answer of an earlier run, or refuses.
// The error is ErrDown if the platform can't be used; nothing has been sent then.
func (c *Claims) Take(ctx context.Context, ask Ask) (*Held, *Answer, error) {
	ctx, stop := context.WithTimeout(ctx, takeTimeout)
	defer stop()
	h := &Held{claims: c, name: ask.name(), record: Record{
		Token:   uuid.NewString(),
		Owner:   c.Owner,
		State:   Claimed,
		Digest:  ask.Digest,
		Expires: c.Now().Add(ClaimWindow),
	}}
	old, err := c.write(ctx, h, h.record)
	if err == nil {
		return h, nil, nil
	}
	if !errors.Is(err, ErrTaken) {
		h.giveUp(ctx)
		return nil, nil, err
	}
	return c.resolve(ctx, h, old)
}

// resolve answers from the claim of an earlier call, or takes it over if nothing was sent for it.
func (c *Claims) resolve(ctx context.Context, h *Held, old stored) (*Held, *Answer, error) {
	if old.record.Digest != h.record.Digest {
		return nil, nil, errReused
	}
	switch old.record.State {
	case Answered:
		if old.record.Answer == nil || old.record.Answer.TooLong {
			return nil, nil, errTooLong
		}
		return nil, old.record.Answer, nil
	case Lost:
		return nil, nil, errLost
	case Sent:
		if c.Gone(old.record.Owner) {
			return nil, nil, errLost
		}
		return nil, nil, errInProgress.WithRetry(c.Now().Add(time.Second))
	}
	return c.takeOver(ctx, h, old)
}

// takeOver replaces a claim for which nothing was sent. Its holder, paused or not, can't send any more,
// because its conditional update to Sent now fails.
func (c *Claims) takeOver(ctx context.Context, h *Held, old stored) (*Held, *Answer, error) {
	if !c.Gone(old.record.Owner) {
		if err := c.Wait(ctx, retakeDelay); err != nil {
			return nil, nil, down.Wrap(err, "outcome: no time to take the claim over")
		}
		again, err := c.read(ctx, h.name)
		if err != nil {
			return nil, nil, down.Wrap(err, "outcome: unable to read the claim")
		}
		if again.version != old.version {
			return nil, nil, errInProgress.WithRetry(c.Now().Add(time.Second))
		}
	}
	h.version = old.version
	if _, err := c.write(ctx, h, h.record); err != nil {
		if errors.Is(err, ErrTaken) {
			return nil, nil, errInProgress.WithRetry(c.Now().Add(time.Second))
		}
		h.giveUp(ctx)
		return nil, nil, err
	}
	c.Record(event.Event{Code: event.ClaimRetaken, Detail: old.record.Owner})
	return h, nil, nil
}

// stored is a claim as read.
type stored struct {
	version uint64
	record  Record
}

// write stores a record over the version that the holder knows. A lost answer is resolved by rereading:
// the token and state in the object tell whether the write took effect.
func (c *Claims) write(ctx context.Context, h *Held, want Record) (stored, error) {
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
func (c *Claims) read(ctx context.Context, name string) (stored, error) {
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
