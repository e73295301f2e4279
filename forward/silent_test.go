package forward

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"teaselgate/platform"
	"teaselgate/registry"
	"teaselgate/standin/backend"
)

// An engine stops reporting for five seconds while it generates a stream. The stream is neither cancelled nor started
// again elsewhere, and requests that come meanwhile are served.
func TestStreamOfAnEngineThatStopsReportingGoesOn(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		for _, d := range env.decode {
			d.EventInterval = 800 * time.Millisecond
		}
		var stream testResponse
		var running sync.WaitGroup
		running.Go(func() { stream = env.send(draftRequest("long")) })
		sleep(time.Second)
		at := slices.IndexFunc(env.decode, func(s *backend.Server) bool { return s.Running() > 0 })
		if at < 0 {
			t.Fatal("no engine runs the stream")
		}
		silent := env.decode[at]
		silent.SetFaults(backend.Faults{NoReport: true})
		for n := range 5 {
			sleep(time.Second)
			running.Go(func() {
				if resp := env.send(draftRequest(fmt.Sprint(n))); resp.Code != http.StatusOK || resp.broken {
					t.Errorf("request %d: unexpected status %d, broken %v", n, resp.Code, resp.broken)
				}
			})
		}
		silent.SetFaults(backend.Faults{})
		running.Wait()
		if stream.Code != http.StatusOK || stream.broken || runCount(env.decode, "long") != 1 {
			t.Errorf("the stream of the silent engine: status %d, broken %v, %d runs", stream.Code, stream.broken, runCount(env.decode, "long"))
		}
	})
}

// A server's entry disappears, as when the store lists nobody for a while, or the server leaves, while the server still
// runs an order. The order is neither cancelled nor sent again.
func TestOrderAtAServerThatIsNoLongerListedIsCompleted(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		for _, s := range env.plain {
			s.ServiceTime = 400 * time.Millisecond
		}
		full := env.handler.View()
		views := newViewSequence(env.handler)
		views.set(full)
		time.AfterFunc(100*time.Millisecond, func() {
			views.set(registry.NewView(full.Configuration, []platform.Server{}, registry.EngineSettings{}))
		})
		resp := env.send(orderRequest("order"))
		if resp.Code != http.StatusOK || runCount(env.plain, "order") != 1 {
			t.Errorf("unexpected status %d and %d runs: %v", resp.Code, runCount(env.plain, "order"), env.recordedEvents("order"))
		}
	})
}
