package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgate/standin/backend"
	"teaselgate/standin/caller"
)

// Time limits that the router guarantees.
const (
	maxCancelDelay   = 500 * time.Millisecond // from a caller's disconnect to the end of its work on all servers
	maxResponseDelay = 500 * time.Millisecond // from the route's timeout to the final response
)

func TestResponsesAreForwardedUnchanged(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		for _, req := range []testRequest{orderRequest("o1"), statusRequest("s1")} {
			got := env.send(req)
			if got.Code != http.StatusOK || got.Body.String() != "whole answer of "+req.id || !caller.HasSeal(got.Header()) {
				t.Errorf("unexpected response to %s, got %d %q", req.id, got.Code, got.Body)
			}
		}
		for _, s := range env.plain {
			for _, seen := range s.Received() {
				checkForwarded(t, s.ID, seen)
			}
		}
	})
}

// checkForwarded checks that a request arrived as the caller sent it, with the headers that the router adds and without
// the key.
func checkForwarded(t *testing.T, server string, seen backend.ReceivedRequest) {
	t.Helper()
	wants := map[string]testRequest{"o1": orderRequest("o1"), "s1": statusRequest("s1")}
	want := wants[seen.ID]
	if seen.Path != want.path || seen.Body != want.body {
		t.Errorf("unexpected request, got %q %q instead of %q %q", seen.Path, seen.Body, want.path, want.body)
	}
	if seen.Account() != caller.Account || seen.ExpectedServer() != server {
		t.Errorf("unexpected account or server, got %q and %q", seen.Account(), seen.ExpectedServer())
	}
	if left, ok := seen.TimeLeft(); !ok || left > 600*time.Millisecond || left < 500*time.Millisecond {
		t.Errorf("unexpected time left, got %v instead of 500ms to 600ms", left)
	}
	if seen.HeadersContain(testKey) {
		t.Errorf("unexpected key in a request to %s", server)
	}
}

func TestRouterHeadersSetByCallersAreDropped(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		req := streamRequest("/draft/1", "d1")
		req.forged = true
		if got := env.send(req); got.Code != http.StatusOK {
			t.Fatalf("unexpected status, got %d instead of 200", got.Code)
		}
		forgedNames := caller.SetForgedHeaders(make(http.Header), "")
		for _, s := range append(env.prefill, env.decode...) {
			for _, seen := range s.Received() {
				for _, name := range forgedNames {
					if seen.Header.Get(name) != "" {
						t.Errorf("unexpected header %s of a caller in a request to %s", name, s.ID)
					}
				}
				if seen.Account() != caller.Account || strings.HasPrefix(seen.KVSource(), "10.9.9.9") || seen.HeadersContain(testKey) {
					t.Errorf("unexpected headers in a request to %s, got %v", s.ID, seen.Header)
				}
			}
		}
	})
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	cases := []struct {
		name    string
		request testRequest
		status  int
	}{
		{"unknown key", testRequest{method: "POST", path: "/order/1", id: "a", key: "wrong"}, http.StatusUnauthorized},
		{"no key", testRequest{method: "POST", path: "/order/1", id: "a"}, http.StatusUnauthorized},
		{"no route", testRequest{method: "GET", path: "/nothing/", id: "a", key: testKey}, http.StatusNotFound},
		{
			"body too large",
			testRequest{method: "POST", path: "/order/1", id: "a", key: testKey, body: strings.Repeat("x", 5000)},
			http.StatusRequestEntityTooLarge,
		},
		{"open route", testRequest{method: "GET", path: "/open/1", id: "a"}, http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInTestEnv(t, func(env *testEnv) {
				if got := env.send(c.request); got.Code != c.status {
					t.Errorf("unexpected status, got %d instead of %d", got.Code, c.status)
				}
				if n := runCount(env.plain, "a"); c.status != http.StatusOK && n > 0 {
					t.Errorf("unexpected runs of a refused request, got %d", n)
				}
			})
		})
	}
}

