package order

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"time"

	"teaselgate/delay"
	"teaselgate/platform"
	"teaselgate/rule"
)

// RPCName is the name under which the follower's methods are registered for other instances.
const RPCName = "Order"

// Times of following the records.
const (
	retryDelay  = time.Second
	peerTimeout = time.Second
	askedPeers  = 3 // in each round
)

// VersionedRecord is a record with the version of its object.
type VersionedRecord struct {
	Version uint64
	Record  GroupRecord
}

// RecordFollower knows where servers stand that holders have moved. Its exported fields are set before Serve.
type RecordFollower struct {
	Watch func(ctx context.Context, kind string, after uint64) (platform.List, error)
	Peers func() []string // addresses of some other instances, asked while the platform is down
	Call  func(ctx context.Context, address, method string, args, reply any) error

	mu      sync.Mutex
	records map[string]VersionedRecord // by group
	input   *rule.Set                  // of the last Apply
	output  *rule.Set
}

// Serve follows the records until the context ends. While the platform is down, it asks other instances for theirs,
// so that one that starts in an outage does not place work by the rules alone.
func (f *RecordFollower) Serve(ctx context.Context) error {
	var seen uint64
	asked := false // nothing changes in an outage, so that one answer is enough
	for ctx.Err() == nil {
		list, err := f.Watch(ctx, GroupRecordKind, seen)
		if errors.Is(err, platform.ErrHistoryDropped) {
			seen = 0
			continue
		}
		if err != nil {
			asked = asked || f.askPeers(ctx)
			_ = delay.For(ctx, retryDelay)
			continue
		}
		asked = false
		for _, o := range list.Objects {
			var record GroupRecord
			if o.Deleted || json.Unmarshal(o.Data, &record) == nil {
				f.take(o.Name, VersionedRecord{o.Version, record})
			}
		}
		seen = list.Version
	}
	return ctx.Err()
}

// askPeers takes the records of some other instances and returns true if one of them answered.
func (f *RecordFollower) askPeers(ctx context.Context) (answered bool) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	for n, address := range f.Peers() {
		if n == askedPeers {
			break
		}
		var reply map[string]VersionedRecord
		if f.Call(ctx, address, RPCName+".Records", struct{}{}, &reply) != nil {
			continue
		}
		answered = true
		for group, known := range reply {
			f.take(group, known)
		}
	}
	return answered
}

// take keeps a record unless a newer one is known.
func (f *RecordFollower) take(group string, known VersionedRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.records == nil {
		f.records = make(map[string]VersionedRecord)
	}
	if known.Version > f.records[group].Version {
		f.records[group] = known
		f.input = nil
	}
}

// Receiver answers calls of other instances.
type Receiver struct{ follower *RecordFollower }

// Receiver returns what is to be registered under RPCName.
func (f *RecordFollower) Receiver() *Receiver { return &Receiver{f} }

// Records answers with all that the instance knows.
func (r *Receiver) Records(_ struct{}, reply *map[string]VersionedRecord) error {
	r.follower.mu.Lock()
	defer r.follower.mu.Unlock()
	*reply = maps.Clone(r.follower.records)
	return nil
}

// Apply returns rules in which each moved server stands in its new pool, and a server that is drained is leaving.
// The result is kept until the rules or the records change.
func (f *RecordFollower) Apply(set *rule.Set) *rule.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	if set == f.input {
		return f.output
	}
	f.input, f.output = set, set
	for _, known := range f.records {
		if len(known.Record.Moves) > 0 {
			f.output = f.output.WithServers(known.Record.apply)
		}
	}
	return f.output
}
