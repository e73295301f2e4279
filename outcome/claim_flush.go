package outcome

import (
	"context"
	"time"

	"teaselgate/event"
)

// Limits of the final writes of claims.
const (
	flushInterval = 500 * time.Millisecond // between two tries while the platform is down
	flushTimeout  = 3 * time.Second        // of one write
	maxUnsaved    = 4096                   // claims whose final write is not confirmed
)

// queue leaves the final write of a claim to Serve, or drops the write if too many claims are unsaved.
func (s *ClaimStore) queue(claim *Claim) {
	s.mu.Lock()
	full := len(s.unsaved) >= maxUnsaved
	if !full {
		s.unsaved = append(s.unsaved, claim)
		if s.allSaved == nil {
			s.allSaved = make(chan struct{})
		}
	}
	s.mu.Unlock()
	if full {
		s.Record(event.Event{Code: event.ClaimNotStored, Detail: "too many claims wait for the platform"})
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Serve makes the final writes that the platform has not confirmed, and removes expired claims, until the context ends.
func (s *ClaimStore) Serve(ctx context.Context) error {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	for {
		var retry <-chan time.Time
		if s.flush(ctx) > 0 {
			retry = time.After(flushInterval)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		case <-retry:
		case <-prune.C:
			s.prune(ctx)
		}
	}
}

// flush tries the final write of each unsaved claim once, up to the first failure. It returns how many claims are
// left unsaved. A claim that has expired is dropped even if its write fails.
func (s *ClaimStore) flush(ctx context.Context) int {
	s.mu.Lock()
	claims := s.unsaved
	s.mu.Unlock()
	var left []*Claim
	for i, claim := range claims {
		flushCtx, stop := context.WithTimeout(ctx, flushTimeout)
		done := claim.flush(flushCtx)
		stop()
		if !done && s.Now().Before(claim.record.Expires) {
			left = append(left, claims[i+1:]...) // the platform is down, so the other writes would fail too
			left = append(left, claim)
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsaved = append(left, s.unsaved[len(claims):]...)
	if len(s.unsaved) == 0 && s.allSaved != nil {
		close(s.allSaved)
		s.allSaved = nil
	}
	return len(s.unsaved)
}

// Drain waits until no claim is unsaved or the context ends, and returns how many claims are left unsaved.
func (s *ClaimStore) Drain(ctx context.Context) int {
	s.mu.Lock()
	allSaved := s.allSaved
	s.mu.Unlock()
	if allSaved == nil {
		return 0
	}
	select {
	case <-allSaved:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unsaved)
}
