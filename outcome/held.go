package outcome

import (
	"context"
	"errors"
	"time"

	"teaselgate/event"
)

// Timing of the writes that end a claim.
const (
	saveInterval = 500 * time.Millisecond
	saveTimeout  = 3 * time.Second
	maxUnsaved   = 4096 // claims whose last write is still to be made
)

// MarkSent wins the right to send the call. Only after it has returned nil may the first byte leave.
// After an error nothing may be sent, and the claim is given up.
func (h *Claim) MarkSent(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, takeTimeout)
	defer stop()
	want := h.record
	want.State = StateSent
	_, err := h.claims.write(ctx, h, want)
	if errors.Is(err, ErrClaimTaken) {
		return errInProgress.WithRetryAt(h.claims.Now().Add(time.Second))
	}
	if err != nil {
		h.giveUp(ctx)
		return errPlatform
	}
	return nil
}

// StoreResponse keeps the answer for repeats. If the platform does not confirm in time, the write goes on
// in the background.
func (h *Claim) StoreResponse(ctx context.Context, answer StoredResponse) {
	want := h.record
	want.State, want.Answer = StateAnswered, &answer
	h.end(ctx, &want)
}

// MarkLost notes that the call was sent and its answer will not come.
func (h *Claim) MarkLost(ctx context.Context) {
	want := h.record
	want.State = StateLost
	h.end(ctx, &want)
}

// Release removes the claim of a call that was certainly not sent.
func (h *Claim) Release(ctx context.Context) { h.end(ctx, nil) }

func (h *Claim) end(ctx context.Context, last *ClaimRecord) {
	h.last = last
	ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer stop()
	if !h.save(ctx) {
		h.claims.queue(h)
	}
}

// giveUp removes what a write without an answer may have left behind; nothing was sent.
func (h *Claim) giveUp(context.Context) {
	h.last = nil
	h.claims.queue(h)
}

// save makes the last write, and tells whether nothing more is to be done.
func (h *Claim) save(ctx context.Context) bool {
	if h.last == nil {
		return h.remove(ctx)
	}
	_, err := h.claims.write(ctx, h, *h.last)
	if errors.Is(err, ErrClaimTaken) {
		h.claims.Record(event.Event{Code: event.ClaimNotStored, Detail: err.Error()})
		return true
	}
	return err == nil
}

// remove deletes the claim if it is still this holder's own.
func (h *Claim) remove(ctx context.Context) bool {
	now, err := h.claims.read(ctx, h.name)
	if err != nil {
		return false
	}
	if now.record.Token != h.record.Token {
		return true
	}
	return h.claims.Platform.Delete(ctx, claimKind(h.name), h.name, now.version) == nil
}

// queue keeps a claim whose last write is still to be made.
func (c *ClaimStore) queue(h *Claim) {
	c.mu.Lock()
	full := len(c.unsaved) >= maxUnsaved
	if !full {
		c.unsaved = append(c.unsaved, h)
		if c.finished == nil {
			c.finished = make(chan struct{})
		}
	}
	c.mu.Unlock()
	if full {
		c.Record(event.Event{Code: event.ClaimNotStored, Detail: "too many claims wait for the platform"})
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Serve makes the writes that the platform has not confirmed, and removes expired claims, until the context ends.
func (c *ClaimStore) Serve(ctx context.Context) error {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	for {
		var retry <-chan time.Time
		if c.save(ctx) > 0 {
			retry = time.After(saveInterval)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		case <-retry:
		case <-prune.C:
			c.prune(ctx)
		}
	}
}

// save tries each unsaved claim once and returns how many are left.
func (c *ClaimStore) save(ctx context.Context) int {
	c.mu.Lock()
	work := c.unsaved
	c.mu.Unlock()
	var left []*Claim
	for i, h := range work {
		saveCtx, stop := context.WithTimeout(ctx, saveTimeout)
		done := h.save(saveCtx)
		stop()
		if !done && c.Now().Before(h.record.Expires) {
			left = append(left, work[i+1:]...) // the platform is down; the others would fail too
			left = append(left, h)
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsaved = append(left, c.unsaved[len(work):]...)
	if len(c.unsaved) == 0 && c.finished != nil {
		close(c.finished)
		c.finished = nil
	}
	return len(c.unsaved)
}

// Drain waits until no claim is unsaved, and returns how many were left when the context ended.
func (c *ClaimStore) Drain(ctx context.Context) int {
	c.mu.Lock()
	finished := c.finished
	c.mu.Unlock()
	if finished == nil {
		return 0
	}
	select {
	case <-finished:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unsaved)
}