// Whatever fault plain servers have, a caller must get a complete response to its own request or an error, and a
// request that must not be retried must run at most once.
func TestPlainServerFaultsGiveCorrectResponses(t *testing.T) {
	faults := map[string]backend.Faults{
		"error status": {Fail: true}, "rejection": {Reject: true}, "lost response": {LoseResponse: true},
		"truncated response": {Truncate: true}, "response without seal": {OmitSeal: true},
		"response to another request": {WrongID: true}, "another server at the address": {WrongServer: true},
		"no response": {Silent: true},
	}
	for name, f := range faults {
		for _, req := range []testRequest{orderRequest("x"), statusRequest("x")} {
			for _, faulty := range []int{1, 3} {
				t.Run(fmt.Sprintf("%s, %s, %d of 3", name, req.path, faulty), func(t *testing.T) {
					runInTestEnv(t, func(env *testEnv) {
						setFaults(env.plain[:faulty], f)
						for n := range 6 {
							req.id = fmt.Sprintf("x%d", n)
							checkPlain(t, env, req, env.send(req), f)
						}
						sleep(time.Second)
						if n := activeRequests(env.plain); n > 0 {
							t.Errorf("unexpected requests still running, got %d", n)
						}
					})
				})
			}
		}
	}
}

// checkPlain checks the response to a plain request, and how often the request ran.
func checkPlain(t *testing.T, env *testEnv, req testRequest, got testResponse, f backend.Faults) {
	t.Helper()
	n := runCount(env.plain, req.id)
	if req.method == "POST" && n > 1 {
		t.Errorf("unexpected runs of %s, got %d instead of at most 1", req.id, n)
	}
	if req.method == "GET" && n > 2 {
		t.Errorf("unexpected runs of %s, got %d, more than the route allows", req.id, n)
	}
	switch {
	case got.Code == http.StatusOK && got.Body.String() != "whole answer of "+req.id:
		t.Errorf("unexpected response to %s, got %q", req.id, got.Body)
	case (got.Code == http.StatusServiceUnavailable || got.Code == http.StatusTooManyRequests) &&
		req.method == "POST" && n > 0:
		t.Errorf("unexpected refusal of %s as not run, although it ran", req.id)
	case got.Code >= http.StatusInternalServerError && caller.HasSeal(got.Header()) && !f.Fail:
		t.Errorf("unexpected server seal on an error response to %s that no server sent", req.id)
	}
	if got.took > 600*time.Millisecond+maxResponseDelay {
		t.Errorf("unexpected time to the response to %s, got %v", req.id, got.took)
	}
}

// Servers that refuse connections must be skipped. If all do, the request must be refused at once with a Retry-After
// time.
func TestUnreachableServersAreSkipped(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		env.down["10.0.0.0:80"], env.down["10.0.0.1:80"] = true, true
		for n := range 10 {
			if got := env.send(orderRequest(fmt.Sprint("o", n))); got.Code != http.StatusOK {
				t.Errorf("unexpected status, got %d although a server is reachable", got.Code)
			}
		}
		env.down["10.0.0.2:80"] = true
		env.handler.Servers.Close() // closes idle connections, too
		got := env.send(orderRequest("last"))
		if got.Code != http.StatusServiceUnavailable || got.Header().Get("Retry-After") == "" {
			t.Errorf("unexpected response without reachable servers, got %d %v instead of 503 with Retry-After",
				got.Code, got.Header())
		}
		if got.took > 100*time.Millisecond {
			t.Errorf("unexpected time to the refusal, got %v", got.took)
		}
	})
}

// When all servers of a service fail, retries must stay within the retry budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		const requests, burst, share = 100, 10, 0.2
		setFaults(env.plain, backend.Faults{Fail: true})
		for n := range requests {
			env.send(statusRequest(fmt.Sprint("s", n)))
		}
		received := 0
		for _, s := range env.plain {
			received += len(s.Received())
		}
		if extra := received - requests; extra > burst+share*requests {
			t.Errorf("unexpected retries, got %d, more than the burst of %d and a share of %v", extra, burst, share)
		}
	})
}

