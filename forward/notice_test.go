package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"teaselgate/platform"
	"teaselgate/standin/backend"
	"teaselgate/upstream"
)

// The users allow a server that wants no requests two of them, not counting those of the first half second.
const (
	maxRequestsInBackoff = 2
	backoffGrace         = 500 * time.Millisecond
)

// heedBackoff makes the handler heed the servers that want no requests, as an instance does.
func (env *testEnv) heedBackoff() {
	env.handler.Observe = func(key upstream.ServerKey, _ time.Time, resp *http.Response) {
		if d := platform.Backoff(resp); d > 0 {
			env.handler.Backoff.Start(key, d)
		}
	}
}

// sendConcurrently sends requests at an interval and waits for their responses.
func (env *testEnv) sendConcurrently(n int, interval time.Duration, request func(id string) testRequest) []testResponse {
	responses := make([]testResponse, n)
	var sending sync.WaitGroup
	for i := range n {
		sending.Go(func() { responses[i] = env.send(request(fmt.Sprint("r", i))) })
		sleep(interval)
	}
	sending.Wait()
	return responses
}

// A burst fills the queue of a server, which asks for two seconds without requests, while the others have room.
func TestServerThatWantsNoRequestsGetsNone(t *testing.T) {
	const wanted = 2 * time.Second
	cases := []struct {
		name    string
		request func(id string) testRequest
		server  func(env *testEnv) *backend.Server
	}{
		{"idempotent", statusRequest, func(env *testEnv) *backend.Server { return env.plain[0] }},
		{"once", orderRequest, func(env *testEnv) *backend.Server { return env.plain[0] }},
		{"prefill", draftRequest, func(env *testEnv) *backend.Server { return env.prefill[0] }},
		{"decode", draftRequest, func(env *testEnv) *backend.Server { return env.decode[0] }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInTestEnv(t, func(env *testEnv) {
				env.heedBackoff()
				busy := c.server(env)
				busy.SetFaults(backend.Faults{Reject: true, RetryAfter: []string{"0.25", "2"}})
				for n, resp := range env.sendConcurrently(20, 200*time.Millisecond, c.request) {
					if resp.Code != http.StatusOK {
						t.Errorf("unexpected status %d of request %d", resp.Code, n)
					}
				}
				received := busy.Received()
				if len(received) == 0 {
					t.Fatal("the server got no request at all")
				}
				first, n := received[0].ReceivedAt, 0
				for _, r := range received {
					if since := r.ReceivedAt.Sub(first); since > backoffGrace && since < wanted {
						n++
					}
				}
				if n > maxRequestsInBackoff {
					t.Errorf("%d requests while the server wanted none", n)
				}
			})
		})
	}
}

// All servers of a service want no requests: a request is refused at once, with the time at which the first takes them.
func TestRequestIsRefusedAtOnceWhileNoServerWantsRequests(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		env.heedBackoff()
		for n, s := range env.plain {
			s.SetFaults(backend.Faults{Reject: true, RetryAfter: []string{strconv.Itoa(3 + n)}})
		}
		env.send(statusRequest("first"))
		resp := env.send(statusRequest("second"))
		seconds, err := strconv.ParseFloat(resp.Header().Get("Retry-After"), 64)
		if resp.Code != http.StatusServiceUnavailable || resp.took > 0 || err != nil || seconds < 2.5 || seconds > 3 {
			t.Errorf("unexpected refusal: status %d after %v, retry after %v s, %v", resp.Code, resp.took, seconds, err)
		}
		sleep(3 * time.Second)
		env.plain[0].SetFaults(backend.Faults{})
		if resp := env.send(statusRequest("third")); resp.Code != http.StatusOK {
			t.Errorf("unexpected status %d after the first server takes requests again", resp.Code)
		}
	})
}

// What a server says about itself is meant for the router and not for the caller.
func TestHeadersForTheRouterDoNotReachTheCaller(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		setFaults(env.plain, backend.Faults{Leaving: true})
		resp := env.send(statusRequest("a"))
		if resp.Code != http.StatusOK || resp.Header().Get("Server-Leaving") != "" {
			t.Errorf("unexpected response: status %d, header %v", resp.Code, resp.Header())
		}
	})
}
