package allowance

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"teaselgate/fleet"
)

// rankLength is the number of instances ranked for each shard, in addition to the highest-ranked one of each other
// availability zone.
const rankLength = 3

// ranking orders the live instances for each shard by rendezvous hashing.
type ranking struct {
	mu            sync.Mutex
	liveInstances []Instance
	byShard       [][]Instance
}

// update applies the current membership. The ranking is recomputed only if the live instances have changed.
func (r *ranking) update(members []fleet.Member, shards int) {
	instances := make([]Instance, 0, len(members))
	for _, m := range members {
		if m.State == fleet.Live && m.Incarnation > 0 {
			instances = append(instances, Instance{Name: m.Name, Incarnation: m.Incarnation, Zone: m.Zone, Peer: m.Peer})
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(instances, r.liveInstances) && len(r.byShard) == shards {
		return
	}
	r.liveInstances = instances
	r.byShard = make([][]Instance, shards)
	for shard := range r.byShard {
		r.byShard[shard] = rankInstances(instances, shard)
	}
}

// rankInstances returns the highest-ranked instances for a shard, and the highest-ranked one of each further
// availability zone.
func rankInstances(instances []Instance, shard int) []Instance {
	type scored struct {
		instance *Instance
		score    uint64
	}
	all := make([]scored, len(instances))
	for i := range instances {
		key := binary.AppendUvarint([]byte(instances[i].Name+"/"), uint64(shard))
		all[i] = scored{&instances[i], xxhash.Sum64(key)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.instance.Name, b.instance.Name))
	})
	var out []Instance
	zones := make(map[string]bool)
	for _, s := range all {
		if len(out) < rankLength || !zones[s.instance.Zone] {
			out = append(out, *s.instance)
		}
		zones[s.instance.Zone] = true
	}
	return out
}

func (r *ranking) forShard(shard int) []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	if shard >= len(r.byShard) {
		return nil
	}
	return r.byShard[shard]
}

func (r *ranking) isLive(instance Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.liveInstances, instance.sameIncarnation)
}
