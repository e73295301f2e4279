package outcome_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselgate/outcome"
	standengine "teaselgate/standin/engine"
	"teaselgate/standin/fault"
	standplatform "teaselgate/standin/platform"
)

const platformDelay = 100 * time.Millisecond // delay of the responses of a slow platform

// The steps of each kind of request, in the order in which requests reach them. The stand-ins of the backend servers
// name their steps themselves; claimStepName names those of the platform.
var (
	modelSteps = []string{"prefill", "prefilled", "import", "export", "imported", "decode", "token", "done"}
	plainSteps = []string{"received", "ran", "answering"}
	keyedSteps = []string{"claim", "claimed", "send", "sent", "received", "ran", "answering", "store", "stored"}

	requestKinds = []requestKind{kindStream, kindCompletion, kindRead, kindOnce, kindOnceKeyed}
	stepsByKind  = map[requestKind][]string{
		kindStream: modelSteps, kindCompletion: modelSteps,
		kindRead: plainSteps, kindOnce: plainSteps, kindOnceKeyed: keyedSteps,
	}
)

// inapplicableReasons are the reasons why a fault can't occur at a step. Cells refer to them by number.
var inapplicableReasons = map[string]string{
	"1":  "no engine takes part in the request",
	"2":  "the platform takes no part in the request",
	"3":  "no backend server takes part in the step: the instance waits for the platform",
	"4":  "a response on an HTTP/1.1 connection that carries one request at a time can't belong to another request",
	"5":  "only tokens can be duplicated or missing; every other message is a single response",
	"6":  "the exchange is between two engines; the instance only sees the import fail, which the first rows cover",
	"7":  "a prefill result exists only between the prefill response and the import",
	"8":  "the request has no lease or claim; to the caller, a paused instance is a slow server",
	"9":  "the response is not to a write: the platform has only read, or has not acted yet",
	"10": "the response header has been sent, so the backend server can't refuse any more",
}

// pendingRequest is the request during which a fault is injected.
type pendingRequest struct {
	requestKind requestKind
	id          string
	disconnect  context.CancelFunc // disconnects the caller
	callerDone  chan struct{}      // closed when the caller has its response or has disconnected
	retry       string             // result of a retry that was sent while the holder of the claim was paused
}

// faultRow is a fault and its expected results.
type faultRow struct {
	fault  string
	inject func(*testbed, *backend, *pendingRequest) fault.Action
	// cells has one cell for each step, separated by spaces: the expected result, for requests with a key followed by
	// "/" and that of a later retry. "|" separates alternatives. A number is a key of inapplicableReasons.
	cells map[requestKind]string
}

// onlyAction returns an inject function that only returns an action.
func onlyAction(a fault.Action) func(*testbed, *backend, *pendingRequest) fault.Action {
	return func(*testbed, *backend, *pendingRequest) fault.Action { return a }
}

