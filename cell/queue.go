package cell

import (
	"container/heap"
	"time"

	"teaselgate/rule"
)

// Constants of the queue.
const (
	maxQueue        = 4096                   // requests
	outputCost      = 16                     // cost of a generated token in prompt tokens
	maxBypass       = 8                      // accounts whose head does not fit that are passed over in one step
	slowShare       = 8                      // one pick in so many goes to slow work that waits
	lateShare       = 4                      // one pick of slow work in so many goes to work past its target
	freshReserve    = 100 * time.Millisecond // less time left to the oldest fresh work means that the newest goes first
	urgentRun       = 8                      // picks of an account's urgent work before one of its slow work
	queueClockShare = 0.5                    // seconds of the cell by which urgent work may run ahead of an account's share
)

// item is a waiting request.
type item struct {
	ask     PlaceRequest
	cost    float64 // prompt tokens
	account *accountQueue
	arrived instant
	useful  instant // the first token meets its target if placed until then
	latest  instant // the caller has the whole answer in time if placed until then
	limit   instant // end of the wait
	late    bool    // slow work past its target
}

func (i *item) urgent() bool { return i.ask.Class != rule.ClassSummary && !i.spare() }

// spare tells whether the request gets only what those leave that can be on time. Load that it answers: a burst makes more
// requests late than can be served.
func (i *item) spare() bool { return i.late && i.ask.Class == rule.ClassPatient }

// accountQueue holds the waiting requests of one client account.
type accountQueue struct {
	name   string
	weight float64
	tag    float64 // virtual start time of its next request

	urgent, fresh, late fifo[*item]
	urgentCost          float64
	slowCost            float64
	run                 int // picks of urgent work in a row
	slowPicks           int
	position            [2]int // in the heaps of urgent and slow work; -1 outside
}

// head returns the request that an account sends next for one of the two heaps.
func (a *accountQueue) head(now instant, slow bool) *item {
	if !slow && a.run >= urgentRun && a.slowLen() > 0 && !a.onlySpare() {
		slow = true
	}
	if !slow {
		return a.urgent.first()
	}
	takeLate := a.fresh.len() == 0 || (a.late.len() > 0 && a.slowPicks%lateShare == lateShare-1)
	if takeLate && a.late.len() > 0 {
		return a.late.first()
	}
	if oldest := a.fresh.first(); now.Before(oldest.useful.Add(-freshReserve)) {
		return oldest
	}
	return a.fresh.last()
}

// onlySpare tells whether all slow work is such that gets only what urgent work leaves.
func (a *accountQueue) onlySpare() bool { return a.fresh.len() == 0 && a.late.first().spare() }

func (a *accountQueue) slowLen() int { return a.fresh.len() + a.late.len() }

func (a *accountQueue) fifoOf(i *item) *fifo[*item] {
	switch {
	case i.urgent():
		return &a.urgent
	case i.late:
		return &a.late
	default:
		return &a.fresh
	}
}

// accountHeap orders accounts by virtual start time.
type accountHeap struct {
	accounts []*accountQueue
	slot     int // index into position
}

func (h *accountHeap) Len() int { return len(h.accounts) }

func (h *accountHeap) Less(i, j int) bool { return h.accounts[i].tag < h.accounts[j].tag }

func (h *accountHeap) Swap(i, j int) {
	h.accounts[i], h.accounts[j] = h.accounts[j], h.accounts[i]
	h.accounts[i].position[h.slot] = i
	h.accounts[j].position[h.slot] = j
}

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) {
	a := x.(*accountQueue)
	a.position[h.slot] = len(h.accounts)
	h.accounts = append(h.accounts, a)
}

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	last := len(h.accounts) - 1
	a := h.accounts[last]
	h.accounts = h.accounts[:last]
	a.position[h.slot] = -1
	return a
}

// set puts an account in or out of the heap, or mends its position.
func (h *accountHeap) set(a *accountQueue, in bool) {
	at := a.position[h.slot]
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
	accounts map[string]*accountQueue
	urgent   accountHeap
	slow     accountHeap
	clock    float64 // virtual time
	credit   float64 // unused share that an account may make up for
	length   int
	weights  float64 // of the accounts that wait
	cost     [2]float64
	lateCost float64
	picks    int
}

