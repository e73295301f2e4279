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
	maxSkippedAccounts     = 8                      // accounts skipped in one pick if their request does not fit
	backgroundPickInterval = 8                      // one pick in this many goes to background requests
	latePickInterval       = 4                      // one background pick in this many goes to late requests
	newestFirstMargin      = 100 * time.Millisecond // if the oldest on-time request has less left, the newest goes first
	maxUrgentRun           = 8                      // consecutive urgent picks of an account before a background one
	maxUrgentLeadSeconds   = 0.5                    // seconds of the cell's work by which urgent requests may lead
)

// waitingRequest is a request in the queue, with the times by which it should be placed.
type waitingRequest struct {
	request          PlaceRequest
	cost             float64 // in prompt tokens
	account          *accountQueue
	arrived          instant
	targetDeadline   instant // the first token meets its target if the request is placed by then
	responseDeadline instant // the caller has the whole response in time if the request is placed by then
	waitDeadline     instant // a request still waiting then is rejected or becomes late
	late             bool    // the request has missed or will miss its target, and goes behind on-time background requests
}

// urgent reports whether the request goes ahead of background requests.
func (w *waitingRequest) urgent() bool {
	return w.request.Class != rule.ClassSummary && !w.bestEffort()
}

// bestEffort reports whether the request gets only the capacity that on-time requests leave free. This handles a burst
// that makes more requests late than can be served.
func (w *waitingRequest) bestEffort() bool { return w.late && w.request.Class == rule.ClassPatient }

// accountQueue holds the waiting requests of one client account.
type accountQueue struct {
	name         string
	weight       float64
	virtualStart float64 // virtual start time of its next request

	urgent, onTime, late fifo[*waitingRequest]
	urgentCost           float64
	backgroundCost       float64
	urgentRun            int // consecutive urgent picks
	backgroundPicks      int
	heapIndex            [2]int // in the heaps of urgent and background requests; -1 if absent
}

