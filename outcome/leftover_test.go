package outcome_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"teaselgate/standin/fault"
)

// Sizes of the test of what cancels and ended instances leave behind.
const (
	randomCancels    = 1000
	instanceKills    = 20
	callsPerKill     = 20
	callersAtOnce    = 50
	maxBeforeLeaving = 20 * time.Millisecond
	leftoverSeed     = 11
)

// tally counts what callers were told, and what was not true of it.
type tally struct {
	mu     sync.Mutex
	saw    map[string]int
	orders map[string]bool // confirmed or not, by id
	notRun map[string]bool
}

func newTally() *tally {
	return &tally{saw: make(map[string]int), orders: make(map[string]bool), notRun: make(map[string]bool)}
}

func (a *tally) add(k kind, id, saw string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.saw[saw]++
	if k == once || k == keyed {
		a.orders[id] = saw == sawWhole || saw == sawReplay
		a.notRun[id] = saw == sawNotRun
	}
}

// check counts doubled and lost calls and untrue refusals; all must be zero.
func (a *tally) check(t *testing.T, b *bench) {
	t.Helper()
	doubled, lost, untrue := 0, 0, 0
	for id, confirmed := range a.orders {
		runs := b.runs(id)
		switch {
		case runs > 1:
			doubled++
		case confirmed && runs == 0:
			lost++
		case a.notRun[id] && runs > 0:
			untrue++
		}
	}
	t.Logf("saw %v; orders %d, doubled %d, confirmed and lost %d, untrue refusals %d, pieces held %d",
		a.saw, len(a.orders), doubled, lost, untrue, b.held())
	if doubled+lost+untrue+a.saw[sawWrong] > 0 {
		t.Errorf("unexpected outcomes, got %d doubled, %d lost, %d untrue, %d wrong instead of 0", doubled, lost, untrue, a.saw[sawWrong])
	}
}

// load makes calls whose callers leave after a random time, some at once.
func (b *bench) load(a *tally, random *rand.Rand, prefix string, count int, nodes []*node, stay bool) {
	slots := make(chan struct{}, callersAtOnce)
	var calls sync.WaitGroup
	for n := range count {
		k := kinds[random.IntN(len(kinds))]
		id := fmt.Sprintf("%s-%d", prefix, n)
		via := nodes[random.IntN(len(nodes))]
		after := time.Duration(random.Int64N(int64(maxBeforeLeaving)))
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			ctx, stop := context.WithCancel(b.ctx)
			defer stop()
			if !stay {
				ctx, stop = context.WithTimeout(ctx, after)
				defer stop()
			}
			a.add(k, id, b.call(ctx, via, k, id))
		})
	}
	calls.Wait()
}

func TestRandomCancelsLeaveNothing(t *testing.T) {
	b := newBench(t, 3)
	defer b.close()
	a := newTally()
	random := rand.New(rand.NewPCG(leftoverSeed, 0))
	b.load(a, random, "call", randomCancels, b.nodes, false)
	for _, n := range b.nodes {
		n.waitIdle(b)
	}
	b.settle()
	a.check(t, b)
}

func TestEndedInstancesLeaveNothing(t *testing.T) {
	b := newBench(t, instanceKills+1)
	defer b.close()
	a := newTally()
	random := rand.New(rand.NewPCG(leftoverSeed, 1))
	steps := append(append([]string(nil), modelSteps...), plainSteps...)
	for n := range instanceKills {
		victim := b.nodes[n]
		b.onStep(steps[random.IntN(len(steps))], func(*backend) fault.Action {
			victim.kill()
			return fault.Pass
		})
		b.load(a, random, fmt.Sprintf("kill-%d", n), callsPerKill, []*node{victim, b.nodes[instanceKills]}, true)
		victim.kill()
	}
	b.nodes[instanceKills].waitIdle(b)
	b.settle()
	a.check(t, b)
}
