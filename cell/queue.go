package cell

import (
	"container/heap"
	"time"

	"teaselgate/rule"
)

// Constants of the queue.
const (
	maxQueueLength         = 4096                   // requests
	outputTokenCost        = 16                     // cost of a generated token in prompt tokens
	maxSkippedAccounts     = 8                      // accounts whose head does not fit that are passed over in one step
	backgroundPickInterval = 8                      // one pick in so many goes to slow work that waits
	latePickInterval       = 4                      // one pick of slow work in so many goes to work past its target
	newestFirstMargin      = 100 * time.Millisecond // less time left to the oldest fresh work means that the newest goes first
	maxUrgentRun           = 8                      // picks of an account's urgent work before one of its slow work
	maxUrgentLeadSeconds   = 0.5                    // seconds of the cell by which urgent work may run ahead of an account's share
)

// item is a waiting request.
type item struct {
	request        PlaceRequest
	cost           float64 // prompt tokens
	account        *accountQueue
	arrived        instant
	targetDeadline instant // the first token meets its target if placed until then
	answerDeadline instant // the caller has the whole answer in time if placed until then
	waitDeadline   instant // end of the wait
	late           bool    // slow work past its target
}

func (i *item) urgent() bool { return i.request.Class != rule.ClassSummary && !i.bestEffort() }

// spare tells whether the request gets only what those leave that can be on time. Load that it answers: a burst makes more
// requests late than can be served.
func (i *item) bestEffort() bool { return i.late && i.request.Class == rule.ClassPatient }

// accountQueue holds the waiting requests of one client account.
type accountQueue struct {
	name         string
	weight       float64
	virtualStart float64 // virtual start time of its next request

	urgent, onTime, late fifo[*item]
	urgentCost           float64
	backgroundCost       float64
	urgentRun            int // picks of urgent work in a row
	backgroundPicks      int
	heapIndex            [2]int // in the heaps of urgent and slow work; -1 outside
}

// head returns the request that an account sends next for one of the two heaps.
func (a *accountQueue) head(now instant, background bool) *item {
	if !background && a.urgentRun >= maxUrgentRun && a.backgroundLen() > 0 && !a.onlyBestEffort() {
		background = true
	}
	if !background {
		return a.urgent.first()
	}
	takeLate := a.onTime.len() == 0 || (a.late.len() > 0 && a.backgroundPicks%latePickInterval == latePickInterval-1)
	if takeLate && a.late.len() > 0 {
		return a.late.first()
	}
	if oldest := a.onTime.first(); now.Before(oldest.targetDeadline.Add(-newestFirstMargin)) {
		return oldest
	}
	return a.onTime.last()
}

// onlySpare tells whether all slow work is such that gets only what urgent work leaves.
func (a *accountQueue) onlyBestEffort() bool {
	return a.onTime.len() == 0 && a.late.first().bestEffort()
}

func (a *accountQueue) backgroundLen() int { return a.onTime.len() + a.late.len() }

func (a *accountQueue) fifoFor(i *item) *fifo[*item] {
	switch {
	case i.urgent():
		return &a.urgent
	case i.late:
		return &a.late
	default:
		return &a.onTime
	}
}

// accountHeap orders accounts by virtual start time.
type accountHeap struct {
	accounts []*accountQueue
	kind     int // index into position
}

func (h *accountHeap) Len() int { return len(h.accounts) }

func (h *accountHeap) Less(i, j int) bool {
	return h.accounts[i].virtualStart < h.accounts[j].virtualStart
}

func (h *accountHeap) Swap(i, j int) {
	h.accounts[i], h.accounts[j] = h.accounts[j], h.accounts[i]
	h.accounts[i].heapIndex[h.kind] = i
	h.accounts[j].heapIndex[h.kind] = j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*accountQueue)
	a.heapIndex[h.kind] = len(h.accounts)
	h.accounts = append(h.accounts, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	last := len(h.accounts) - 1
	a := h.accounts[last]
	h.accounts = h.accounts[:last]
	a.heapIndex[h.kind] = -1
	return a
}

// set puts an account in or out of the heap, or mends its position.
func (h *accountHeap) update(a *accountQueue, in bool) {
	at := a.heapIndex[h.kind]
	switch {
	case in && at < 0:
		heap.Push(h, a)
	case in:
		heap.Fix(h, at)
	case at >= 0:
		heap.Remove(h, at)
	}
}

// fairQueue shares a cell among client accounts by start-time fair queueing in token cost. Urgent
// work goes ahead of slow work within bounds.
type fairQueue struct {
	accounts     map[string]*accountQueue
	urgent       accountHeap
	background   accountHeap
	virtualTime  float64 // virtual time
	maxCredit    float64 // unused share that an account may make up for
	length       int
	activeWeight float64 // of the accounts that wait
	waitingCost  [2]float64
	lateCost     float64
	picks        int
}

