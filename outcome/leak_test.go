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

// Sizes of the tests that callers who disconnect, and instances that are killed, leave no attempts at engines.
const (
	disconnectedCalls   = 1000
	instanceKills       = 20
	callsPerKill        = 20
	concurrentCallers   = 50
	maxTimeToDisconnect = 20 * time.Millisecond
	leakSeed            = 11
)

// tally collects the results that callers saw.
type tally struct {
	mu        sync.Mutex
	result    map[string]int  // number of requests by result
	confirmed map[string]bool // whether the run of an at-most-once request was confirmed, by request ID
	notRun    map[string]bool // whether an at-most-once request was refused as not run, by request ID
}

func newTally() *tally {
	return &tally{result: make(map[string]int), confirmed: make(map[string]bool), notRun: make(map[string]bool)}
}

func (a *tally) add(k requestKind, id, result string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.result[result]++
	if k == kindOnce || k == kindOnceKeyed {
		a.confirmed[id] = result == resultWhole || result == resultReplayed
		a.notRun[id] = result == resultNotRun
	}
}

// check compares the results with what ran at the services. It reports an error for requests that ran twice, confirmed
// requests that did not run, requests refused as not run that did run, and wrong responses.
func (a *tally) check(t *testing.T, b *testbed) {
	t.Helper()
	duplicated, lost, falseRefusals := 0, 0, 0
	for id, isConfirmed := range a.confirmed {
		runs := b.runs(id)
		switch {
		case runs > 1:
			duplicated++
		case isConfirmed && runs == 0:
			lost++
		case a.notRun[id] && runs > 0:
			falseRefusals++
		}
	}
	t.Logf("results %v; at-most-once requests %d, duplicated %d, confirmed and lost %d, false refusals %d, pieces held %d",
		a.result, len(a.confirmed), duplicated, lost, falseRefusals, b.heldPieces())
	if duplicated+lost+falseRefusals+a.result[resultWrong] > 0 {
		t.Errorf("unexpected results, got %d duplicated, %d lost, %d false refusals, %d wrong instead of 0",
			duplicated, lost, falseRefusals, a.result[resultWrong])
	}
}

// makeCalls makes random calls, several at once. Unless waitForResponse is set, each caller disconnects after a random
// time.
func (b *testbed) makeCalls(
	a *tally, random *rand.Rand, prefix string, count int, instances []*instance, waitForResponse bool,
) {
	semaphore := make(chan struct{}, concurrentCallers)
	var calls sync.WaitGroup
	for n := range count {
		k := requestKinds[random.IntN(len(requestKinds))]
		id := fmt.Sprintf("%s-%d", prefix, n)
		inst := instances[random.IntN(len(instances))]
		disconnectAfter := time.Duration(random.Int64N(int64(maxTimeToDisconnect)))
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
			ctx, stop := context.WithCancel(b.ctx)
			defer stop()
			if !waitForResponse {
				ctx, stop = context.WithTimeout(ctx, disconnectAfter)
				defer stop()
			}
			a.add(k, id, b.call(ctx, inst, k, id))
		})
	}
	calls.Wait()
}

func TestDisconnectedCallersLeaveNoAttempts(t *testing.T) {
	b := newTestbed(t, 3)
	defer b.close()
	a := newTally()
	random := rand.New(rand.NewPCG(leakSeed, 0))
	b.makeCalls(a, random, "call", disconnectedCalls, b.instances, false)
	for _, inst := range b.instances {
		inst.waitIdle(b)
	}
	b.checkReleased()
	a.check(t, b)
}

func TestKilledInstancesLeaveNoAttempts(t *testing.T) {
	b := newTestbed(t, instanceKills+1)
	defer b.close()
	a := newTally()
	random := rand.New(rand.NewPCG(leakSeed, 1))
	steps := append(append([]string(nil), modelSteps...), plainSteps...)
	for n := range instanceKills {
		victim := b.instances[n]
		b.injectAt(steps[random.IntN(len(steps))], func(*backend) fault.Action {
			victim.kill()
			return fault.Pass
		})
		b.makeCalls(a, random, fmt.Sprintf("kill-%d", n), callsPerKill, []*instance{victim, b.instances[instanceKills]}, true)
		victim.kill()
	}
	b.instances[instanceKills].waitIdle(b)
	b.checkReleased()
	a.check(t, b)
}
