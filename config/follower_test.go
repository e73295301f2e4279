package config

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"

	"teaselgate/platform"
)

// inWorld runs a test in a small fleet whose first revision is in force, in fake time.
func inWorld(t *testing.T, play func(t *testing.T, w *world, o *operators)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		o := &operators{world: w}
		o.apply(worldRules(1, 7), nil)
		o.running.Wait()
		for _, n := range w.nodes {
			w.start(n)
		}
		rest(3 * heartbeat)
		play(t, w, o)
		o.running.Wait()
		for _, n := range w.nodes {
			w.kill(n)
		}
		for _, fault := range w.faultsOf {
			t.Error(fault)
		}
	})
}

func expectRevision(t *testing.T, n *node, want uint64) {
	t.Helper()
	got := uint64(0)
	if current := currentOf(n.running()); current != nil {
		got = current.Number
	}
	if got != want {
		t.Errorf("unexpected revision in force at instance %d, got %d instead of %d", n.index, got, want)
	}
}

func TestSilentWatchesHideAChangeForSecondsOnly(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, o *operators) {
		for _, n := range w.nodes {
			n.link.silence()
		}
		o.apply(worldRules(1, 6), nil)
		rest(relayedPolling + pulseTimeout + pulse)
		for _, n := range w.nodes {
			expectRevision(t, n, 2)
		}
	})
}

func TestPeersRelayToAnInstanceThatIsCutOffFromThePlatform(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, o *operators) {
		w.nodes[0].link.set(true)
		w.nodes[3].link.set(true)
		o.apply(worldRules(1, 6), nil)
		rest(2 * heartbeat)
		for _, n := range w.nodes {
			expectRevision(t, n, 2)
		}
	})
}

func TestStartDuringAnOutageNeedsHalfOfThePeers(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, o *operators) {
		o.apply(worldRules(1, 6), nil)
		rest(5 * heartbeat)
		w.set(func(f *worldFaults) { f.outage = true })
		n := w.nodes[3]
		w.kill(n)
		w.setPair(3, 0, true)
		w.setPair(3, 1, true)
		w.start(n)
		rest(20 * heartbeat)
		expectRevision(t, n, 0)
		w.setPair(3, 1, false)
		rest(2 * heartbeat)
		expectRevision(t, n, 2)
	})
}

func TestBulkChangeAmongSmallOnesIsVerifiedAndPutInForce(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world, o *operators) {
		late := w.nodes[2]
		late.link.set(true)
		for _, n := range w.nodes {
			w.setPair(2, n.index, true)
		}
		for i, kind := range []string{"edit", "bulk", "edit", "key"} {
			o.change(act{kind: kind, line: i % worldPools, value: i + 3})
			o.running.Wait()
		}
		expectRevision(t, late, 1)
		w.setPair(2, 0, false)
		rest(3 * heartbeat)
		expectRevision(t, late, 5)
	})
}

// forge writes a head past the writer's checks.
func forge(t *testing.T, client *platform.Client, change func(h *Head)) {
	t.Helper()
	o, head, err := readHead(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	change(&head)
	stored, err := headPart(head, "forger")
	if err != nil {
		t.Fatal(err)
	}
	if err := storePart(t.Context(), client, stored); err != nil {
		t.Fatal(err)
	}
	at := pointer{head.Revision, head.Change, stored.name}
	if _, err := client.Update(t.Context(), HeadKind, HeadName, o.Version, at); err != nil {
		t.Fatal(err)
	}
}

func TestInstancesRefuseForgedRevisions(t *testing.T) {
	first := guardedRules(accountLine("a", 1))
	withKey := first + keyLine("stolen", "a")
	for _, c := range []struct {
		name   string
		change func(t *testing.T, client *platform.Client, current *Revision)
		want   string
	}{
		{"without signature", func(t *testing.T, client *platform.Client, current *Revision) {
			plan, err := current.plan(parse(t, withKey), "olga", nil)
			if err != nil {
				t.Fatal(err)
			}
			step := plan.step
			step.Revision = 2
			next, err := current.advance(step, plan.Differences, "forger")
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range next.parts {
				if err := storePart(t.Context(), client, p); err != nil {
					t.Fatal(err)
				}
			}
			forge(t, client, func(h *Head) { *h = next.revision.head })
		}, "the signature of operator \"olga\" is missing"},
		{"other parts than the step", func(t *testing.T, client *platform.Client, current *Revision) {
			plan, err := current.plan(parse(t, first+poolLine("p", 1)), "x", nil)
			if err != nil {
				t.Fatal(err)
			}
			step := plan.step
			step.Revision = 2
			forge(t, client, func(h *Head) {
				h.Revision, h.Change, h.Log = 2, step.Change, append(h.Log, step)
			})
		}, "is not what its steps lead to"},
		{"an old change again", func(_ *testing.T, client *platform.Client, current *Revision) {
			forge(t, client, func(h *Head) {
				step := h.Log[0]
				step.Revision = 2
				h.Revision, h.Log = 2, append(h.Log, step)
			})
		}, "was already accepted"},
	} {
		client := newClient(newStandin(), connected)
		mustApply(t, client, ChangeRequest{Rules: parse(t, first)})
		f := NewFollower(client)
		if err := f.readOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
		c.change(t, client, f.Current())
		if err := f.readOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
		if f.Current().Number != 1 {
			t.Errorf("%s: unexpected revision %d in force instead of 1", c.name, f.Current().Number)
		}
		if r := f.Status().Rejected; r == nil || !strings.Contains(r.Reason, c.want) {
			t.Errorf("%s: unexpected reason, got %+v instead of %s", c.name, r, c.want)
		}
	}
}

func TestTamperedPartIsRefused(t *testing.T) {
	client := newClient(newStandin(), connected)
	mustApply(t, client, ChangeRequest{Rules: parse(t, poolLine("p", 1))})
	_, head, err := readHead(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	o, err := client.Get(t.Context(), PartKind, head.Parts[0])
	if err != nil {
		t.Fatal(err)
	}
	bad, err := compress([]byte(`[]`))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Update(t.Context(), PartKind, head.Parts[0], o.Version, bad); err != nil {
		t.Fatal(err)
	}
	f := NewFollower(client)
	if err := f.readOnce(t.Context()); err != nil || f.Current() != nil {
		t.Errorf("unexpected revision of a tampered part: %v %v", f.Current(), err)
	}
}

func TestOldPartsAreRemoved(t *testing.T) {
	client := newClient(newStandin(), connected)
	for i := range 12 {
		mustApply(t, client, ChangeRequest{Rules: parse(t, poolLine("p", i+1))})
	}
	list, err := client.List(t.Context(), PartKind)
	if err != nil {
		t.Fatal(err)
	}
	if most := 2 * (1 + retiredRevisions + 1); len(list.Objects) > most { // a part and a head of each revision
		t.Errorf("unexpected number of parts, got %d instead of at most %d", len(list.Objects), most)
	}
	_, head, err := readHead(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := load(context.Background(), head, nil, fromPlatform(client)); err != nil {
		t.Errorf("unexpected error of the newest revision: %v", err)
	}
	if text, err := json.Marshal(head); err != nil || len(text) > 32<<10 {
		t.Errorf("unexpected size of the head: %d bytes, %v", len(text), err)
	}
}