func newFairQueue() *fairQueue {
	return &fairQueue{accounts: make(map[string]*accountQueue), background: accountHeap{kind: 1}}
}

func (q *fairQueue) account(name string, weight int) *accountQueue {
	a, ok := q.accounts[name]
	if !ok {
		a = &accountQueue{name: name, heapIndex: [2]int{-1, -1}}
		q.accounts[name] = a
	}
	if a.urgent.len()+a.backgroundLen() == 0 {
		a.weight = float64(max(weight, 1))
	}
	return a
}

// push adds a request to its account's queue.
func (q *fairQueue) push(i *item) {
	a := i.account
	if a.urgent.len()+a.backgroundLen() == 0 {
		a.virtualStart = max(a.virtualStart, q.virtualTime-q.maxCredit)
		q.activeWeight += a.weight
	}
	a.fifoFor(i).push(i)
	q.addCost(i, 1)
	q.updateHeaps(a)
}

// remove takes a request out that was placed, refused or withdrawn.
func (q *fairQueue) remove(i *item) {
	a := i.account
	a.fifoFor(i).remove(i)
	q.addCost(i, -1)
	if a.urgent.len()+a.backgroundLen() == 0 {
		q.activeWeight -= a.weight
	}
	q.updateHeaps(a)
}

func (q *fairQueue) addCost(i *item, sign int) {
	cost := float64(sign) * i.cost
	q.length += sign
	if i.urgent() {
		i.account.urgentCost += cost
		q.waitingCost[0] += cost
		return
	}
	i.account.backgroundCost += cost
	q.waitingCost[1] += cost
	if i.late {
		q.lateCost += cost
	}
}

func (q *fairQueue) updateHeaps(a *accountQueue) {
	q.urgent.update(a, a.urgent.len() > 0)
	q.background.update(a, a.backgroundLen() > 0)
}

// taken charges a placed request to its account.
func (q *fairQueue) chargePlaced(i *item) {
	a := i.account
	q.virtualTime = max(q.virtualTime, q.minVirtualStart())
	a.virtualStart += i.cost / a.weight
	q.picks++
	if i.urgent() {
		a.urgentRun++
	} else {
		a.urgentRun = 0
		a.backgroundPicks++
	}
	q.remove(i)
	if q.length == 0 {
		q.virtualTime = max(q.virtualTime, a.virtualStart)
	}
}

// least returns the smallest virtual start time of the accounts that wait.
func (q *fairQueue) minVirtualStart() float64 {
	u, s := q.urgent.accounts, q.background.accounts
	switch {
	case len(u) == 0 && len(s) == 0:
		return q.virtualTime
	case len(u) == 0:
		return s[0].virtualStart
	case len(s) == 0:
		return u[0].virtualStart
	default:
		return min(u[0].virtualStart, s[0].virtualStart)
	}
}

// pick offers waiting requests in fair order until one is taken; it passes over a few that do not fit.
func (q *fairQueue) pick(now instant, urgentLead float64, try func(*item) bool) *item {
	var skipped []*accountQueue
	var taken *item
	for len(skipped) < maxSkippedAccounts && taken == nil {
		a, slow := q.next(urgentLead)
		if a == nil {
			break
		}
		i := a.head(now, slow)
		if try(i) {
			taken = i
			break
		}
		skipped = append(skipped, a)
		q.urgent.update(a, false)
		q.background.update(a, false)
	}
	for _, a := range skipped {
		q.updateHeaps(a)
	}
	if taken != nil {
		q.chargePlaced(taken)
	}
	return taken
}

// next chooses the account to serve, and whether its slow work is meant.
func (q *fairQueue) next(urgentLead float64) (a *accountQueue, background bool) {
	u, s := q.urgent.accounts, q.background.accounts
	switch {
	case len(s) == 0 && len(u) == 0:
		return nil, false
	case len(u) == 0:
		return s[0], true
	case len(s) == 0:
		return u[0], false
	}
	if !s[0].onlyBestEffort() && (q.picks%backgroundPickInterval == backgroundPickInterval-1 || u[0].virtualStart > s[0].virtualStart+urgentLead) {
		return s[0], true
	}
	return u[0], false
}

// forget drops idle accounts whose use lies in the past.
func (q *fairQueue) removeIdle() {
	for name, a := range q.accounts {
		if a.urgent.len()+a.backgroundLen() == 0 && a.virtualStart <= q.virtualTime-q.maxCredit {
			delete(q.accounts, name)
		}
	}
}

// fifo is a queue with removal from within.
type fifo[T comparable] struct {
	items []T
}

func (f *fifo[T]) len() int { return len(f.items) }

func (f *fifo[T]) first() T { return f.items[0] }

func (f *fifo[T]) last() T { return f.items[len(f.items)-1] }

func (f *fifo[T]) push(v T) { f.items = append(f.items, v) }

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