func newFairQueue() *fairQueue {
	return &fairQueue{accounts: make(map[string]*accountQueue), slow: accountHeap{slot: 1}}
}

func (q *fairQueue) account(name string, weight int) *accountQueue {
	a, ok := q.accounts[name]
	if !ok {
		a = &accountQueue{name: name, position: [2]int{-1, -1}}
		q.accounts[name] = a
	}
	if a.urgent.len()+a.slowLen() == 0 {
		a.weight = float64(max(weight, 1))
	}
	return a
}

// push adds a request to its account's queue.
func (q *fairQueue) push(i *item) {
	a := i.account
	if a.urgent.len()+a.slowLen() == 0 {
		a.tag = max(a.tag, q.clock-q.credit)
		q.weights += a.weight
	}
	a.fifoOf(i).push(i)
	q.count(i, 1)
	q.place(a)
}

// remove takes a request out that was placed, refused or withdrawn.
func (q *fairQueue) remove(i *item) {
	a := i.account
	a.fifoOf(i).remove(i)
	q.count(i, -1)
	if a.urgent.len()+a.slowLen() == 0 {
		q.weights -= a.weight
	}
	q.place(a)
}

func (q *fairQueue) count(i *item, sign int) {
	cost := float64(sign) * i.cost
	q.length += sign
	if i.urgent() {
		i.account.urgentCost += cost
		q.cost[0] += cost
		return
	}
	i.account.slowCost += cost
	q.cost[1] += cost
	if i.late {
		q.lateCost += cost
	}
}

func (q *fairQueue) place(a *accountQueue) {
	q.urgent.set(a, a.urgent.len() > 0)
	q.slow.set(a, a.slowLen() > 0)
}

// taken charges a placed request to its account.
func (q *fairQueue) taken(i *item) {
	a := i.account
	q.clock = max(q.clock, q.least())
	a.tag += i.cost / a.weight
	q.picks++
	if i.urgent() {
		a.run++
	} else {
		a.run = 0
		a.slowPicks++
	}
	q.remove(i)
	if q.length == 0 {
		q.clock = max(q.clock, a.tag)
	}
}

// least returns the smallest virtual start time of the accounts that wait.
func (q *fairQueue) least() float64 {
	u, s := q.urgent.accounts, q.slow.accounts
	switch {
	case len(u) == 0 && len(s) == 0:
		return q.clock
	case len(u) == 0:
		return s[0].tag
	case len(s) == 0:
		return u[0].tag
	default:
		return min(u[0].tag, s[0].tag)
	}
}

// pick offers waiting requests in fair order until one is taken; it passes over a few that do not fit.
func (q *fairQueue) pick(now instant, ahead float64, try func(*item) bool) *item {
	var passed []*accountQueue
	var taken *item
	for len(passed) < maxBypass && taken == nil {
		a, slow := q.next(ahead)
		if a == nil {
			break
		}
		i := a.head(now, slow)
		if try(i) {
			taken = i
			break
		}
		passed = append(passed, a)
		q.urgent.set(a, false)
		q.slow.set(a, false)
	}
	for _, a := range passed {
		q.place(a)
	}
	if taken != nil {
		q.taken(taken)
	}
	return taken
}

// next chooses the account to serve, and whether its slow work is meant.
func (q *fairQueue) next(ahead float64) (a *accountQueue, slow bool) {
	u, s := q.urgent.accounts, q.slow.accounts
	switch {
	case len(s) == 0 && len(u) == 0:
		return nil, false
	case len(u) == 0:
		return s[0], true
	case len(s) == 0:
		return u[0], false
	}
	if !s[0].onlySpare() && (q.picks%slowShare == slowShare-1 || u[0].tag > s[0].tag+ahead) {
		return s[0], true
	}
	return u[0], false
}

// forget drops idle accounts whose use lies in the past.
func (q *fairQueue) forget() {
	for name, a := range q.accounts {
		if a.urgent.len()+a.slowLen() == 0 && a.tag <= q.clock-q.credit {
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