// faultRows are all faults, with the expected results at every step of each kind of request.
var faultRows = []faultRow{
	{"backend server process is killed", func(_ *testbed, be *backend, _ *pendingRequest) fault.Action {
		be.kill()
		return fault.Abort
	}, map[requestKind]string{
		kindStream:     "whole whole whole whole whole whole whole whole",
		kindCompletion: "whole whole whole whole whole whole whole whole",
		kindRead:       "whole whole broken",
		kindOnce:       "unknown unknown broken",
		kindOnceKeyed:  "3 3 3 3 unknown/unknown unknown/unknown unknown/unknown 3 3",
	}},
	{"connection to the backend server breaks", onlyAction(fault.Abort), map[requestKind]string{
		kindStream:     "whole whole whole whole whole whole whole whole",
		kindCompletion: "whole whole whole whole whole whole whole whole",
		kindRead:       "whole whole broken",
		kindOnce:       "unknown unknown broken",
		kindOnceKeyed:  "3 3 3 3 unknown/unknown unknown/unknown unknown/unknown 3 3",
	}},
	{"connection to the backend server hangs, or the KV transfer stalls", onlyAction(fault.Hang), map[requestKind]string{
		kindStream:     "whole whole whole whole whole whole whole whole",
		kindCompletion: "whole whole whole whole whole whole whole whole",
		kindRead:       "whole whole broken",
		kindOnce:       "unknown unknown broken",
		kindOnceKeyed:  "3 3 3 3 unknown/unknown unknown/unknown unknown/unknown 3 3",
	}},
	{"backend server refuses the request", onlyAction(fault.Reject), map[requestKind]string{
		kindStream:     "whole whole whole whole whole whole 10 10",
		kindCompletion: "whole whole whole whole whole whole 10 10",
		kindRead:       "passed passed 10",
		kindOnce:       "passed passed 10",
		kindOnceKeyed:  "3 3 3 3 passed/passed passed/passed 10 3 3",
	}},
	{"response of another attempt", respondForOtherAttempt, map[requestKind]string{
		kindStream:     "whole whole whole 6 whole whole whole whole",
		kindCompletion: "whole whole whole 6 whole whole whole whole",
		kindRead:       "4 4 4",
		kindOnce:       "4 4 4",
		kindOnceKeyed:  "4 4 4 4 4 4 4 4 4",
	}},
	{"token is duplicated", onlyAction(fault.Duplicate), map[requestKind]string{
		kindStream:     "5 5 5 5 5 5 whole 5",
		kindCompletion: "5 5 5 5 5 5 whole 5",
		kindRead:       "5 5 5",
		kindOnce:       "5 5 5",
		kindOnceKeyed:  "5 5 5 5 5 5 5 5 5",
	}},
	{"token is missing", onlyAction(fault.Skip), map[requestKind]string{
		kindStream:     "5 5 5 5 5 5 whole 5",
		kindCompletion: "5 5 5 5 5 5 whole 5",
		kindRead:       "5 5 5",
		kindOnce:       "5 5 5",
		kindOnceKeyed:  "5 5 5 5 5 5 5 5 5",
	}},
	{"prefill result expires", func(_ *testbed, be *backend, _ *pendingRequest) fault.Action {
		be.engine.SetFaults(standengine.Faults{ExpireImmediately: true})
		return fault.Pass
	}, map[requestKind]string{
		kindStream:     "whole 7 7 7 7 7 7 7",
		kindCompletion: "whole 7 7 7 7 7 7 7",
		kindRead:       "1 1 1",
		kindOnce:       "1 1 1",
		kindOnceKeyed:  "1 1 1 1 1 1 1 1 1",
	}},
	{"caller disconnects", func(_ *testbed, _ *backend, p *pendingRequest) fault.Action {
		p.disconnect()
		<-p.callerDone
		return fault.Pass
	}, map[requestKind]string{
		kindStream:     "gone gone gone gone gone gone gone gone",
		kindCompletion: "gone gone gone gone gone gone gone gone",
		kindRead:       "gone gone gone",
		kindOnce:       "gone gone gone",
		kindOnceKeyed:  "gone/whole|gone/replayed gone/whole|gone/replayed gone/replayed gone/replayed gone/replayed gone/replayed gone/replayed gone/replayed gone/replayed",
	}},
	{"API key is withdrawn", func(b *testbed, _ *backend, _ *pendingRequest) fault.Action {
		b.withdrawKey()
		return fault.Pass
	}, map[requestKind]string{
		kindStream:     "ran ran ran ran ran ran broken|ran whole|broken|ran",
		kindCompletion: "ran ran ran ran ran ran ran whole|ran",
		kindRead:       "whole whole whole",
		kindOnce:       "whole whole whole",
		kindOnceKeyed:  "not-run/not-run not-run/not-run whole/not-run whole/not-run whole/not-run whole/not-run whole/not-run whole/not-run whole/not-run",
	}},
	{"platform is down", func(b *testbed, be *backend, _ *pendingRequest) fault.Action {
		b.platform.SetFaults(standplatform.Faults{Outage: true})
		if be == nil {
			return fault.Reject
		}
		return fault.Pass
	}, map[requestKind]string{
		kindStream:     "whole whole whole whole whole whole whole whole",
		kindCompletion: "whole whole whole whole whole whole whole whole",
		kindRead:       "whole whole whole",
		kindOnce:       "whole whole whole",
		kindOnceKeyed:  "not-run/whole not-run/whole not-run/whole not-run/whole whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed",
	}},
	{"platform is slow", func(b *testbed, _ *backend, _ *pendingRequest) fault.Action {
		b.platform.SetFaults(standplatform.Faults{Delay: platformDelay})
		return fault.Pass
	}, map[requestKind]string{
		kindStream:     "whole whole whole whole whole whole whole whole",
		kindCompletion: "whole whole whole whole whole whole whole whole",
		kindRead:       "whole whole whole",
		kindOnce:       "whole whole whole",
		kindOnceKeyed: "whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed " +
			"whole/replayed whole/replayed",
	}},
	{"platform response is lost", onlyAction(fault.Abort), map[requestKind]string{
		kindStream:     "2 2 2 2 2 2 2 2",
		kindCompletion: "2 2 2 2 2 2 2 2",
		kindRead:       "2 2 2",
		kindOnce:       "2 2 2",
		kindOnceKeyed:  "whole/replayed whole/replayed whole/replayed whole/replayed 9 9 9 whole/replayed whole/replayed",
	}},
	{"platform never responds", onlyAction(fault.Hang), map[requestKind]string{
		kindStream:     "2 2 2 2 2 2 2 2",
		kindCompletion: "2 2 2 2 2 2 2 2",
		kindRead:       "2 2 2",
		kindOnce:       "2 2 2",
		kindOnceKeyed:  "whole/replayed whole/replayed whole/replayed whole/replayed 9 9 9 whole/replayed whole/replayed",
	}},
	{"instance process is killed", func(b *testbed, _ *backend, _ *pendingRequest) fault.Action {
		b.instances[0].kill()
		return fault.Pass
	}, map[requestKind]string{
		kindStream:     "broken broken broken broken broken broken broken broken",
		kindCompletion: "broken broken broken broken broken broken broken broken",
		kindRead:       "broken broken broken",
		kindOnce:       "broken broken broken",
		kindOnceKeyed:  "broken/whole broken/whole broken/unknown broken/unknown broken/unknown broken/unknown broken/unknown broken/replayed broken/replayed",
	}},
	{"instance shuts down", func(b *testbed, _ *backend, _ *pendingRequest) fault.Action {
		b.running.Go(func() { _ = b.instances[0].server.Shutdown(b.ctx) })
		return fault.Pass
	}, map[requestKind]string{
		kindStream:     "whole whole whole whole whole whole whole whole",
		kindCompletion: "whole whole whole whole whole whole whole whole",
		kindRead:       "whole whole whole",
		kindOnce:       "whole whole whole",
		kindOnceKeyed: "whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed " +
			"whole/replayed whole/replayed",
	}},
	{"instance ends its requests at the shutdown deadline", func(b *testbed, _ *backend, p *pendingRequest) fault.Action {
		b.instances[0].end(outcome.ErrShuttingDown)
		if p.requestKind == kindOnce || p.requestKind == kindOnceKeyed {
			return fault.Pass
		}
		return fault.Hang
	}, map[requestKind]string{
		kindStream:     "unknown unknown unknown unknown unknown unknown broken|unknown broken|unknown",
		kindCompletion: "unknown unknown unknown unknown unknown unknown unknown unknown",
		kindRead:       "unknown unknown broken|unknown",
		kindOnce:       "whole whole whole",
		kindOnceKeyed: "not-run/whole not-run/whole whole/replayed whole/replayed whole/replayed whole/replayed whole/replayed " +
			"whole/replayed whole/replayed",
	}},
	{"backend server is leaving", func(b *testbed, be *backend, _ *pendingRequest) fault.Action {
		if be != nil {
			b.startLeaving(be)
		}
		return fault.Pass
	}, map[requestKind]string{
		kindStream:     "whole whole whole whole whole whole whole whole",
		kindCompletion: "whole whole whole whole whole whole whole whole",
		kindRead:       "whole whole whole",
		kindOnce:       "whole whole whole",
		kindOnceKeyed:  "3 3 3 3 whole/replayed whole/replayed whole/replayed 3 3",
	}},
	{"claim is taken over while its holder is paused", func(b *testbed, _ *backend, p *pendingRequest) fault.Action {
		p.retry = b.call(b.ctx, b.instances[1], p.requestKind, p.id)
		return fault.Pass
	}, map[requestKind]string{
		kindStream:     "8 8 8 8 8 8 8 8",
		kindCompletion: "8 8 8 8 8 8 8 8",
		kindRead:       "8 8 8",
		kindOnce:       "8 8 8",
		kindOnceKeyed: "replayed/whole unknown/whole unknown/whole whole/unknown whole/unknown whole/unknown whole/unknown " +
			"whole/unknown whole/replayed",
	}},
}

