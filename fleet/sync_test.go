package fleet

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"teaselgate/gossip"
	"teaselgate/peer"
)

// An exchange of members carries back only what the caller does not know, since all instances of a fleet exchange members
// when it starts.
func TestSyncRepliesWithNewsOnly(t *testing.T) {
	f := New(Member{Name: "self", Incarnation: 1, Heartbeat: 5}, peer.NewPool(""))
	f.merge([]Member{
		{Name: "same", Incarnation: 1, Heartbeat: 3},
		{Name: "newer", Incarnation: 2},
		{Name: "unknown", Incarnation: 1},
		{Name: "older", Incarnation: 1, Heartbeat: 1},
	})
	var reply SyncReply
	args := SyncArgs{Members: []Member{
		{Name: "same", Incarnation: 1, Heartbeat: 3}, {Name: "newer", Incarnation: 1}, {Name: "older", Incarnation: 1, Heartbeat: 2},
	}}
	if err := f.Receiver().Sync(args, &reply); err != nil {
		t.Fatal(err)
	}
	names := make([]string, 0, len(reply.Members))
	for _, m := range reply.Members {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	if want := []string{"newer", "self", "unknown"}; !slices.Equal(names, want) {
		t.Errorf("unexpected members in the reply, got %v instead of %v", names, want)
	}
	if m, err := f.Member("older"); err != nil || m.Heartbeat != 2 {
		t.Errorf("the caller's update was not merged: %+v, error %v", m, err)
	}
}

// The members that an instance moves when a large fleet starts must not grow with the square of the fleet's size.
func TestInstanceOfALargeFleetExchangesMembersWithFewPeers(t *testing.T) {
	const size = 195
	f := New(Member{Name: "self", Incarnation: 1}, peer.NewPool(""))
	calls := make(chan string, size)
	f.Call = func(_ context.Context, address, method string, _, _ any) error {
		if method == RPCName+".Sync" {
			calls <- address
		}
		return nil
	}
	for n := range size {
		f.merge([]Member{{Name: fmt.Sprint(n), Peer: fmt.Sprint(n), Incarnation: 1}})
	}
	f.syncPeers(t.Context())
	if len(calls) != largeSyncPeers {
		t.Errorf("members exchanged with %d peers instead of %d", len(calls), largeSyncPeers)
	}
}

// An exchange of members moves those that differ, in both directions, whatever the size of the fleet.
func TestExchangeMovesMembersThatDiffer(t *testing.T) {
	for _, size := range []int{67, 300, 1000} {
		own, other := New(Member{Name: "own", Incarnation: 1}, peer.NewPool("")), New(Member{Name: "other", Incarnation: 1}, peer.NewPool(""))
		for n := range size {
			m := Member{Name: fmt.Sprintf("front-south-a-%d", n), Zone: "south-a", Peer: "10.1.0.1:8405", Admin: "10.1.0.1:9100", Incarnation: 1}
			own.merge([]Member{m})
			other.merge([]Member{m})
		}
		own.merge([]Member{{Name: "front-south-a-3", Incarnation: 1, State: Leaving}, {Name: "only-own", Incarnation: 1}})
		other.merge([]Member{{Name: "front-south-a-9", Incarnation: 2}, {Name: "only-other", Incarnation: 1}})
		moved := 0
		own.Call = func(_ context.Context, _, _ string, args, reply any) error {
			a, r := args.(SyncArgs), reply.(*SyncReply)
			err := other.Receiver().Sync(a, r)
			moved += len(a.Members) + len(r.Members)
			return err
		}
		own.syncWith(t.Context(), "other")
		for name, want := range map[string]Member{
			"front-south-a-3": {Incarnation: 1, State: Leaving}, "front-south-a-9": {Incarnation: 2}, "only-own": {Incarnation: 1}, "only-other": {Incarnation: 1},
		} {
			for _, f := range []*Fleet{own, other} {
				if m, err := f.Member(name); err != nil || m.Incarnation != want.Incarnation || m.State != want.State {
					t.Errorf("%d instances: %s knows %+v of %s, error %v", size, f.Self.Name, m, name, err)
				}
			}
		}
		if most := 16 + 2*8*(size/gossip.Groups+1); moved > most { // six groups differ, each of a 64th of the fleet
			t.Errorf("%d members moved in a fleet of %d, more than %d", moved, size, most)
		}
		t.Logf("%d members moved in a fleet of %d", moved, size)
	}
}
