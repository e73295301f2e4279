package queue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const start = Instant(time.Hour)

func newItem(q *Fair, account string, weight int, i Item) *Item {
	q.Assign(&i, account, weight)
	return &i
}

func pickAny(q *Fair) *Item { return q.Pick(start, func(*Item) bool { return true }) }

// serveBacklog picks items while it keeps the accounts' queues full, and returns the picked cost by account and class.
func serveBacklog(q *Fair, picks int, refill func(account string, urgent bool) *Item) map[string]float64 {
	out := make(map[string]float64)
	for range picks {
		i := pickAny(q)
		out[fmt.Sprint(i.account.name, " background ", i.Background)] += i.Cost
		q.Push(refill(i.account.name, i.urgent()))
	}
	return out
}

func TestQueueSharesByWeightWithoutStarvation(t *testing.T) {
	q := NewFair()
	weights := map[string]int{"big": 3, "small": 1, "background": 1}
	fill := func(account string, urgent bool) *Item {
		return newItem(q, account, weights[account], Item{Cost: 1000, Background: !urgent})
	}
	for range 50 { // the big account sends far more than its share
		q.Push(fill("big", true))
	}
	q.Push(fill("small", true))
	q.Push(fill("background", false))
	served := serveBacklog(q, 5000, fill)
	big, small, background := served["big background false"], served["small background false"], served["background background true"]
	if ratio := big / small; ratio < 2.9 || ratio > 3.1 {
		t.Errorf("unexpected ratio of urgent cost %v instead of 3", ratio)
	}
	if ratio := background / small; ratio < 0.9 {
		t.Errorf("unexpected cost of background items, %v of an equal urgent account's instead of at least 0.9", ratio)
	}
}

func TestUrgentItemsLeaveMinimumShareToBackground(t *testing.T) {
	q := NewFair()
	fill := func(account string, urgent bool) *Item {
		return newItem(q, account, 1, Item{Cost: 1000, Background: !urgent})
	}
	q.Push(fill("one", true))
	q.Push(fill("one", false))
	served := serveBacklog(q, 900, fill)
	if share := served["one background true"] / 900000; share < 1.0/(maxUrgentRun+1) {
		t.Errorf("unexpected share of background items %v instead of at least 1/%d", share, maxUrgentRun+1)
	}
}

// Guards against a burst that makes patient requests late: no late one may be picked while one that can be on time is
// waiting, whatever the accounts' shares and the ranks.
func TestLatePatientItemsWaitForOnTimeItems(t *testing.T) {
	for _, lateRank := range []int{0, 2} {
		q := NewFair()
		push := func(account string, rank int, late bool) {
			q.Push(newItem(q, account, 1, Item{Cost: 100, Rank: rank, Patient: true, Late: late}))
		}
		for range 20 {
			push("a", lateRank, true)
			push("b", 1, false)
			push("a", 1, false)
		}
		for n := range 60 {
			if i := pickAny(q); i.Late != (n >= 40) {
				t.Fatalf("unexpected pick %d, late %v", n, i.Late)
			}
		}
	}
}

// Under overload urgent items must be picked first, and less urgent ones must not starve.
func TestMoreUrgentRanksGoFirstAndLeaveAFloor(t *testing.T) {
	q := NewFair()
	q.Lead = 1e9 // accounts' shares do not matter here
	push := func(account string, rank int) {
		q.Push(newItem(q, account, 1, Item{Cost: 100, Rank: rank, Patient: true}))
	}
	for range 400 {
		push("a", 0)
		push("b", 1)
		push("a", 2)
	}
	picked := make(map[int]int)
	for range 400 {
		picked[pickAny(q).Rank]++
	}
	if picked[0] != 350 || picked[1] == 0 || picked[2] == 0 {
		t.Errorf("unexpected picks by rank %v: the most urgent rank must have all but one in %d", picked, floorInterval)
	}
}

