package forward

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"teaselgate/platform"
	"teaselgate/standin/backend"
)

// splitZones moves the first server of each kind to zone b.
func (env *testEnv) splitZones() {
	env.changeServers(func(s *platform.Server) {
		if slices.Contains([]string{"s0", "p0", "d0"}, s.ID) {
			s.Zone = "b"
		}
	})
}

// evacuate sets whether a zone is evacuated.
func (env *testEnv) evacuate(zone string, evacuated bool) {
	env.changeServers(func(s *platform.Server) {
		if s.Zone == zone {
			s.Evacuated = evacuated
		}
	})
}

// countReceived returns the number of requests that servers received, apart from those that were running at a time.
func countReceived(after time.Time, servers ...*backend.Server) int {
	n := 0
	for _, s := range servers {
		for _, r := range s.Received() {
			if r.ReceivedAt.After(after) {
				n++
			}
		}
	}
	return n
}

// A server of an evacuated zone that still gets a request is about to lose power under it. Requests in flight when the
// evacuation takes effect are served by other servers, and streams that run there end whole.
func TestEvacuatedServersGetNothing(t *testing.T) {
	cases := []struct {
		name     string
		interval time.Duration
		request  func(id string) testRequest
	}{
		{"once", 12 * time.Millisecond, orderRequest},
		{"idempotent", 12 * time.Millisecond, statusRequest},
		{"stream", 150 * time.Millisecond, draftRequest},
		{"resumable stream", 150 * time.Millisecond, func(id string) testRequest { return streamRequest("/digest/1", id) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInTestEnv(t, func(env *testEnv) {
				env.splitZones()
				zoneB := []*backend.Server{env.plain[0], env.prefill[0], env.decode[0]}
				var evacuated, returned time.Time
				time.AfterFunc(2*time.Second, func() { env.evacuate("b", true); evacuated = time.Now() })
				time.AfterFunc(6*time.Second, func() { returned = time.Now(); env.evacuate("b", false) })
				responses := env.sendConcurrently(int(10*time.Second/c.interval), c.interval, c.request)
				for n, resp := range responses {
					if resp.Code != http.StatusOK || resp.broken {
						t.Fatalf("request %d got status %d, broken %v", n, resp.Code, resp.broken)
					}
				}
				before := countReceived(time.Time{}, zoneB...) - countReceived(evacuated, zoneB...)
				during := countReceived(evacuated, zoneB...) - countReceived(returned, zoneB...)
				if after := countReceived(returned, zoneB...); before == 0 || during > 0 || after == 0 {
					t.Errorf("the zone got %d requests before, %d during and %d after its evacuation", before, during, after)
				}
			})
		})
	}
}

// A prompt that was read in the zone just before its evacuation is read again elsewhere, and its request is served.
func TestRequestBetweenPrefillAndDecodeIsPlacedAnew(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		env.changeServers(func(s *platform.Server) {
			if s.ID != "d1" && s.Stage == platform.Decode || s.ID != "p1" && s.Stage == platform.Prefill {
				s.Zone = "b"
			}
		})
		env.changeServers(func(s *platform.Server) { s.Leaving = s.ID == "p1" || s.ID == "d1" })
		time.AfterFunc(50*time.Millisecond, func() { // a prefill takes 90 ms
			env.evacuate("b", true)
			env.changeServers(func(s *platform.Server) { s.Leaving = false })
		})
		resp := env.send(draftRequest("r"))
		if resp.Code != http.StatusOK || env.decode[1].Runs("r") != 1 || env.decode[0].Runs("r") != 0 {
			t.Errorf("status %d, %v", resp.Code, env.recordedEvents("r"))
		}
	})
}

// Requests that no server may serve must be refused at once, not when their callers give up.
func TestRequestsAreRefusedAtOnceWhileAllZonesAreEvacuated(t *testing.T) {
	for name, request := range map[string]func(string) testRequest{
		"once": orderRequest, "idempotent": statusRequest, "stream": draftRequest,
	} {
		t.Run(name, func(t *testing.T) {
			runInTestEnv(t, func(env *testEnv) {
				env.evacuate("a", true)
				for n := range 5 {
					resp := env.send(request(fmt.Sprint(n)))
					if resp.Code != http.StatusServiceUnavailable || resp.took > 10*time.Millisecond {
						t.Errorf("status %d after %v", resp.Code, resp.took)
					}
				}
				if n := countReceived(time.Time{}, slices.Concat(env.plain, env.prefill, env.decode)...); n > 0 {
					t.Errorf("servers got %d requests", n)
				}
			})
		})
	}
}
