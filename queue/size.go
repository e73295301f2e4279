package queue

import (
	"math"
	"time"
)

// Constants of the preference for small items.
const (
	displaceFactor = 2.0              // a waiting item must need this many times the work of a new one to give way to it
	largeFactor    = 1.5              // items with this many times the mean cost count as large
	largeFloor     = 0.8              // large items must be on time at least this many times as often as all
	sizeWindow     = 10 * time.Second // time constant of the counts
)

// sizeShares counts how many items were placed on time or became late, all and the large ones, over sizeWindow.
type sizeShares struct {
	at                   Instant
	count, cost          float64 // of all items
	onTime               float64
	largeCount, largeFit float64 // large items, and those of them that were on time
}

func (s *sizeShares) advance(now Instant) {
	if !s.at.IsZero() {
		keep := math.Exp(-now.Sub(s.at).Seconds() / sizeWindow.Seconds())
		for _, v := range []*float64{&s.count, &s.cost, &s.onTime, &s.largeCount, &s.largeFit} {
			*v *= keep
		}
	}
	s.at = now
}

func (s *sizeShares) isLarge(i *Item) bool { return s.count > 0 && i.Cost > largeFactor*s.cost/s.count }

// recordPlaced records an item that was placed. One that is late was recorded when it became so.
func (s *sizeShares) recordPlaced(now Instant, i *Item) {
	if !i.Late {
		s.record(now, i, true)
	}
}

// RecordLate records an item that has become late.
func (q *Fair) RecordLate(now Instant, i *Item) { q.sizes.record(now, i, false) }

func (s *sizeShares) record(now Instant, i *Item, onTime bool) {
	s.advance(now)
	large := s.isLarge(i)
	s.count++
	s.cost += i.Cost
	if large {
		s.largeCount++
	}
	if !onTime {
		return
	}
	s.onTime++
	if large {
		s.largeFit++
	}
}

// largeMayGiveWay reports whether large items have been on time nearly as often as all.
func (s *sizeShares) largeMayGiveWay() bool {
	if s.count == 0 || s.largeCount == 0 {
		return true
	}
	return s.largeFit/s.largeCount >= largeFloor*s.onTime/s.count
}

// Displaced returns the waiting item that may become late so that a new one can be on time: the one of the same account and
// level that needs the most work, at least displaceFactor times that of the new one. It returns nil if there is none, or if
// large items have given way often enough.
func (q *Fair) Displaced(now Instant, newItem *Item) *Item {
	q.sizes.advance(now)
	lane := newItem.account.lane(newItem.levelOrder())
	if lane == nil || !newItem.urgent() || !newItem.Patient {
		return nil
	}
	var largest *Item
	for _, i := range lane.onTime.items {
		if i.Cost >= displaceFactor*newItem.Cost && (largest == nil || i.Cost > largest.Cost) {
			largest = i
		}
	}
	if largest == nil || !q.sizes.largeMayGiveWay() {
		return nil
	}
	return largest
}
