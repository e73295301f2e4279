package forward

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselgate/standin/backend"
)

// sendAll sends n requests one after the other, with a pause after each, and returns how many got a complete response.
func (env *testEnv) sendAll(n int, pause time.Duration, request func(id string) testRequest) int {
	served := 0
	for range n {
		env.sent++
		got := env.send(request(fmt.Sprintf("r%d", env.sent)))
		if got.Code == http.StatusOK && !got.broken {
			served++
		}
		sleep(pause)
	}
	return served
}

// receivedRequests returns the number of requests that a server received, without prefills.
func receivedRequests(s *backend.Server) int {
	n := 0
	for _, seen := range s.Received() {
		if !seen.Prefill {
			n++
		}
	}
	return n
}

// Engines that serve requests but return no load reports must stay in use: their responses show that they are healthy.
func TestWorkingEnginesWithoutReportsAreUsed(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		setFaults(env.prefill, backend.Faults{NoReport: true})
		env.decode[0].SetFaults(backend.Faults{NoReport: true})
		sleep(5 * time.Second)
		var sending sync.WaitGroup
		for n := range 60 {
			sending.Go(func() {
				if got := env.send(draftRequest(fmt.Sprint("n", n))); got.Code != http.StatusOK {
					t.Errorf("unexpected status, got %d instead of 200", got.Code)
				}
			})
			sleep(150 * time.Millisecond)
		}
		sending.Wait()
		if got := receivedRequests(env.decode[0]); got < 15 {
			t.Errorf("unexpected streams on the engine without reports, got %d of 60", got)
		}
	})
}

// An engine that fails every request must be avoided, although its load reports show no fault.
func TestReportsDoNotHideFailures(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		env.decode[0].SetFaults(backend.Faults{Fail: true})
		env.sendAll(40, 100*time.Millisecond, draftRequest)
		if got := receivedRequests(env.decode[0]); got > 12 {
			t.Errorf("unexpected streams on the engine that fails them all, got %d of 40", got)
		}
	})
}

// An engine that generates at a fifth of the other engine's rate must get fewer streams.
func TestSlowEngineGetsFewerStreams(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		env.decode[0].EventInterval = 5 * env.decode[1].EventInterval
		env.sendAll(40, 50*time.Millisecond, draftRequest)
		if got := receivedRequests(env.decode[0]); got > 10 {
			t.Errorf("unexpected streams on the slow engine, got %d of 40", got)
		}
	})
}

// While a plain server goes down and up every two seconds, all requests must be served. Once it stays up, it must get
// requests again.
func TestFlappingServerIsUsedAgain(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		at := env.address(env.plain[0])
		served := 0
		for n := range 10 {
			env.setDown(at, n%2 == 1)
			served += env.sendAll(20, 100*time.Millisecond, statusRequest)
		}
		if served < 200 {
			t.Errorf("unexpected requests served while one of three servers is flapping, got %d of 200", served)
		}
		before := receivedRequests(env.plain[0])
		env.setDown(at, false)
		env.sendAll(200, 100*time.Millisecond, statusRequest)
		if got := receivedRequests(env.plain[0]) - before; got < 20 {
			t.Errorf("unexpected requests to the server that is up again, got %d of 200", got)
		}
	})
}

// Servers close idle connections long before the timeout that they announce. An order, which must not be retried, must
// not be lost on a closed connection.
func TestEarlyClosedConnectionsLoseNoOrders(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		for _, s := range env.plain {
			s.IdleTimeout, s.AdvertisedIdleTimeout = 300*time.Millisecond, 10*time.Second
		}
		if served := env.sendAll(60, 310*time.Millisecond, orderRequest); served < 60 {
			t.Errorf("unexpected orders served, got %d of 60", served)
		}
	})
}

// A server sends each response twice. The second one must not become the response to another request.
func TestDuplicateResponsesAreDropped(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		setFaults(env.plain, backend.Faults{Duplicate: true})
		for n := range 40 {
			id := fmt.Sprint("d", n)
			got := env.send(statusRequest(id))
			if got.Code == http.StatusOK && got.Body.String() != "whole answer of "+id {
				t.Errorf("unexpected response to %s, got %q", id, got.Body)
			}
		}
	})
}

// A server responds after the timeout of an attempt. An idempotent request must be served by another server, and the
// late response must not be delivered to any request.
func TestLateResponsesAreDropped(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		env.plain[0].SetFaults(backend.Faults{ResponseDelay: 450 * time.Millisecond})
		for n := range 20 {
			id := fmt.Sprint("l", n)
			got := env.send(statusRequest(id))
			if got.Code != http.StatusOK || got.Body.String() != "whole answer of "+id {
				t.Errorf("unexpected response to %s, got %d %q; events: %v", id, got.Code, got.Body, env.recordedEvents(id))
			}
		}
	})
}

// While an engine changes its stage, it rejects requests. They must be served by other engines.
func TestRequestsAvoidEngineChangingStage(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		env.decode[0].StageChangeTime = 2 * time.Second
		if status := env.orderStage(t, env.decode[0], "prefill", 7); status != http.StatusAccepted {
			t.Fatalf("unexpected response to an order, got %d instead of 202", status)
		}
		if status := env.orderStage(t, env.decode[0], "decode", 8); status != http.StatusConflict {
			t.Errorf("unexpected response to an order while another is in progress, got %d instead of 409", status)
		}
		if served := env.sendAll(10, 50*time.Millisecond, draftRequest); served < 10 {
			t.Errorf("unexpected streams served, got %d of 10", served)
		}
		sleep(2 * time.Second)
		if status := env.orderStage(t, env.decode[0], "decode", 6); status != http.StatusPreconditionFailed {
			t.Errorf("unexpected response to an order with an outdated fencing number, got %d instead of 412", status)
		}
		if stage := env.decode[0].CurrentStage(); stage != "prefill" {
			t.Errorf("unexpected stage, got %q instead of prefill", stage)
		}
	})
}

// Servers crash and restart under another identity while their registry entries stay the same. They reject what is
// meant for the old identity, and must get no more than a few requests.
func TestServersWithChangedIdentityAreExcluded(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		env.plain[0].SetFaults(backend.Faults{WrongServer: true})
		env.prefill[0].SetFaults(backend.Faults{WrongServer: true})
		env.decode[0].SetFaults(backend.Faults{WrongServer: true})
		if served := env.sendAll(40, 50*time.Millisecond, orderRequest); served < 40 {
			t.Errorf("unexpected orders served, got %d of 40", served)
		}
		if served := env.sendAll(40, 50*time.Millisecond, draftRequest); served < 40 {
			t.Errorf("unexpected streams served, got %d of 40", served)
		}
		for _, s := range []*backend.Server{env.plain[0], env.prefill[0], env.decode[0]} {
			if got := len(s.Received()); got > 12 {
				t.Errorf("unexpected requests to the replaced server, got %d to %s", got, s.ID)
			}
		}
	})
}

// A plain server fails every second request while it looks healthy otherwise. All idempotent requests must be served,
// and most orders must go to the healthy servers.
func TestPartlyFailingServerGetsFewerRequests(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		env.plain[0].SetFaults(backend.Faults{Fail: true, EveryNth: 2})
		if served := env.sendAll(100, 50*time.Millisecond, statusRequest); served < 100 {
			t.Errorf("unexpected idempotent requests served, got %d of 100", served)
		}
		if served := env.sendAll(100, 50*time.Millisecond, orderRequest); served < 90 {
			t.Errorf("unexpected orders served, got %d of 100", served)
		}
	})
}
