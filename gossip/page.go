package gossip

import (
	"context"
	"hash/fnv"
	"io"
)

// Groups is the number of groups of what an instance knows, each with a digest of its own, so that two instances that differ in
// some of it exchange the groups of these only.
const Groups = 64

// PageBytes is the size of the items after which a page ends, so that other calls on the connection don't wait for long.
const PageBytes = 8 << 10

// Digests are digests of what an instance knows, by group.
type Digests [Groups]uint64

// Hash returns a hash of texts.
func Hash(texts ...string) uint64 {
	h := fnv.New64a()
	for _, text := range texts {
		_, _ = io.WriteString(h, text) // never fails
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// GroupOf returns the group of an item by the hash of its name.
func GroupOf(hash uint64) int { return int(hash % Groups) }

// Sum returns a digest of all groups.
func (d Digests) Sum() uint64 {
	var sum uint64
	for _, group := range d {
		sum ^= group
	}
	return sum
}

// Differing returns the groups whose digests differ from others. Groups without another digest differ.
func (d Digests) Differing(other []uint64) GroupSet {
	var out GroupSet
	for group, digest := range d {
		out[group] = group >= len(other) || other[group] != digest
	}
	return out
}

// GroupSet is a set of groups.
type GroupSet [Groups]bool

// Page returns the groups of the set that a page holds which begins with one of them, by the sizes of all groups in bytes, and
// the group with which the next page begins, or 0 if there is none. A group is never divided.
func (s GroupSet) Page(from int, sizes [Groups]int) (page GroupSet, next int) {
	size := 0
	for group := max(from, 0); group < Groups; group++ {
		if !s[group] {
			continue
		}
		if size > 0 && size+sizes[group] > PageBytes {
			return page, group
		}
		page[group] = true
		size += sizes[group]
	}
	return page, 0
}

// EachPage calls f for one page after the other, beginning with group 0, until it fails or the next page is not a later one. Each
// call gets its own time limit, so that one without a reply ends early.
func EachPage(ctx context.Context, f func(ctx context.Context, from int) (next int, err error)) error {
	for from := 0; ; {
		call, stop := context.WithTimeout(ctx, callTimeout)
		next, err := f(call, from)
		stop()
		if err != nil || next <= from {
			return err
		}
		from = next
	}
}