// An account that calls all its work urgent must not rise beyond its share of the cell.
func TestAccountDoesNotRiseByCallingAllItsWorkUrgent(t *testing.T) {
	q := NewFair()
	q.Lead = 500
	ranks := map[string]int{"urgent": 0, "honest": 2}
	served := make(map[string]float64)
	push := func(account string) {
		q.Push(newItem(q, account, 1, Item{Cost: 100, Rank: ranks[account], Patient: true}))
	}
	for range 10 {
		push("urgent")
		push("honest")
	}
	for range 4000 {
		i := pickAny(q)
		served[i.account.name] += i.Cost
		push(i.account.name)
	}
	if share := served["honest"] / (served["honest"] + served["urgent"]); share < 0.45 {
		t.Errorf("the honest account got %.2f of the cell instead of half", share)
	}
}

// A burst of more requests than fit, of sizes that differ: a small one may take the place of a much larger one, but large ones
// must be on time nearly as often as all.
func TestLargeItemsGiveWayToSmallOnesWithinAFloor(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		random := rand.New(rand.NewPCG(seed, 0))
		q := NewFair()
		const rate, window = 10000.0, 1.0 // cost placed per second, and seconds within which an item is on time
		displaced, credit := 0, 0.0
		for step := range 4000 {
			now := start.Add(time.Duration(step) * 10 * time.Millisecond)
			cost := 100 * (1 + random.ExpFloat64())
			if random.Float64() < 0.15 {
				cost *= 4
			}
			for credit += rate / 100; credit > 0 && q.Len() > 0; {
				credit -= q.Pick(now, func(*Item) bool { return true }).Cost
			}
			i := newItem(q, "a", 1, Item{Cost: cost, Patient: true, Target: now.Add(time.Second)})
			if q.CostAhead(i, 0)/rate > window {
				larger := q.Displaced(now, i)
				if larger == nil || q.CostAhead(i, larger.Cost)/rate > window {
					q.RecordLate(now, i)
					continue
				}
				displaced++
				q.RecordLate(now, larger)
				q.Remove(larger)
			}
			q.Push(i)
		}
		s := &q.sizes
		if displaced == 0 {
			t.Errorf("seed %d: no item gave way under an overload", seed)
		}
		if large, all := s.largeFit/s.largeCount, s.onTime/s.count; large < 0.9*largeFloor*all {
			t.Errorf("seed %d: large items are on time in %.2f of the cases, all in %.2f", seed, large, all)
		}
	}
}

// The sums by which waits are predicted must always be those of the items that wait, and each item must be picked once.
func TestQueueKeepsCountOfItsItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFair()
		waiting := make(map[string]*Item)
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				n++
				i := newItem(q, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"), 1, Item{
					Key: fmt.Sprint(n), Rank: rapid.IntRange(0, 3).Draw(t, "rank"), Cost: float64(rapid.IntRange(1, 100).Draw(t, "cost")),
					Background: rapid.Bool().Draw(t, "background"), Late: rapid.Bool().Draw(t, "late"), Patient: true,
				})
				waiting[i.Key] = i
				q.Push(i)
			},
			"pick": func(t *rapid.T) {
				q.Lead = float64(rapid.IntRange(0, 500).Draw(t, "lead"))
				fits := rapid.Bool().Draw(t, "fits")
				i := q.Pick(start, func(i *Item) bool { return fits || i.Rank > 0 })
				if i == nil {
					return
				}
				if waiting[i.Key] != i {
					t.Fatalf("%s was picked and does not wait", i.Key)
				}
				delete(waiting, i.Key)
			},
			"remove": func(t *rapid.T) {
				for key, i := range waiting {
					delete(waiting, key)
					q.Remove(i)
					return
				}
			},
			"remove idle accounts": func(*rapid.T) { q.RemoveIdle() },
			"": func(t *rapid.T) {
				cost, late := 0.0, 0.0
				for _, i := range waiting {
					cost += i.Cost
					if i.Late {
						late += i.Cost
					}
				}
				if q.Len() != len(waiting) || q.Cost() != cost || q.LateCost(1<<20) != late {
					t.Fatalf("%d items of cost %v, %v late, counted as %d, %v, %v",
						len(waiting), cost, late, q.Len(), q.Cost(), q.LateCost(1<<20))
				}
			},
		})
	})
}
