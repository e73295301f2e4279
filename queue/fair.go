package queue

import "slices"

// Constants of the queue.
const (
	MaxLength          = 4096 // items
	maxSkippedAccounts = 8    // accounts skipped in one pick if their item does not fit
	floorInterval      = 8    // one pick in this many goes to a less urgent level
)

// FloorShare is the part of the picks that less urgent levels keep while more urgent items wait.
const FloorShare = 1.0 / floorInterval

// MinLateShare is the smallest part of the picks that late items get.
const MinLateShare = 1.0 / (floorInterval * latePickInterval)

// Fair shares room among client accounts by start-time fair queueing in the cost of their items. More urgent items go ahead of
// others within bounds. Lead is set before Pick.
type Fair struct {
	// Lead is the virtual time by which urgent items may run ahead of their account's share, and the most virtual time that
	// an account gains while it has no items.
	Lead float64

	accounts     map[string]*account
	levels       []*level // by order; empty ones are kept
	virtualTime  float64  // cost per weight
	length       int
	activeWeight float64 // sum of the weights of the accounts with waiting items
	picks        int
	sizes        sizeShares
}

// NewFair returns an empty queue.
func NewFair() *Fair { return &Fair{accounts: make(map[string]*account)} }

// Len returns the number of waiting items.
func (q *Fair) Len() int { return q.length }

// ActiveWeight returns the sum of the weights of the accounts with waiting items.
func (q *Fair) ActiveWeight() float64 { return q.activeWeight }

// Assign sets the account of an item. The weight of an account with waiting items does not change.
func (q *Fair) Assign(i *Item, name string, weight int) {
	a, ok := q.accounts[name]
	if !ok {
		a = &account{name: name}
		q.accounts[name] = a
	}
	if a.length == 0 {
		a.weight = float64(max(weight, 1))
	}
	i.account = a
}

// level returns the level with an order, and creates it if there is none.
func (q *Fair) level(order int) *level {
	n, ok := slices.BinarySearchFunc(q.levels, order, func(l *level, order int) int { return l.order - order })
	if !ok {
		q.levels = slices.Insert(q.levels, n, &level{order: order, accounts: accountHeap{order: order}})
	}
	return q.levels[n]
}

// Push adds an item that Assign has given an account.
func (q *Fair) Push(i *Item) {
	a := i.account
	if q.accounts[a.name] != a { // removed while it was idle
		q.accounts[a.name] = a
	}
	if a.length == 0 {
		a.virtualStart = max(a.virtualStart, q.virtualTime-q.Lead)
		q.activeWeight += a.weight
	}
	l := q.level(i.levelOrder())
	items := a.addLane(l).fifoFor(i)
	if i.Returned {
		items.pushFront(i)
	} else {
		items.push(i)
	}
	q.count(i, l, 1)
	l.accounts.update(a, true)
}

// Remove removes an item that was placed, refused or cancelled.
func (q *Fair) Remove(i *Item) {
	a, l := i.account, q.level(i.levelOrder())
	lane := a.lane(l.order)
	lane.fifoFor(i).remove(i)
	q.count(i, l, -1)
	if a.length == 0 {
		q.activeWeight -= a.weight
	}
	if lane.len() > 0 {
		l.accounts.update(a, true)
		return
	}
	l.accounts.update(a, false)
	n, _ := a.search(l.order)
	a.lanes = slices.Delete(a.lanes, n, n+1)
}

// count adds an item to the sums, or subtracts it if sign is -1.
func (q *Fair) count(i *Item, l *level, sign int) {
	cost := float64(sign) * i.Cost
	q.length += sign
	i.account.length += sign
	i.account.lane(l.order).cost += cost
	l.cost += cost
	if i.Late {
		l.lateCost += cost
	}
}

// UrgentCost returns the cost of the waiting urgent items of a rank and of more urgent ones.
func (q *Fair) UrgentCost(rank int) float64 {
	sum := 0.0
	for _, l := range q.levels {
		if l.order <= rank {
			sum += l.cost
		}
	}
	return sum
}

// LateCost returns the cost of the waiting late items of a rank and of more urgent ones.
func (q *Fair) LateCost(rank int) float64 {
	sum := 0.0
	for _, l := range q.levels {
		if l.order-backgroundOrder <= rank {
			sum += l.lateCost
		}
	}
	return sum
}

// Cost returns the cost of all waiting items.
func (q *Fair) Cost() float64 { return q.UrgentCost(2 * backgroundOrder) }

