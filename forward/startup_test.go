package forward

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"teaselgate/registry"
	"teaselgate/rule"
	"teaselgate/slot"
)

// viewSequence replaces the views that a handler sees, as the registry does.
type viewSequence struct {
	view    atomic.Pointer[registry.View]
	changed atomic.Pointer[chan struct{}]
}

func newViewSequence(h *Handler) *viewSequence {
	s := &viewSequence{}
	first := make(chan struct{})
	s.changed.Store(&first)
	h.View = s.view.Load
	h.ViewChanged = func() <-chan struct{} { return *s.changed.Load() }
	return s
}

func (s *viewSequence) set(v *registry.View) {
	s.view.Store(v)
	next := make(chan struct{})
	close(*s.changed.Swap(&next))
}

// Replays the load after all instances were lost: requests arrive before the instance has its configuration, and before
// the entries of the servers, which had lapsed, are back in the store.
func TestRequestsWaitForConfigurationAndServersAfterStart(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		full := env.handler.View()
		views := newViewSequence(env.handler)
		settled := time.Now().Add(2 * time.Second)
		env.handler.SettledAt = func() time.Time { return settled }
		for _, req := range []testRequest{orderRequest("a"), statusRequest("b"), draftRequest("c")} {
			views.view.Store(nil)
			time.AfterFunc(100*time.Millisecond, func() {
				views.set(registry.NewView(full.Configuration, nil, registry.EngineSettings{}))
			})
			time.AfterFunc(300*time.Millisecond, func() { views.set(full) })
			if resp := env.send(req); resp.Code != http.StatusOK {
				t.Errorf("%s: unexpected status %d after %v: %v", req.id, resp.Code, resp.took, env.recordedEvents(req.id))
			}
		}
	})
}

func TestWaitForServersEndsInTimeToReturn(t *testing.T) {
	runInTestEnv(t, func(env *testEnv) {
		empty := registry.NewView(env.handler.View().Configuration, nil, registry.EngineSettings{})
		env.handler.View = func() *registry.View { return empty }
		env.handler.PickServer = localPick(slot.NewPicker(func() *rule.Set { return empty.Rules }))
		settled := time.Now().Add(1800 * time.Millisecond)
		env.handler.SettledAt = func() time.Time { return settled }
		resp := env.send(orderRequest("a"))
		if resp.Code != http.StatusServiceUnavailable || resp.took > 240*time.Millisecond {
			t.Errorf("unexpected status %d after %v, want 503 after at most four tenths of 600 ms", resp.Code, resp.took)
		}
		seconds, err := strconv.ParseFloat(resp.Header().Get("Retry-After"), 64)
		if err != nil || seconds < 1.5 || seconds > 1.8 {
			t.Errorf("unexpected Retry-After of %v s, want the time until the entries are back", seconds)
		}
		sleep(time.Until(settled))
		if resp = env.send(orderRequest("b")); resp.Code != http.StatusServiceUnavailable || resp.took > 0 {
			t.Errorf("unexpected status %d after %v, want 503 at once when no server is expected", resp.Code, resp.took)
		}
	})
}
