package fleet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"teaselgate/peer"
	"teaselgate/platform"
)

// run runs a test with a network in faked time.
func run(t *testing.T, test func(n *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		n := newNetwork(ctx, t)
		test(n)
		stop()
		for _, r := range n.fleets {
			<-r.done
		}
	})
}

// detection bounds the time until a silent instance is known to be gone.
const detection = probeInterval + 3*probeTimeout + suspectTimeout + 5*time.Second

func wait(d time.Duration) { <-time.After(d) }

func TestSilentInstanceIsGoneAndComesBack(t *testing.T) {
	run(t, func(n *network) {
		fleets := n.startAll(9)
		n.set(func(from, to string) bool { return from == "a4.0.0.0:7000" || to == "a4.0.0.0:7000" }, false)
		wait(detection)
		for i, f := range fleets {
			if i != 4 {
				n.expect(f, "after the cut", 1, Gone)
			}
		}
		n.set(func(string, string) bool { return false }, false)
		wait(detection)
		for _, f := range fleets {
			n.expect(f, "after the cut healed", 9, Live)
		}
	})
}

func TestKilledInstanceIsReplacedByItsNextRun(t *testing.T) {
	run(t, func(n *network) {
		fleets := n.startAll(6)
		n.kill(fleets[2])
		killed := time.Now()
		wait(detection)
		if fleets[0].LastMemberFailure().Before(killed) {
			t.Errorf("unexpected loss at %v instead of after %v", fleets[0].LastMemberFailure(), killed)
		}
		fleets[2] = n.start("a2", 2)
		wait(detection)
		for _, f := range fleets {
			m, err := f.Member("a2")
			if err != nil || m.State != Live || m.Incarnation != 2 {
				t.Errorf("unexpected member at %s, got %v and error %v instead of the second run", f.Self.Name, m, err)
			}
		}
	})
}

func TestSmallerPartOfADividedFleetIsCutOff(t *testing.T) {
	for _, test := range []struct {
		name     string
		outage   bool
		smaller  bool // whether the smaller part counts itself connected
		larger   bool
		smallest int
	}{
		{"platform up", false, true, true, 3},
		{"platform out", true, false, true, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(n *network) {
				fleets := n.startAll(9)
				small := func(address string) bool { return address < "a3" }
				n.set(func(from, to string) bool { return small(from) != small(to) }, test.outage)
				wait(40 * time.Second) // long after the other part is taken for gone
				for _, f := range fleets {
					want := test.larger
					if small(f.Self.Peer) {
						want = test.smaller
					}
					if got := f.Connected(); got != want {
						t.Errorf("unexpected connection of %s, got %v instead of %v", f.Self.Name, got, want)
					}
				}
				n.set(func(string, string) bool { return false }, true)
				wait(20 * time.Second)
				for _, f := range fleets {
					n.expect(f, "after the parts met again without the platform", 9, Live)
					if !f.Connected() {
						t.Errorf("unexpected connection of %s after the parts met, got false instead of true", f.Self.Name)
					}
				}
			})
		})
	}
}

func TestLeavingInstanceIsNotMissed(t *testing.T) {
	run(t, func(n *network) {
		fleets := n.startAll(4)
		leaver := fleets[0]
		leaver.AnnounceLeaving(n.ctx)
		wait(detection)
		for _, f := range fleets[1:] {
			n.expect(f, "while one leaves", 1, Leaving)
		}
		n.set(func(string, string) bool { return false }, true)
		leaver.AnnounceLeft(n.ctx)
		n.kill(leaver)
		wait(20 * time.Second)
		for _, f := range fleets[1:] {
			if !f.LastMemberFailure().IsZero() {
				t.Errorf("unexpected loss at %s: the instance has left", f.Self.Name)
			}
			n.expect(f, "after one left", 1, Left)
			if !f.Connected() {
				t.Errorf("unexpected connection of %s, got false instead of true", f.Self.Name)
			}
		}
		n.set(func(string, string) bool { return false }, false)
		wait(2 * platformPolling)
		for _, f := range fleets[1:] {
			if _, err := f.Member("a0"); err == nil {
				t.Errorf("unexpected member at %s: the platform does not name it any more", f.Self.Name)
			}
		}
	})
}

func TestOneWayCutIsRelayed(t *testing.T) {
	run(t, func(n *network) {
		fleets := n.startAll(6)
		n.set(func(from, to string) bool { return from < "a1" && to >= "a5" }, false)
		wait(3 * detection)
		for _, f := range fleets {
			n.expect(f, "with a cut between two", 0, Gone)
		}
	})
}

// Replays the load of a clock that was set back before an instance started again: peers must believe the new run.
func TestARunOutranksAnEarlierOneWithAHigherNumber(t *testing.T) {
	f := New(Member{Name: "a", Incarnation: 5}, peer.NewPool("secret"))
	if got := f.RaiseIncarnation(9); got != 10 || f.Incarnation() != 10 {
		t.Errorf("unexpected number of the run, got %d instead of 10", got)
	}
	if got := f.RaiseIncarnation(3); got != 10 {
		t.Errorf("unexpected number of the run, got %d although it was higher already", got)
	}
	old := Member{Name: "a", Incarnation: 9, Heartbeat: 100, State: Gone}
	if !f.Members()[0].newer(old) {
		t.Error("peers that hold the earlier run for gone would not believe the new one")
	}
}

// Replays the start of all instances at once while one of the list is gone for good: the first exchange must carry the
// starter's own word, so that all agree at once on who started first.
func TestTheFirstExchangeCarriesTheStartersOwnWord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer stop()
		f := New(Member{Name: "a", Incarnation: 5, Peer: "a:1"}, peer.NewPool("secret"))
		f.Instances = func(context.Context) ([]platform.Instance, error) {
			return []platform.Instance{{Name: "gone", Peer: "gone:1", Incarnation: 1}, {Name: "b", Peer: "b:1", Incarnation: 4}}, nil
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
			t.Error("a peer was not told the starter's own word while another one did not answer")
		}
	})
}

// Replays a roll of all instances while the platform is down: one that starts finds the others by the addresses of the
// settings, of which some are stale or answer later.
func TestAnInstanceThatStartsInAnOutageFindsTheOthers(t *testing.T) {
	run(t, func(n *network) {
		fleets := n.startAll(6)
		cut := func(from, to string) bool { return from == fleets[1].Self.Peer || to == fleets[1].Self.Peer }
		n.set(cut, true)
		n.seeds = []string{"stale:7000", fleets[1].Self.Peer}
		late := n.start("a9", 9)
		wait(3 * time.Second)
		n.expect(late, "while no seed answers", 1, Live)
		n.set(func(string, string) bool { return false }, true)
		wait(2 * lonelyPolling)
		n.expect(late, "when one does", 7, Live)
	})
}

// Replays a roll that is faster than instances end: with all of them leaving, those still do what has to be done.
func TestLeavingInstancesServeWhileNoneIsLive(t *testing.T) {
	run(t, func(n *network) {
		fleets := n.startAll(4)
		for i, f := range fleets[:3] {
			f.AnnounceLeaving(n.ctx)
			wait(time.Second)
			if got := len(fleets[3].Serving()); got != 3-i {
				t.Errorf("unexpected %d serving instances while %d are live", got, 3-i)
			}
		}
		fleets[3].AnnounceLeaving(n.ctx)
		wait(time.Second)
		for _, f := range fleets {
			if got := len(f.Serving()); got != 4 {
				t.Errorf("unexpected %d serving instances at %s while all four are leaving", got, f.Self.Name)
			}
		}
	})
}
