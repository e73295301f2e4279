package registry

import (
	"encoding/binary"
	"hash/fnv"

	"teaselgate/gossip"
	"teaselgate/platform"
)

// computeDigests returns digests of the versions of the servers that are not gone, by group, and of the evacuations in force, in
// the first group. The caller holds the lock.
func (f *Follower) computeDigests() gossip.Digests {
	var out gossip.Digests
	for id, e := range f.servers {
		if !e.Gone {
			out[groupOf(id)] ^= hashVersion(id, e.Version)
		}
	}
	for zone, e := range f.evacuations.zones {
		if !e.Ended {
			out[0] ^= hashVersion(platform.EvacuationKind+"/"+zone, e.Version)
		}
	}
	return out
}

// groupOf returns the group of a server's entry.
func groupOf(id string) int { return gossip.GroupOf(hashVersion(id, 0)) }

func hashVersion(name string, version platform.Version) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(name), uint64(version))) // never fails
	return h.Sum64()
}
