package forward

import (
	"flag"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/standin/backend"
	"teaselgate/standin/caller"
)

// init fixes the seed of the random tests; -rapid.seed and -rapid.checks on the command line replace the values.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "60")
}

// step changes the fault of a server, sends requests of one kind, and waits.
type step struct {
	server          int           // index in walk.servers
	fault           int           // index in walkFaults; len(walkFaults) makes the server unreachable
	requests        int           // number of requests
	kind            int           // index in walkKinds
	disconnectAfter time.Duration // time until the callers disconnect; 0 if they do not
	pause           time.Duration // wait after the step
}

// walkFaults are the faults of a server; the first entry is a healthy server.
var walkFaults = []backend.Faults{
	{},
	{Fail: true},
	{Reject: true},
	{LoseResponse: true},
	{Truncate: true},
	{OmitSeal: true},
	{WrongID: true},
	{WrongServer: true},
	{Silent: true},
	{AbortAfterEvents: 3},
	{NoReport: true},
	{Duplicate: true},
	{ResponseDelay: 300 * time.Millisecond},
}

// walkKinds are the kinds of requests, each with its path and the number of servers that may run one request.
var walkKinds = []struct {
	path string
	runs int
}{{"/order/1", 1}, {"/status/1", 2}, {"/draft/1", 1}, {"/digest/1", 2}}

const (
	walkSteps      = 20                     // maximum number of steps of a walk
	walkServers    = 7                      // number of servers of a testEnv
	walkSettleTime = 15 * time.Second       // time within which all servers finish their work
	maxLateness    = 100 * time.Millisecond // longest time from a request's deadline to its response
)

// drawSteps draws the steps of a random walk.
func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		s := step{
			server:   rapid.IntRange(0, walkServers-1).Draw(t, "server"),
			fault:    rapid.IntRange(0, len(walkFaults)).Draw(t, "fault"),
			requests: rapid.IntRange(0, 6).Draw(t, "requests"),
			kind:     rapid.IntRange(0, len(walkKinds)-1).Draw(t, "kind"),
			pause:    time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond,
		}
		if rapid.IntRange(0, 5).Draw(t, "disconnects") == 0 {
			s.disconnectAfter = time.Duration(rapid.IntRange(1, 300).Draw(t, "disconnectAfter")) * time.Millisecond
		}
		return s
	}), 1, walkSteps).Draw(t, "steps")
}

// walk runs steps in a testEnv and checks what callers and servers observed.
type walk struct {
	env        *testEnv
	sending    sync.WaitGroup
	mu         sync.Mutex
	kinds      map[string]int  // index in walkKinds by request id
	refused    map[string]bool // by request id, whether the response says that the request has not run
	violations []string
}

func (w *walk) addViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *walk) servers() []*backend.Server {
	return slices.Concat(w.env.plain, w.env.prefill, w.env.decode)
}

// run runs the steps, makes all servers healthy again, and checks the result.
func (w *walk) run(steps []step) {
	for _, s := range steps {
		w.setFault(s)
		for range s.requests {
			w.startRequest(s)
		}
		sleep(s.pause)
	}
	for n := range walkServers {
		w.setFault(step{server: n})
	}
	w.sending.Wait()
	sleep(walkSettleTime)
	w.check()
}

// setFault changes the fault of the step's server.
func (w *walk) setFault(s step) {
	server := w.servers()[s.server]
	at := w.env.address(server)
	w.env.setDown(at, s.fault == len(walkFaults))
	if s.fault < len(walkFaults) {
		server.SetFaults(walkFaults[s.fault])
	}
}

// startRequest starts one request of a step.
func (w *walk) startRequest(s step) {
	id := fmt.Sprintf("w%d", len(w.kinds))
	w.kinds[id] = s.kind
	req := streamRequest(walkKinds[s.kind].path, id)
	switch s.kind {
	case 0:
		req = orderRequest(id)
	case 1:
		req = statusRequest(id)
	}
	req.disconnectAfter = s.disconnectAfter
	w.sending.Go(func() { w.checkResponse(req, w.env.send(req)) })
}

// checkResponse checks the response that one caller received.
func (w *walk) checkResponse(req testRequest, got testResponse) {
	if req.disconnectAfter > 0 {
		return
	}
	w.mu.Lock()
	w.refused[req.id] = got.Code == http.StatusServiceUnavailable || got.Code == http.StatusTooManyRequests
	w.mu.Unlock()
	if got.took > req.deadline+maxLateness {
		w.addViolation("%s %s got its response after %v", req.id, req.path, got.took)
	}
	if got.broken || got.Code != http.StatusOK {
		return
	}
	want := "whole answer of " + req.id
	if req.model {
		want = streamEvents(1, 10)
	}
	if got.Body.String() != want {
		w.addViolation("%s %s got a wrong response %.80q", req.id, req.path, got.Body)
	}
}

// check checks what the servers received, ran and still hold.
func (w *walk) check() {
	ran := make(map[string]int) // number of runs by request id
	for _, s := range w.servers() {
		for _, seen := range s.Received() {
			if seen.Ran && !seen.Prefill {
				ran[seen.ID]++
			}
			if seen.HeadersContain(testKey) || seen.Account() != caller.Account {
				w.addViolation("%s reached %s with the key, or for account %q", seen.ID, s.ID, seen.Account())
			}
		}
		if s.Running() > 0 || s.UsedTokens() > 0 {
			w.addViolation("%s still runs %d requests and holds %d tokens", s.ID, s.Running(), s.UsedTokens())
		}
	}
	plain, model := 0, 0
	for id, kind := range w.kinds {
		if ran[id] > walkKinds[kind].runs {
			w.addViolation("%s %s ran %d times", id, walkKinds[kind].path, ran[id])
		}
		if w.refused[id] && ran[id] > 0 {
			w.addViolation("%s %s was refused as not run, but ran", id, walkKinds[kind].path)
		}
		if kind < 2 {
			plain++
		} else {
			model++
		}
	}
	w.checkRetryBudget("plain", w.env.plain, plain, 1)
	w.checkRetryBudget("model", slices.Concat(w.env.prefill, w.env.decode), model, 2)
}

// checkRetryBudget checks that the servers of a service received no more requests than the retry budget allows. Without
// retries, they receive each request a given number of times.
func (w *walk) checkRetryBudget(service string, servers []*backend.Server, requests, perRequest int) {
	received := 0
	for _, s := range servers {
		received += len(s.Received())
	}
	if limit := float64(requests)*(float64(perRequest)+budgetShare) + budgetBurst; float64(received) > limit {
		w.addViolation("%d requests were received %d times by the %s service, more than %.1f",
			requests, received, service, limit)
	}
}

// TestWalk combines random server faults, refused connections and callers that disconnect with requests of all kinds.
// No request may run more often than its route allows, refused requests must not have run, responses must be complete
// and in time, retries must stay within the budget, no key may reach a server, and in the end no server may hold a
// request or memory.
func TestWalk(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r)
		var violations []string
		runInTestEnv(t, func(env *testEnv) {
			w := &walk{env: env, kinds: make(map[string]int), refused: make(map[string]bool)}
			w.run(steps)
			violations = w.violations
		})
		if len(violations) > 0 {
			r.Fatalf("violations: %q", violations)
		}
	})
}
