package outcome

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"teaselgate/event"
)

// Limits of the removal of expired claims.
const (
	pruneInterval = 10 * time.Second
	pruneTimeout  = 5 * time.Second // of one bucket
	pruneBatch    = 100             // highest number of claims removed from one bucket at a time
	maxClockSkew  = time.Hour       // highest tolerated difference between the clocks of two instances
)

// prune removes expired claims of one bucket, and goes on with the next bucket when it is called again. Each delete
// names the version that was read, so that a claim that was taken over in the meantime stays.
func (s *ClaimStore) prune(ctx context.Context) {
	if !s.ShouldPrune() {
		return
	}
	ctx, stop := context.WithTimeout(ctx, pruneTimeout)
	defer stop()
	bucket := fmt.Sprintf("%0*x", bucketDigits, s.bucket)
	s.bucket = (s.bucket + 1) % claimBuckets
	list, err := s.Platform.List(ctx, claimKind(bucket))
	if err != nil {
		return
	}
	removed := 0
	for _, o := range list.Objects {
		var r ClaimRecord
		if json.Unmarshal(o.Data, &r) != nil || s.Now().Before(r.Expires.Add(maxClockSkew)) {
			continue
		}
		if err := s.Platform.Delete(ctx, o.Kind, o.Name, o.Version); err != nil {
			continue
		}
		if removed++; removed == pruneBatch {
			break
		}
	}
	if removed > 0 {
		s.Record(event.Event{Code: event.ClaimsPruned})
	}
}
