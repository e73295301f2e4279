package allowance

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"teaselgate/fleet"
	"teaselgate/platform"
	standplatform "teaselgate/standin/platform"
)

const platformToken = "store-token"

func newPlatformLimiter(t *testing.T, name string, handler *standplatform.Server) *Limiter {
	t.Helper()
	server := httptest.NewServer(handler.Handler())
	t.Cleanup(server.Close)
	limiter := NewLimiter(Instance{Name: name, Incarnation: 5, Zone: "ala-a", Peer: name})
	limiter.Platform = platform.NewClient(server.URL, platformToken)
	t.Cleanup(limiter.Platform.HTTP.CloseIdleConnections)
	return limiter
}

// An instance that can't reach the platform reads and writes through another instance.
func TestUnreachablePlatformIsCalledThroughPeer(t *testing.T) {
	working := newPlatformLimiter(t, "i2", standplatform.NewServer(platformToken))
	unavailable := standplatform.NewServer(platformToken)
	unavailable.SetFaults(standplatform.Faults{Outage: true})
	limiter := newPlatformLimiter(t, "i1", unavailable)
	limiter.Members = func() []fleet.Member {
		return []fleet.Member{{Name: "i1", Peer: "i1"}, {Name: "i2", Peer: "i2"}}
	}
	limiter.Call = func(_ context.Context, address, method string, args, reply any) error {
		if address != "i2" || method != RPCName+".Store" {
			return errors.New("unexpected call of " + method + " at " + address)
		}
		return working.Receiver().Store(args.(StoreArgs), reply.(*StoreReply))
	}
	object := Assignment{Epoch: 1, Primary: limiter.Self, Change: "one"}
	for _, want := range []WriteResult{WriteApplied, WriteConflict} {
		reply, err := limiter.callPlatform(t.Context(), StoreArgs{Name: "16.3", Object: &object})
		if err != nil || reply.End != want {
			t.Errorf("unexpected result of a write, got %v, %v instead of %v", reply.End, err, want)
		}
	}
	reply, err := limiter.callPlatform(t.Context(), StoreArgs{Name: "16.3"})
	if err != nil || reply.Object != object {
		t.Errorf("unexpected result of a read, got %v, %v instead of %v", reply.Object, err, object)
	}
}

func TestCallPlatformReturnsWriteResult(t *testing.T) {
	server := standplatform.NewServer(platformToken)
	limiter := newPlatformLimiter(t, "i1", server)
	limiter.Members = func() []fleet.Member { return nil }
	cases := []struct {
		name   string
		faults standplatform.Faults
		want   WriteResult
	}{
		{"outage", standplatform.Faults{Outage: true}, WriteNotApplied},
		{"lost reply", standplatform.Faults{LoseWriteResponses: 1}, WriteUnknown},
		{"repeated after the lost reply", standplatform.Faults{}, WriteConflict},
	}
	for _, c := range cases {
		server.SetFaults(c.faults)
		reply, err := limiter.callPlatform(t.Context(), StoreArgs{Name: "16.3", Object: &Assignment{Epoch: 1}})
		if err != nil || reply.End != c.want {
			t.Errorf("%s: unexpected result, got %v, %v instead of %v", c.name, reply.End, err, c.want)
		}
	}
}

func TestServeEvictNotifiesInstances(t *testing.T) {
	limiter := NewLimiter(Instance{Name: "i1", Incarnation: 5})
	limiter.Members = func() []fleet.Member {
		return []fleet.Member{
			{Name: "i1", Incarnation: 5},
			{Name: "i2", Peer: "i2", Incarnation: 7},
			{Name: "i3", Peer: "i3", Incarnation: 9},
		}
	}
	limiter.Call = func(_ context.Context, address, _ string, _, _ any) error {
		if address == "i2" {
			return errors.New("i2 is gone")
		}
		return nil
	}
	manager := NewShardManager(limiter.Self, 1, time.Now())
	limiter.components.Store(&components{manager: manager, client: NewGrantClient(1, manager.Assignment)})
	cases := []struct {
		name   string
		status int
		body   string
	}{
		{"i2", 200, `{"instance":"i2","told":["i1","i3"]}` + "\n"},
		{"i9", 404, "allowance: no instance i9 is known\n"},
	}
	for _, c := range cases {
		w := httptest.NewRecorder()
		limiter.ServeEvict(w, httptest.NewRequestWithContext(t.Context(), "POST", "/evict?instance="+c.name, nil))
		if w.Code != c.status || w.Body.String() != c.body {
			t.Errorf("unexpected response, got %d %q instead of %d %q", w.Code, w.Body.String(), c.status, c.body)
		}
	}
	if !manager.isGone(Instance{Name: "i2", Incarnation: 7}) || manager.isGone(Instance{Name: "i2", Incarnation: 8}) {
		t.Errorf("unexpected incarnations marked gone: only those of i2 up to 7 are expected")
	}
}