func TestCallerDisconnectStopsWork(t *testing.T) {
	for _, req := range []testRequest{
		orderRequest("x"), statusRequest("x"), streamRequest("/draft/1", "x"), streamRequest("/digest/1", "x"),
	} {
		for _, disconnectAfter := range []time.Duration{
			time.Millisecond, 8 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond,
		} {
			t.Run(fmt.Sprint(req.path, disconnectAfter), func(t *testing.T) {
				runInTestEnv(t, func(env *testEnv) {
					for _, s := range env.plain {
						s.ServiceTime = 300 * time.Millisecond
					}
					req.disconnectAfter = disconnectAfter
					env.send(req)
					sleep(maxCancelDelay - disconnectAfter)
					if n := activeRequests(env.plain, env.prefill, env.decode); n > 0 {
						t.Errorf("unexpected requests still running after the caller disconnected, got %d after %v",
							n, maxCancelDelay)
					}
				})
			})
		}
	}
}

func TestStreamIsCompleteAndReleasesMemory(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		got := env.send(streamRequest("/draft/1", "d1"))
		if got.Code != http.StatusOK || got.broken || got.Body.String() != streamEvents(1, 10) {
			t.Errorf("unexpected stream, got %d %q", got.Code, got.Body)
		}
		if n := runCount(env.decode, "d1"); n != 1 {
			t.Errorf("unexpected runs of the stream, got %d", n)
		}
		sleep(time.Second)
		for _, s := range append(env.prefill, env.decode...) {
			if s.UsedTokens() > 0 {
				t.Errorf("unexpected memory in use on %s, got %d tokens", s.ID, s.UsedTokens())
			}
		}
	})
}

// streamEvents returns the events of a stream from first to last.
func streamEvents(first, last int) string {
	var out strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&out, "id: %d\ndata: token %d\n\n", n, n)
	}
	return out.String()
}

// Engines fail at each step of a stream. A stream that must not be resumed must run at most once and must not look
// complete; one that may be resumed must continue on another engine without missing or repeated events.
func TestEngineFaultsBreakOrResumeStreams(t *testing.T) {
	cases := []struct {
		name          string
		prefill       backend.Faults
		decode        backend.Faults
		draft, digest int // expected status by route; 0 if the connection is closed
	}{
		{"prefill engine rejects", backend.Faults{Reject: true}, backend.Faults{}, 200, 200},
		{"prefill engine loses responses", backend.Faults{LoseResponse: true}, backend.Faults{}, 200, 200},
		{"prefill engine was replaced", backend.Faults{WrongServer: true}, backend.Faults{}, 200, 200},
		{"decode engine rejects", backend.Faults{}, backend.Faults{Reject: true}, 200, 200},
		{"decode engine breaks off streams", backend.Faults{}, backend.Faults{AbortAfterEvents: 3}, 0, 200},
		{"decode engine fails", backend.Faults{}, backend.Faults{Fail: true}, 500, 200},
		{"decode engine sends no seal", backend.Faults{}, backend.Faults{OmitSeal: true}, 502, 200},
	}
	for _, c := range cases {
		for path, want := range map[string]int{"/draft/1": c.draft, "/digest/1": c.digest} {
			t.Run(c.name+" "+path, func(t *testing.T) {
				runInTestEnv(t, func(env *testEnv) {
					env.prefill[0].SetFaults(c.prefill)
					env.decode[0].SetFaults(c.decode)
					for n := range 4 {
						id := fmt.Sprint("x", n)
						got := env.send(streamRequest(path, id))
						checkStream(t, env, id, got, want, path == "/digest/1")
					}
				})
			})
		}
	}
}

// checkStream checks the response to a model request, and how often the request ran.
func checkStream(t *testing.T, env *testEnv, id string, got testResponse, want int, resumable bool) {
	t.Helper()
	if n := runCount(env.decode, id); n > 1 && !resumable {
		t.Errorf("unexpected runs of %s, got %d instead of at most 1", id, n)
	}
	if got.Code == http.StatusOK && !got.broken {
		if got.Body.String() != streamEvents(1, 10) {
			t.Errorf("unexpected stream of %s, got %q", id, got.Body)
		}
		return
	}
	if want == http.StatusOK {
		t.Errorf("unexpected failure of %s, got status %d, broken %v; events: %v",
			id, got.Code, got.broken, env.recordedEvents(id))
	}
	if want == 0 && !got.broken || want > 0 && got.Code != want {
		t.Errorf("unexpected result of %s, got status %d, broken %v instead of status %d", id, got.Code, got.broken, want)
	}
}
