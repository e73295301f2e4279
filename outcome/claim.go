package outcome

import (
	"context"
	"errors"
	"time"

	"teaselgate/event"
	"teaselgate/platform"
)

// Claim is a claim that this instance holds on a request with an idempotency key.
type Claim struct {
	store   *ClaimStore
	name    string
	version platform.Version // version of the stored claim that the next write replaces; 0 if there is none
	record  ClaimRecord      // record that this holder wrote last, or writes first
	final   *ClaimRecord     // record of the final write; nil to delete the claim
}

// MarkSent acquires the right to send the request. Not a byte of it may be sent before MarkSent has returned nil.
// After an error the request must not be sent. The claim is then abandoned, unless another holder has taken it over.
func (c *Claim) MarkSent(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, claimTimeout)
	defer stop()
	want := c.record
	want.State = StateSent
	_, err := c.store.write(ctx, c, want)
	if errors.Is(err, ErrClaimTaken) {
		return errInProgress.WithRetryAt(c.store.Now().Add(time.Second))
	}
	if err != nil {
		c.abandon(ctx)
		return errPlatformUnreachable
	}
	return nil
}

// StoreResponse stores the response for retries of the request. If the platform does not confirm the write in time,
// the write goes on in the background.
func (c *Claim) StoreResponse(ctx context.Context, response StoredResponse) {
	want := c.record
	want.State, want.Response = StateResponseStored, &response
	c.finish(ctx, &want)
}

// MarkLost records that the request was sent and its response was lost.
func (c *Claim) MarkLost(ctx context.Context) {
	want := c.record
	want.State = StateLost
	c.finish(ctx, &want)
}

// Release deletes the claim of a request that was certainly not sent.
func (c *Claim) Release(ctx context.Context) { c.finish(ctx, nil) }

// finish makes the final write of the claim, or leaves it to ClaimStore.Serve if the platform does not confirm it in
// time.
func (c *Claim) finish(ctx context.Context, final *ClaimRecord) {
	c.final = final
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), finalWriteTimeout)
	defer stop()
	if !c.flush(ctx) {
		c.store.queue(c)
	}
}

// abandon queues the deletion of what an unconfirmed write may have left in the store. The request was not sent.
func (c *Claim) abandon(context.Context) {
	c.final = nil
	c.store.queue(c)
}

// flush makes the final write, and reports whether it is settled: confirmed, or pointless as another holder has the
// claim.
func (c *Claim) flush(ctx context.Context) bool {
	if c.final == nil {
		return c.deleteOwn(ctx)
	}
	_, err := c.store.write(ctx, c, *c.final)
	if errors.Is(err, ErrClaimTaken) {
		c.store.Record(event.Event{Code: event.ClaimNotStored, Detail: err.Error()})
		return true
	}
	return err == nil
}

// deleteOwn deletes the claim if this holder still has it. It reports false if the platform did not confirm this.
func (c *Claim) deleteOwn(ctx context.Context) bool {
	current, err := c.store.read(ctx, c.name)
	if err != nil {
		return false
	}
	if current.record.Token != c.record.Token {
		return true
	}
	return c.store.Platform.Delete(ctx, claimKind(c.name), c.name, current.version) == nil
}
