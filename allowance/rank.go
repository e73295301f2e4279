package allowance

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"teaselgate/fleet"
)

// rankLength is the number of instances ranked for each shard, beside the first of each other zone.
const rankLength = 3

// ranking orders the live instances for each shard by rendezvous hashing.
type ranking struct {
	mu    sync.Mutex
	live  []Instance
	ranks [][]Instance
}

// follow takes in the membership; ranks are worked out anew only when it has changed.
func (r *ranking) follow(members []fleet.Member, shards int) {
	holders := make([]Instance, 0, len(members))
	for _, m := range members {
		if m.State == fleet.Live && m.Incarnation > 0 {
			holders = append(holders, Instance{Name: m.Name, Incarnation: m.Incarnation, Zone: m.Zone, Peer: m.Peer})
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.Equal(holders, r.live) && len(r.ranks) == shards {
		return
	}
	r.live = holders
	r.ranks = make([][]Instance, shards)
	for shard := range r.ranks {
		r.ranks[shard] = rankHolders(holders, shard)
	}
}

// rankHolders returns the first instances for a shard, and the first of each further zone.
func rankHolders(holders []Instance, shard int) []Instance {
	type scored struct {
		holder *Instance
		score  uint64
	}
	all := make([]scored, len(holders))
	for i := range holders {
		key := binary.AppendUvarint([]byte(holders[i].Name+"/"), uint64(shard))
		all[i] = scored{&holders[i], xxhash.Sum64(key)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.holder.Name, b.holder.Name))
	})
	var out []Instance
	zones := make(map[string]bool)
	for _, s := range all {
		if len(out) < rankLength || !zones[s.holder.Zone] {
			out = append(out, *s.holder)
		}
		zones[s.holder.Zone] = true
	}
	return out
}

func (r *ranking) rank(shard int) []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	if shard >= len(r.ranks) {
		return nil
	}
	return r.ranks[shard]
}

func (r *ranking) isLive(h Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.live, h.same)
}