// head returns the next request of the account for a pick from the urgent or the background heap. After maxUrgentRun
// urgent picks in a row, a pick from the urgent heap returns a background request, unless only best-effort ones wait.
func (a *accountQueue) head(now instant, background bool) *waitingRequest {
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

// onlyBestEffort reports whether all background requests of the account are late, and the first of them is best-effort.
// There must be at least one.
func (a *accountQueue) onlyBestEffort() bool {
	return a.onTime.len() == 0 && a.late.first().bestEffort()
}

func (a *accountQueue) backgroundLen() int { return a.onTime.len() + a.late.len() }

func (a *accountQueue) fifoFor(w *waitingRequest) *fifo[*waitingRequest] {
	switch {
	case w.urgent():
		return &a.urgent
	case w.late:
		return &a.late
	default:
		return &a.onTime
	}
}

// accountHeap orders accounts with urgent or background requests by virtual start time.
type accountHeap struct {
	accounts []*accountQueue
	kind     int // index into heapIndex: 0 for urgent, 1 for background requests
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

// update adds an account to the heap, removes it, or restores the order after its virtual start time has changed.
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

// fairQueue shares a cell among client accounts by start-time fair queueing in token cost. Urgent requests go ahead of
// background requests within bounds.
type fairQueue struct {
	accounts     map[string]*accountQueue
	urgent       accountHeap
	background   accountHeap
	virtualTime  float64 // cost per weight
	maxCredit    float64 // most virtual time that an account gains while it has no requests
	length       int
	activeWeight float64    // sum of the weights of the accounts with waiting requests
	waitingCost  [2]float64 // cost of the waiting urgent and background requests
	lateCost     float64    // cost of the waiting late requests
	picks        int
}

func newFairQueue() *fairQueue {
	return &fairQueue{accounts: make(map[string]*accountQueue), background: accountHeap{kind: 1}}
}

// account returns the queue of an account, and creates it if there is none. The weight of an account with waiting
// requests does not change.
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
func (q *fairQueue) push(w *waitingRequest) {
	a := w.account
	if a.urgent.len()+a.backgroundLen() == 0 {
		a.virtualStart = max(a.virtualStart, q.virtualTime-q.maxCredit)
		q.activeWeight += a.weight
	}
	a.fifoFor(w).push(w)
	q.addCost(w, 1)
	q.updateHeaps(a)
}

// remove removes a request that was placed, rejected or cancelled.
func (q *fairQueue) remove(w *waitingRequest) {
	a := w.account
	a.fifoFor(w).remove(w)
	q.addCost(w, -1)
	if a.urgent.len()+a.backgroundLen() == 0 {
		q.activeWeight -= a.weight
	}
	q.updateHeaps(a)
}

// addCost adds a request's cost to the sums and the request to the length, or subtracts them if sign is -1.
func (q *fairQueue) addCost(w *waitingRequest, sign int) {
	cost := float64(sign) * w.cost
	q.length += sign
	if w.urgent() {
		w.account.urgentCost += cost
		q.waitingCost[0] += cost
		return
	}
	w.account.backgroundCost += cost
	q.waitingCost[1] += cost
	if w.late {
		q.lateCost += cost
	}
}

func (q *fairQueue) updateHeaps(a *accountQueue) {
	q.urgent.update(a, a.urgent.len() > 0)
	q.background.update(a, a.backgroundLen() > 0)
}

// chargePlaced advances the virtual start time of the account of a placed request and removes the request.
func (q *fairQueue) chargePlaced(w *waitingRequest) {
	a := w.account
	q.virtualTime = max(q.virtualTime, q.minVirtualStart())
	a.virtualStart += w.cost / a.weight
	q.picks++
	if w.urgent() {
		a.urgentRun++
	} else {
		a.urgentRun = 0
		a.backgroundPicks++
	}
	q.remove(w)
	if q.length == 0 {
		q.virtualTime = max(q.virtualTime, a.virtualStart)
	}
}

// minVirtualStart returns the smallest virtual start time of the accounts with waiting requests.
func (q *fairQueue) minVirtualStart() float64 {
	urgent, background := q.urgent.accounts, q.background.accounts
	switch {
	case len(urgent) == 0 && len(background) == 0:
		return q.virtualTime
	case len(urgent) == 0:
		return background[0].virtualStart
	case len(background) == 0:
		return urgent[0].virtualStart
	default:
		return min(urgent[0].virtualStart, background[0].virtualStart)
	}
}

// pick calls try with waiting requests in fair order until it places one, and returns that one. It skips a few that do
// not fit.
func (q *fairQueue) pick(now instant, urgentLead float64, try func(*waitingRequest) bool) *waitingRequest {
	var skipped []*accountQueue
	var placed *waitingRequest
	for len(skipped) < maxSkippedAccounts && placed == nil {
		a, background := q.next(urgentLead)
		if a == nil {
			break
		}
		w := a.head(now, background)
		if try(w) {
			placed = w
			break
		}
		skipped = append(skipped, a)
		q.urgent.update(a, false)
		q.background.update(a, false)
	}
	for _, a := range skipped {
		q.updateHeaps(a)
	}
	if placed != nil {
		q.chargePlaced(placed)
	}
	return placed
}

// next returns the account to serve, and whether to serve its background requests.
func (q *fairQueue) next(urgentLead float64) (a *accountQueue, background bool) {
	waitingUrgent, waitingBackground := q.urgent.accounts, q.background.accounts
	switch {
	case len(waitingBackground) == 0 && len(waitingUrgent) == 0:
		return nil, false
	case len(waitingUrgent) == 0:
		return waitingBackground[0], true
	case len(waitingBackground) == 0:
		return waitingUrgent[0], false
	}
	if !waitingBackground[0].onlyBestEffort() &&
		(q.picks%backgroundPickInterval == backgroundPickInterval-1 ||
			waitingUrgent[0].virtualStart > waitingBackground[0].virtualStart+urgentLead) {
		return waitingBackground[0], true
	}
	return waitingUrgent[0], false
}

// removeIdle removes accounts without waiting requests whose past use no longer counts.
func (q *fairQueue) removeIdle() {
	for name, a := range q.accounts {
		if a.urgent.len()+a.backgroundLen() == 0 && a.virtualStart <= q.virtualTime-q.maxCredit {
			delete(q.accounts, name)
		}
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
