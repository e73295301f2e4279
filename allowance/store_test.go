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

const storeToken = "store-token"

func storeNode(t *testing.T, name string, handler *standplatform.Server) *Limiter {
	t.Helper()
	server := httptest.NewServer(handler.Handler())
	t.Cleanup(server.Close)
	n := NewLimiter(Instance{Name: name, Incarnation: 5, Zone: "ala-a", Peer: name})
	n.Platform = platform.NewClient(server.URL, storeToken)
	t.Cleanup(n.Platform.HTTP.CloseIdleConnections)
	return n
}

// A keeper whose own way to the platform is lost reads and writes through a peer.
func TestStoreThroughPeer(t *testing.T) {
	working := storeNode(t, "i2", standplatform.NewServer(storeToken))
	out := standplatform.NewServer(storeToken)
	out.SetFaults(standplatform.Faults{Outage: true})
	n := storeNode(t, "i1", out)
	n.Members = func() []fleet.Member {
		return []fleet.Member{{Name: "i1", Peer: "i1"}, {Name: "i2", Peer: "i2"}}
	}
	n.Call = func(_ context.Context, address, method string, args, reply any) error {
		if address != "i2" || method != RPCName+".Store" {
			return errors.New("unexpected call of " + method + " at " + address)
		}
		return working.Receiver().Store(args.(StoreArgs), reply.(*StoreReply))
	}
	object := Assignment{Epoch: 1, Primary: n.Self, Change: "one"}
	for _, want := range []WriteResult{WriteApplied, WriteConflict} {
		reply, err := n.store(t.Context(), StoreArgs{Name: "16.3", Object: &object})
		if err != nil || reply.End != want {
			t.Errorf("unexpected end of a write, got %v, %v instead of %v", reply.End, err, want)
		}
	}
	reply, err := n.store(t.Context(), StoreArgs{Name: "16.3"})
	if err != nil || reply.Object != object {
		t.Errorf("unexpected reading, got %v, %v instead of %v", reply.Object, err, object)
	}
}

func TestStoreTellsRefusedFromUnknown(t *testing.T) {
	out := standplatform.NewServer(storeToken)
	n := storeNode(t, "i1", out)
	n.Members = func() []fleet.Member { return nil }
	cases := []struct {
		name   string
		faults standplatform.Faults
		want   WriteResult
	}{
		{"outage", standplatform.Faults{Outage: true}, WriteNotApplied},
		{"lost answer", standplatform.Faults{LoseWrites: 1}, WriteUnknown},
		{"repeated after the lost answer", standplatform.Faults{}, WriteConflict},
	}
	for _, c := range cases {
		out.SetFaults(c.faults)
		reply, err := n.store(t.Context(), StoreArgs{Name: "16.3", Object: &Assignment{Epoch: 1}})
		if err != nil || reply.End != c.want {
			t.Errorf("%s: unexpected end, got %v, %v instead of %v", c.name, reply.End, err, c.want)
		}
	}
}

func TestServeEvict(t *testing.T) {
	n := NewLimiter(Instance{Name: "i1", Incarnation: 5})
	n.Members = func() []fleet.Member {
		return []fleet.Member{{Name: "i1", Incarnation: 5}, {Name: "i2", Peer: "i2", Incarnation: 7}, {Name: "i3", Peer: "i3", Incarnation: 9}}
	}
	n.Call = func(_ context.Context, address, _ string, _, _ any) error {
		if address == "i2" {
			return errors.New("i2 is gone")
		}
		return nil
	}
	k := NewShardManager(n.Self, 1, time.Now())
	n.core.Store(&core{keeper: k, entry: NewGrantClient(1, k.Assignment)})
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
		n.ServeEvict(w, httptest.NewRequestWithContext(t.Context(), "POST", "/evict?instance="+c.name, nil))
		if w.Code != c.status || w.Body.String() != c.body {
			t.Errorf("unexpected answer, got %d %q instead of %d %q", w.Code, w.Body.String(), c.status, c.body)
		}
	}
	if !k.isGone(Instance{Name: "i2", Incarnation: 7}) || k.isGone(Instance{Name: "i2", Incarnation: 8}) {
		t.Errorf("unexpected proof, incarnation 7 of i2 and none after it is gone")
	}
}
