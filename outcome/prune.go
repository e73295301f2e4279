package outcome

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"teaselgate/event"
)

// Timing of the removal of expired claims.
const (
	pruneInterval = 10 * time.Second
	pruneTimeout  = 5 * time.Second
	pruneBatch    = 100       // claims removed in one round
	clockMargin   = time.Hour // by which clocks of two instances may differ
)

// prune removes claims of one bucket whose window has ended. A delete names the version that was read, so that a claim
// taken over in the meantime stays.
func (c *ClaimStore) prune(ctx context.Context) {
	if !c.ShouldPrune() {
		return
	}
	ctx, stop := context.WithTimeout(ctx, pruneTimeout)
	defer stop()
	bucket := fmt.Sprintf("%0*x", bucketDigits, c.bucket)
	c.bucket = (c.bucket + 1) % claimBuckets
	list, err := c.Platform.List(ctx, claimKind(bucket))
	if err != nil {
		return
	}
	removed := 0
	for _, o := range list.Objects {
		var r ClaimRecord
		if json.Unmarshal(o.Data, &r) != nil || c.Now().Before(r.Expires.Add(clockMargin)) {
			continue
		}
		if err := c.Platform.Delete(ctx, o.Kind, o.Name, o.Version); err != nil {
			continue
		}
		if removed++; removed == pruneBatch {
			break
		}
	}
	if removed > 0 {
		c.Record(event.Event{Code: event.ClaimsPruned})
	}
}