// respondForOtherAttempt has the response at a step carry the ID of another attempt.
func respondForOtherAttempt(_ *testbed, be *backend, p *pendingRequest) fault.Action {
	be.engine.SetFaults(standengine.Faults{WrongAttempts: 1})
	return fault.WrongAttempt
}

func TestFaultMatrix(t *testing.T) {
	for _, r := range faultRows {
		for _, k := range requestKinds {
			cells := strings.Fields(r.cells[k])
			if len(cells) != len(stepsByKind[k]) {
				t.Fatalf("unexpected cells of %q for a %s, got %d instead of %d", r.fault, k, len(cells), len(stepsByKind[k]))
			}
			for i, step := range stepsByKind[k] {
				if inapplicableReasons[cells[i]] != "" {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/%s", r.fault, k, step), func(t *testing.T) {
					t.Parallel()
					runCase(t, r, k, step, cells[i])
				})
			}
		}
	}
}

// runCase makes a request, injects a fault at a step, and checks the result, what ran, and what the engines hold.
func runCase(t *testing.T, r faultRow, k requestKind, step, want string) {
	b := newTestbed(t, 2)
	defer b.close()
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	p := &pendingRequest{requestKind: k, id: "call", disconnect: disconnect, callerDone: make(chan struct{})}
	var mu sync.Mutex
	b.injectAt(step, func(be *backend) fault.Action {
		mu.Lock()
		defer mu.Unlock()
		return r.inject(b, be, p)
	})
	result := b.call(ctx, b.instances[0], k, p.id)
	close(p.callerDone)
	mu.Lock() // waits until the fault was injected
	defer mu.Unlock()
	b.checkResult(k, p.id, result, 0)
	if k == kindOnceKeyed {
		result += "/" + b.retry(p)
	}
	b.checkReleased()
	if !matches(result, want) {
		t.Errorf("unexpected result, got %s instead of %s", result, want)
	}
}