// CostAhead returns the cost that an account's share lets go before a new urgent item: the account's own of the item's rank
// and more urgent ones, as often as there are weights, and at most that of all accounts. It leaves a part of the account's
// cost out.
func (q *Fair) CostAhead(i *Item, without float64) float64 {
	a, weights := i.account, q.activeWeight
	if a.length == 0 {
		weights += a.weight
	}
	own := ((a.urgentCost(i.Rank)-without)/a.weight + max(a.virtualStart-q.virtualTime-q.Lead, 0)) * weights
	return min(own, q.UrgentCost(i.Rank)-without)
}

// Pick calls try with waiting items in order until it places one, and returns that one. It skips a few that do not fit.
func (q *Fair) Pick(now Instant, try func(*Item) bool) *Item {
	var skipped []*account
	var placed *Item
	for len(skipped) < maxSkippedAccounts && placed == nil {
		a, l := q.next()
		if a == nil {
			break
		}
		i := a.head(now, l)
		if try(i) {
			placed = i
			break
		}
		skipped = append(skipped, a)
		a.updateHeaps(false)
	}
	for _, a := range skipped {
		a.updateHeaps(true)
	}
	if placed != nil {
		q.chargePlaced(now, placed)
	}
	return placed
}

// updateHeaps adds the account to the heaps of its levels, or removes it from them.
func (a *account) updateHeaps(in bool) {
	for _, l := range a.lanes {
		l.level.accounts.update(a, in)
	}
}

// next returns the account to serve, and the level of which it is to be served. The most urgent level is served, unless it
// is the turn of a less urgent one or an account there is behind by more than Lead. On-time items do not give way to
// best-effort ones.
func (q *Fair) next() (*account, *level) {
	var chosen *level
	var others []*level // less urgent ones that may be served before the chosen one
	for _, l := range q.levels {
		if len(l.accounts.accounts) == 0 {
			continue
		}
		if chosen == nil {
			chosen = l
			continue
		}
		if l.isBestEffort() && !chosen.isBestEffort() {
			continue
		}
		others = append(others, l)
	}
	if chosen == nil {
		return nil, nil
	}
	if len(others) > 0 && q.picks%floorInterval == floorInterval-1 {
		chosen = others[q.picks/floorInterval%len(others)]
		return chosen.top(), chosen
	}
	for _, l := range others {
		if chosen.top().virtualStart > l.top().virtualStart+q.Lead {
			chosen = l
		}
	}
	return chosen.top(), chosen
}

// top returns the account to serve next.
func (l *level) top() *account { return l.accounts.accounts[0] }

// isBestEffort reports whether the next items of the level get only the room that others leave.
func (l *level) isBestEffort() bool { return !l.urgent() && l.top().lane(l.order).onlyBestEffort() }

// chargePlaced advances the virtual start time of the account of a placed item and removes the item.
func (q *Fair) chargePlaced(now Instant, i *Item) {
	a := i.account
	q.virtualTime = max(q.virtualTime, q.minVirtualStart())
	a.virtualStart += i.Cost / a.weight
	q.picks++
	if i.urgent() {
		a.urgentRun++
	} else {
		a.urgentRun = 0
		a.backgroundPicks++
	}
	q.sizes.recordPlaced(now, i)
	a.updateHeaps(true)
	q.Remove(i)
	if q.length == 0 {
		q.virtualTime = max(q.virtualTime, a.virtualStart)
	}
}

// minVirtualStart returns the smallest virtual start time of the accounts with waiting items.
func (q *Fair) minVirtualStart() float64 {
	least, found := q.virtualTime, false
	for _, l := range q.levels {
		if len(l.accounts.accounts) > 0 && (!found || l.top().virtualStart < least) {
			least, found = l.top().virtualStart, true
		}
	}
	return least
}

// RemoveIdle removes accounts without waiting items whose past use no longer counts.
func (q *Fair) RemoveIdle() {
	for name, a := range q.accounts {
		if a.length == 0 && a.virtualStart <= q.virtualTime-q.Lead {
			delete(q.accounts, name)
		}
	}
}

// MakeRoom returns the item to refuse when the queue is full: the newest and least urgent one of the account with the most
// waiting cost per weight, so that an account that fills the queue does not shut out the others. It returns nil if that is
// the account of the new item.
func (q *Fair) MakeRoom(newItem *Item) *Item {
	var worst *account
	for _, a := range q.accounts {
		if a.length > 0 && (worst == nil || a.cost()/a.weight > worst.cost()/worst.weight) {
			worst = a
		}
	}
	if worst == nil || worst == newItem.account {
		return nil
	}
	return worst.newest()
}
