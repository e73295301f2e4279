package queue

import (
	"container/heap"
	"slices"
	"time"
)

// Constants of the order within an account.
const (
	latePickInterval  = 4                      // one background pick in this many goes to late items
	newestFirstMargin = 100 * time.Millisecond // if the oldest on-time background item has less left, the newest goes first
	maxUrgentRun      = 8                      // consecutive urgent picks of an account before a background one
)

// account holds the waiting items of one client account.
type account struct {
	name         string
	weight       float64
	virtualStart float64 // virtual start time of its next item

	lanes           []*lane // by level, the most urgent first; without empty ones
	length          int
	urgentRun       int // consecutive urgent picks
	backgroundPicks int
}

// lane holds the items of one account and level.
type lane struct {
	level        *level
	onTime, late fifo[*Item]
	cost         float64
	heapIndex    int // in the level's heap; -1 if absent
}

func (l *lane) len() int { return l.onTime.len() + l.late.len() }

// onlyBestEffort reports whether all items are late, and the first of them is best-effort. There must be at least one.
func (l *lane) onlyBestEffort() bool { return l.onTime.len() == 0 && l.late.first().BestEffort() }

func (l *lane) fifoFor(i *Item) *fifo[*Item] {
	if !i.urgent() && i.Late {
		return &l.late
	}
	return &l.onTime
}

// lane returns the lane of a level, or nil if the account has no items there.
func (a *account) lane(order int) *lane {
	n, ok := a.search(order)
	if !ok {
		return nil
	}
	return a.lanes[n]
}

func (a *account) search(order int) (int, bool) {
	return slices.BinarySearchFunc(a.lanes, order, func(l *lane, order int) int { return l.level.order - order })
}

// addLane returns the lane of a level, and creates it if there is none.
func (a *account) addLane(l *level) *lane {
	n, ok := a.search(l.order)
	if !ok {
		a.lanes = slices.Insert(a.lanes, n, &lane{level: l, heapIndex: -1})
	}
	return a.lanes[n]
}

// urgentCost returns the cost of the account's urgent items of a rank and of more urgent ones.
func (a *account) urgentCost(rank int) float64 {
	sum := 0.0
	for _, l := range a.lanes {
		if l.level.order <= rank {
			sum += l.cost
		}
	}
	return sum
}

// cost returns the cost of all items of the account.
func (a *account) cost() float64 { return a.urgentCost(2 * backgroundOrder) }

// head returns the next item of the account for a pick from a level. After maxUrgentRun urgent picks in a row, a pick from an
// urgent level returns a background item, unless only best-effort ones wait.
func (a *account) head(now Instant, l *level) *Item {
	lane := a.lane(l.order)
	if l.urgent() && a.urgentRun >= maxUrgentRun {
		if n, _ := a.search(backgroundOrder); n < len(a.lanes) && !a.lanes[n].onlyBestEffort() {
			lane = a.lanes[n]
		}
	}
	if lane.level.urgent() {
		return lane.onTime.first()
	}
	takeLate := lane.onTime.len() == 0 ||
		(lane.late.len() > 0 && a.backgroundPicks%latePickInterval == latePickInterval-1)
	if takeLate && lane.late.len() > 0 {
		return lane.late.first()
	}
	if oldest := lane.onTime.first(); now.Before(oldest.Target.Add(-newestFirstMargin)) {
		return oldest
	}
	return lane.onTime.last()
}

// newest returns the newest item of the account's least urgent lane, late ones first.
func (a *account) newest() *Item {
	l := a.lanes[len(a.lanes)-1]
	if l.late.len() > 0 {
		return l.late.last()
	}
	return l.onTime.last()
}

// level is a class of waiting items. Those of a level go before those of higher order, within bounds.
type level struct {
	order    int
	accounts accountHeap
	cost     float64 // of its waiting items
	lateCost float64 // of those that are late
}

func (l *level) urgent() bool { return l.order < backgroundOrder }

// accountHeap orders the accounts with items in a level by virtual start time.
type accountHeap struct {
	accounts []*account
	order    int // of the level
}

func (h *accountHeap) Len() int { return len(h.accounts) }

func (h *accountHeap) Less(i, j int) bool {
	return h.accounts[i].virtualStart < h.accounts[j].virtualStart
}

func (h *accountHeap) Swap(i, j int) {
	h.accounts[i], h.accounts[j] = h.accounts[j], h.accounts[i]
	h.accounts[i].lane(h.order).heapIndex = i
	h.accounts[j].lane(h.order).heapIndex = j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.lane(h.order).heapIndex = len(h.accounts)
	h.accounts = append(h.accounts, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	last := len(h.accounts) - 1
	a := h.accounts[last]
	h.accounts = h.accounts[:last]
	a.lane(h.order).heapIndex = -1
	return a
}

// update adds an account to the heap, removes it, or restores the order after its virtual start time has changed.
func (h *accountHeap) update(a *account, in bool) {
	at := a.lane(h.order).heapIndex
	switch {
	case in && at < 0:
		heap.Push(h, a)
	case in:
		heap.Fix(h, at)
	case at >= 0:
		heap.Remove(h, at)
	}
}

// fifo is a queue that can also remove elements from the middle.
type fifo[T comparable] struct {
	items []T
}

func (f *fifo[T]) len() int { return len(f.items) }

func (f *fifo[T]) first() T { return f.items[0] }

func (f *fifo[T]) last() T { return f.items[len(f.items)-1] }

func (f *fifo[T]) push(v T) { f.items = append(f.items, v) }

func (f *fifo[T]) pushFront(v T) { f.items = append([]T{v}, f.items...) }

func (f *fifo[T]) remove(v T) {
	for i := range f.items {
		if f.items[i] != v {
			continue
		}
		if i == 0 {
			var zero T
			f.items[0] = zero
			f.items = f.items[1:]
			return
		}
		f.items = append(f.items[:i], f.items[i+1:]...)
		return
	}
}
