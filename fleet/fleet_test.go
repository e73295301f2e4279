package fleet

import (
	"context"
	"testing"
	"time"

	"teaselgate/peer"
	"teaselgate/platform"
	"teaselgate/standin/bubble"
)

// runNetwork runs a test with a network in fake time, and then stops all instances.
func runNetwork(t *testing.T, test func(n *fakeNetwork)) {
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		n := newFakeNetwork(ctx, t)
		test(n)
		stop()
		for _, r := range n.fleets {
			<-r.done
		}
	})
}

// detectionTime bounds the time until all instances know that one no longer responds.
const detectionTime = probeInterval + 3*probeTimeout + suspectTimeout + 5*time.Second

// sleep waits in the fake time of a test.
func sleep(d time.Duration) { <-time.After(d) }

func TestUnreachableInstanceIsGoneUntilItResponds(t *testing.T) {
	runNetwork(t, func(n *fakeNetwork) {
		fleets := n.startAll(9)
		n.setFaults(func(from, to string) bool { return from == "a4.0.0.0:7000" || to == "a4.0.0.0:7000" }, false)
		sleep(detectionTime)
		for i, f := range fleets {
			if i != 4 {
				n.expectMembers(f, "after the cut", 1, Gone)
			}
		}
		n.setFaults(func(string, string) bool { return false }, false)
		sleep(detectionTime)
		for _, f := range fleets {
			n.expectMembers(f, "after the cut healed", 9, Live)
		}
	})
}

func TestRestartedInstanceReplacesKilledOne(t *testing.T) {
	runNetwork(t, func(n *fakeNetwork) {
		fleets := n.startAll(6)
		n.kill(fleets[2])
		killed := time.Now()
		sleep(detectionTime)
		if fleets[0].LastMemberFailure().Before(killed) {
			t.Errorf("unexpected time of the last member failure, got %v instead of after %v",
				fleets[0].LastMemberFailure(), killed)
		}
		fleets[2] = n.start("a2", 2)
		sleep(detectionTime)
		for _, f := range fleets {
			m, err := f.Member("a2")
			if err != nil || m.State != Live || m.Incarnation != 2 {
				t.Errorf("unexpected member at %s, got %v and error %v instead of incarnation 2", f.Self.Name, m, err)
			}
		}
	})
}

func TestMinorityOfPartitionedFleetNeedsStoreToBeConnected(t *testing.T) {
	for _, test := range []struct {
		name             string
		outage           bool
		smallerConnected bool // whether the smaller part is connected
		largerConnected  bool // whether the larger part is connected
		smallest         int
	}{
		{"platform store up", false, true, true, 3},
		{"platform store down", true, false, true, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			runNetwork(t, func(n *fakeNetwork) {
				fleets := n.startAll(9)
				small := func(address string) bool { return address < "a3" }
				n.setFaults(func(from, to string) bool { return small(from) != small(to) }, test.outage)
				sleep(40 * time.Second) // well past the time when each part sees the other as gone
				for _, f := range fleets {
					want := test.largerConnected
					if small(f.Self.Peer) {
						want = test.smallerConnected
					}
					if got := f.Connected(); got != want {
						t.Errorf("unexpected result of Connected at %s, got %v instead of %v", f.Self.Name, got, want)
					}
				}
				n.setFaults(func(string, string) bool { return false }, true)
				sleep(20 * time.Second)
				for _, f := range fleets {
					n.expectMembers(f, "after the partition healed without the platform store", 9, Live)
					if !f.Connected() {
						t.Errorf("unexpected result of Connected at %s after the partition healed, got false instead of true",
							f.Self.Name)
					}
				}
			})
		})
	}
}

func TestLeavingInstanceIsNoMemberFailure(t *testing.T) {
	runNetwork(t, func(n *fakeNetwork) {
		fleets := n.startAll(4)
		leaver := fleets[0]
		leaver.AnnounceLeaving(n.ctx)
		sleep(detectionTime)
		for _, f := range fleets[1:] {
			n.expectMembers(f, "while one leaves", 1, Leaving)
		}
		n.setFaults(func(string, string) bool { return false }, true)
		leaver.AnnounceLeft(n.ctx)
		n.kill(leaver)
		sleep(20 * time.Second)
		for _, f := range fleets[1:] {
			if !f.LastMemberFailure().IsZero() {
				t.Errorf("unexpected member failure at %s: the instance has left", f.Self.Name)
			}
			n.expectMembers(f, "after one left", 1, Left)
			if !f.Connected() {
				t.Errorf("unexpected result of Connected at %s, got false instead of true", f.Self.Name)
			}
		}
		n.setFaults(func(string, string) bool { return false }, false)
		sleep(2 * platformPollInterval)
		for _, f := range fleets[1:] {
			if _, err := f.Member("a0"); err == nil {
				t.Errorf("unexpected member at %s: the platform store no longer lists it", f.Self.Name)
			}
		}
	})
}

