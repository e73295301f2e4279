package fleet

import (
	"context"
	"fmt"
	"slices"
	"testing"

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
