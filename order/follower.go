package order

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"teaselgate/platform"
	"teaselgate/rule"
)

// retryDelay is the pause after a failed watch.
const retryDelay = time.Second

// Follower knows where servers stand that holders have moved. Its exported fields are set before Serve.
type Follower struct {
	Watch func(ctx context.Context, kind string, after uint64) (platform.List, error)

	mu      sync.Mutex
	records map[string]Record // by group
	input   *rule.Set         // of the last Apply
	output  *rule.Set
}

// Serve follows the records until the context ends. While the platform is down, the last ones stand.
func (f *Follower) Serve(ctx context.Context) error {
	var seen uint64
	for ctx.Err() == nil {
		list, err := f.Watch(ctx, RecordKind, seen)
		if err != nil {
			pause(ctx, retryDelay)
			continue
		}
		for _, o := range list.Objects {
			f.take(o)
		}
		seen = list.Version
	}
	return ctx.Err()
}

func (f *Follower) take(o platform.Object) {
	var record Record
	if !o.Deleted && json.Unmarshal(o.Data, &record) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.records == nil {
		f.records = make(map[string]Record)
	}
	f.records[o.Name] = record
	f.input = nil
}

// Apply returns rules in which each moved server stands in its new pool, and a server that is drained is leaving.
// The result is kept until the rules or the records change.
func (f *Follower) Apply(set *rule.Set) *rule.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	if set == f.input {
		return f.output
	}
	f.input, f.output = set, set
	for _, record := range f.records {
		if len(record.Moves) > 0 {
			f.output = f.output.WithServers(record.apply)
		}
	}
	return f.output
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
