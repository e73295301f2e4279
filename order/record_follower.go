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

// Timing and fan-out of following the records.
const (
	retryDelay    = time.Second // delay after a failed watch
	peerTimeout   = time.Second // timeout of all calls to peers in one attempt
	maxPeersAsked = 3           // largest number of peers that are asked in one attempt
)

// VersionedRecord is a group record with the version of its object in the platform store.
type VersionedRecord struct {
	Version platform.Version
	Record  GroupRecord
}

// RecordFollower keeps a copy of all group records and applies them to the rules, so that each moved server is in
// its current pool. Its exported fields are set before Serve.
type RecordFollower struct {
	Watch func(ctx context.Context, kind string, after platform.Version) (platform.List, error)
	Peers func() []string // addresses of other instances, asked while the platform store is down
	Call  func(ctx context.Context, address, method string, args, reply any) error

	mu          sync.Mutex
	records     map[string]VersionedRecord // by name of the group
	inputRules  *rule.Set                  // argument of the last Apply; nil after a record has changed
	outputRules *rule.Set                  // result of the last Apply
}

// Serve follows the records until the context ends. While the platform store is down, it asks other instances for their
// records, so that an instance that starts during an outage knows which servers have been moved.
func (f *RecordFollower) Serve(ctx context.Context) error {
	var seen platform.Version
	peersAsked := false // records do not change during an outage, so one reply is enough
	for ctx.Err() == nil {
		list, err := f.Watch(ctx, GroupRecordKind, seen)
		if errors.Is(err, platform.ErrHistoryDropped) {
			seen = 0
			continue
		}
		if err != nil {
			peersAsked = peersAsked || f.fetchFromPeers(ctx)
			_ = delay.For(ctx, retryDelay)
			continue
		}
		peersAsked = false
		for _, o := range list.Objects {
			var record GroupRecord
			if o.Deleted || json.Unmarshal(o.Data, &record) == nil {
				f.merge(o.Name, VersionedRecord{o.Version, record})
			}
		}
		seen = list.Version
	}
	return ctx.Err()
}

// fetchFromPeers merges the records of some other instances and reports whether one of them replied.
func (f *RecordFollower) fetchFromPeers(ctx context.Context) (replied bool) {
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	for n, address := range f.Peers() {
		if n == maxPeersAsked {
			break
		}
		var reply map[string]VersionedRecord
		if f.Call(ctx, address, RPCName+".Records", struct{}{}, &reply) != nil {
			continue
		}
		replied = true
		for group, versioned := range reply {
			f.merge(group, versioned)
		}
	}
	return replied
}

// merge stores a record unless one of the same or a newer version is known.
func (f *RecordFollower) merge(group string, update VersionedRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.records == nil {
		f.records = make(map[string]VersionedRecord)
	}
	if update.Version > f.records[group].Version {
		f.records[group] = update
		f.inputRules = nil
	}
}

// Receiver serves the RPC methods of a RecordFollower.
type Receiver struct{ follower *RecordFollower }

// Receiver returns the net/rpc receiver to register under RPCName.
func (f *RecordFollower) Receiver() *Receiver { return &Receiver{f} }

// Records replies with all records that this instance knows.
func (r *Receiver) Records(_ struct{}, reply *map[string]VersionedRecord) error {
	r.follower.mu.Lock()
	defer r.follower.mu.Unlock()
	*reply = maps.Clone(r.follower.records)
	return nil
}

// Apply returns the rules with each moved server in its new pool and each draining server leaving. It caches the
// result until the rules or the records change.
func (f *RecordFollower) Apply(set *rule.Set) *rule.Set {
	f.mu.Lock()
	defer f.mu.Unlock()
	if set == f.inputRules {
		return f.outputRules
	}
	f.inputRules, f.outputRules = set, set
	for _, versioned := range f.records {
		if len(versioned.Record.Moves) > 0 {
			f.outputRules = f.outputRules.WithServers(versioned.Record.apply)
		}
	}
	return f.outputRules
}
