package forward

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselgate/event"
	"teaselgate/standin/backend"
)

// latencyTarget is the latency target of the plain routes of the test configuration.
const latencyTarget = 100 * time.Millisecond

// recordTimes returns the times of the events of a code by request, as the handler records them.
func (env *testEnv) recordTimes(code event.Code) func(request string) []time.Time {
	var mu sync.Mutex
	times := make(map[string][]time.Time)
	record := env.handler.Record
	env.handler.Record = func(e event.Event) {
		record(e)
		mu.Lock()
		defer mu.Unlock()
		if e.Code == code {
			times[e.Request] = append(times[e.Request], time.Now())
		}
	}
	return func(request string) []time.Time {
		mu.Lock()
		defer mu.Unlock()
		return times[request]
	}
}

// A burst of streams and orders beyond capacity: each refusal reaches its caller when it is decided, and what was refused
// as not run has not run.
func TestRefusalsLeaveWhenTheyAreDecidedAndAreTrue(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		refusedAt := env.recordTimes(event.RequestRefused)
		var running sync.WaitGroup
		var mu sync.Mutex
		refusals := 0
		for n := range 160 {
			req := orderRequest(fmt.Sprint("order", n))
			if n%2 == 0 {
				req = draftRequest(fmt.Sprint("draft", n))
			}
			running.Go(func() {
				resp := env.send(req)
				if resp.Code != http.StatusServiceUnavailable && resp.Code != http.StatusTooManyRequests {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				refusals++
				times := refusedAt(req.id)
				if len(times) != 1 || !times[0].Equal(time.Now()) {
					t.Errorf("%s: refusal decided at %v, received at %v", req.id, times, time.Now())
				}
				if runs := runCount(env.plain, req.id) + runCount(env.decode, req.id); runs > 0 {
					t.Errorf("%s: refused as not run, but it ran %d times", req.id, runs)
				}
			})
			sleep(5 * time.Millisecond)
		}
		running.Wait()
		if refusals < 20 {
			t.Errorf("only %d refusals: the burst shows nothing", refusals)
		}
	})
}

// A response that is ready is delivered at once, also when it is late.
func TestLateResponsesAreDeliveredWhenTheyAreReady(t *testing.T) {
	for _, serviceTime := range []time.Duration{20 * time.Millisecond, latencyTarget, 550 * time.Millisecond} {
		runInTestEnv(t, func(env *testEnv) {
			for _, s := range env.plain {
				s.ServiceTime = serviceTime
			}
			resp := env.send(orderRequest("order"))
			if resp.Code != http.StatusOK || resp.took != serviceTime {
				t.Errorf("unexpected status %d after %v, want 200 after %v", resp.Code, resp.took, serviceTime)
			}
		})
	}
}

// An attempt that is given up for another one had a real chance: a quarter of the latency target at least, and as much
// time left at the server.
func TestAttemptsAreGivenUpOnlyAfterAChance(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		failedAt := env.recordTimes(event.AttemptFailed)
		setFaults(env.plain, backend.Faults{Silent: true})
		for n := range 30 {
			start, req := time.Now(), statusRequest(fmt.Sprint(n))
			env.send(req)
			for i, at := range failedAt(req.id) {
				if took := at.Sub(start); took < latencyTarget/4 {
					t.Errorf("request %d: attempt %d was given up after %v", n, i, took)
				}
				start = at
			}
		}
	})
}