// matches reports whether a result is among those that a cell allows.
func matches(result, want string) bool {
	return slices.Contains(strings.Split(want, "|"), result)
}

// retry retries a request with a key through the other instance once the platform works again.
func (b *testbed) retry(p *pendingRequest) string {
	if p.retry != "" {
		return p.retry
	}
	b.platform.SetFaults(standplatform.Faults{})
	b.instances[0].waitIdle(b)
	runsBefore := b.runs(p.id)
	result := b.call(b.ctx, b.instances[1], p.requestKind, p.id)
	b.checkResult(p.requestKind, p.id, result, runsBefore)
	return result
}

// waitIdle waits until an instance has ended its requests and saved its claims.
func (inst *instance) waitIdle(b *testbed) {
	if inst.killed.Load() {
		return
	}
	ctx, stop := context.WithTimeout(b.ctx, releaseTimeout)
	defer stop()
	_ = inst.server.Shutdown(ctx)
	if unsaved := inst.claims.Drain(ctx); unsaved > 0 {
		b.t.Errorf("unexpected unsaved claims, got %d instead of 0", unsaved)
	}
}

// checkResult compares the result of a request with its runs, of which runsBefore took place before the request.
func (b *testbed) checkResult(k requestKind, id, result string, runsBefore int) {
	b.t.Helper()
	if result == resultWrong {
		b.t.Errorf("unexpected response, it does not belong to the request")
	}
	if k == kindStream || k == kindCompletion {
		if n := b.prefillRequests.Load(); result == resultNotRun && n > 0 {
			b.t.Errorf("unexpected refusal as not run, %d requests reached an engine", n)
		}
		return
	}
	runs := b.runs(id)
	confirmed := result == resultWhole || result == resultReplayed
	switch {
	case runs > 1 && k != kindRead:
		b.t.Errorf("unexpected runs, got %d instead of at most 1", runs)
	case confirmed && runs == 0:
		b.t.Errorf("unexpected runs of a confirmed request, got 0 instead of 1")
	case result == resultNotRun && runs > runsBefore:
		b.t.Errorf("unexpected refusal as not run, the request ran %d times", runs)
	}
}
