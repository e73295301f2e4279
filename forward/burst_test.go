package forward

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// sendBurst starts n model requests at a fixed interval and adds their responses to the results.
func (env *testEnv) sendBurst(prefix string, n int, interval time.Duration, results *burstResults) {
	for i := range n {
		results.sending.Go(func() { results.add(env.send(draftRequest(fmt.Sprint(prefix, i)))) })
		sleep(interval)
	}
}

// burstResults counts responses by their total time: the time to the first event plus the duration of the stream.
type burstResults struct {
	sending        sync.WaitGroup
	mu             sync.Mutex
	onTime         int
	late           int
	refused        int
	maxRefusalTime time.Duration // longest time to a refusal
}

const (
	firstEventTarget = 900 * time.Millisecond // latency target of the draft route
	streamDuration   = 10 * 40 * time.Millisecond
)

func (r *burstResults) add(got testResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case got.Code != http.StatusOK:
		r.refused++
		r.maxRefusalTime = max(r.maxRefusalTime, got.took)
	case got.took <= firstEventTarget+streamDuration:
		r.onTime++
	default:
		r.late++
	}
}

// Sends bursts of 1.5 times the engines' capacity with quieter periods between them. Requests that would miss the
// latency target must be served in the quiet period, after all that can meet it, instead of being refused: at most a
// tenth is refused, and at least three quarters are on time.
func TestRequestsBeyondCapacityAreServedLateInsteadOfRefused(t *testing.T) {
	const (
		perBurst = 40
		perQuiet = 10 // in each quiet period
		bursts   = 4
		total    = bursts * (perBurst + perQuiet)
	)
	runInTestEnv(t, func(env *testEnv) {
		results := &burstResults{}
		for n := range bursts {
			env.sendBurst(fmt.Sprintf("b%d-", n), perBurst, 30*time.Millisecond, results)
			env.sendBurst(fmt.Sprintf("c%d-", n), perQuiet, 200*time.Millisecond, results)
		}
		results.sending.Wait()
		t.Logf("%d on time, %d late, %d refused, longest time to a refusal %v",
			results.onTime, results.late, results.refused, results.maxRefusalTime)
		if results.refused > total/10 {
			t.Errorf("unexpected number of requests refused, got %d of %d", results.refused, total)
		}
		if results.onTime < total*3/4 {
			t.Errorf("unexpected number of requests on time, got %d of %d", results.onTime, total)
		}
	})
}