func TestPeersRelayProbesAcrossOneWayCut(t *testing.T) {
	runNetwork(t, func(n *fakeNetwork) {
		fleets := n.startAll(6)
		n.setFaults(func(from, to string) bool { return from < "a1" && to >= "a5" }, false)
		sleep(3 * detectionTime)
		for _, f := range fleets {
			n.expectMembers(f, "with calls cut from one to another", 0, Gone)
		}
	})
}

// A restarted instance whose clock was set back has a lower incarnation than before. It must raise it, so that peers do
// not take its updates for outdated ones.
func TestRaiseIncarnationSupersedesEarlierRun(t *testing.T) {
	f := New(Member{Name: "a", Incarnation: 5}, peer.NewPool("secret"))
	if got := f.RaiseIncarnation(9); got != 10 || f.Incarnation() != 10 {
		t.Errorf("unexpected incarnation, got %d instead of 10", got)
	}
	if got := f.RaiseIncarnation(3); got != 10 {
		t.Errorf("unexpected incarnation, got %d instead of the higher 10", got)
	}
	old := Member{Name: "a", Incarnation: 9, Heartbeat: 100, State: Gone}
	if !f.Members()[0].supersedes(old) {
		t.Error("update of the new run does not supersede the state gone of the earlier run")
	}
}

// All instances start at once while the store still lists one that is gone. The first exchanges must already carry an
// update by the starting instance itself, so that all agree on the order in which they started.
func TestFirstSyncCarriesUpdateBySelf(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer stop()
		f := New(Member{Name: "a", Incarnation: 5, Peer: "a:1"}, peer.NewPool("secret"))
		f.Instances = func(context.Context) ([]platform.Instance, error) {
			return []platform.Instance{
				{Name: "gone", Peer: "gone:1", Incarnation: 1}, {Name: "b", Peer: "b:1", Incarnation: 4},
			}, nil
		}
		var heartbeat uint64
		f.Call = func(ctx context.Context, address, _ string, args, _ any) error {
			if address == "gone:1" {
				<-ctx.Done()
				return ctx.Err()
			}
			for _, m := range args.(SyncArgs).Members {
				if m.Name == "a" {
					heartbeat = m.Heartbeat
				}
			}
			return nil
		}
		f.join(ctx)
		if heartbeat == 0 {
			t.Error("peer got no update by the starting instance itself while another peer did not respond")
		}
	})
}

// During a rolling restart while the platform store is down, a starting instance must find the others by the seeds in
// its settings, though some seeds are stale or respond only later.
func TestInstanceFindsPeersBySeedsDuringOutage(t *testing.T) {
	runNetwork(t, func(n *fakeNetwork) {
		fleets := n.startAll(6)
		cut := func(from, to string) bool { return from == fleets[1].Self.Peer || to == fleets[1].Self.Peer }
		n.setFaults(cut, true)
		n.seeds = []string{"stale:7000", fleets[1].Self.Peer}
		late := n.start("a9", 9)
		sleep(3 * time.Second)
		n.expectMembers(late, "while no seed responds", 1, Live)
		n.setFaults(func(string, string) bool { return false }, true)
		sleep(2 * isolatedPollInterval)
		if got := len(late.Members()); got != 7 {
			t.Errorf("unexpected number of members after one seed responds, got %d at %s instead of 7", got, late.Self.Name)
		}
		sleep(detectionTime) // for the others to refute what the seed suspected while it was cut off
		n.expectMembers(late, "after one seed responds", 7, Live)
	})
}

// When a rolling restart outpaces the drain of requests, all instances are leaving and must still serve.
func TestLeavingInstancesServeWhileNoneIsLive(t *testing.T) {
	runNetwork(t, func(n *fakeNetwork) {
		fleets := n.startAll(4)
		for i, f := range fleets[:3] {
			f.AnnounceLeaving(n.ctx)
			sleep(time.Second)
			if got := len(fleets[3].Serving()); got != 3-i {
				t.Errorf("unexpected number of serving instances, got %d while %d are live", got, 3-i)
			}
		}
		fleets[3].AnnounceLeaving(n.ctx)
		sleep(time.Second)
		for _, f := range fleets {
			if got := len(f.Serving()); got != 4 {
				t.Errorf("unexpected number of serving instances, got %d at %s while all four are leaving", got, f.Self.Name)
			}
		}
	})
}
