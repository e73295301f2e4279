package config

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"teaselgate/platform"
	"teaselgate/standin/bubble"
)

// runInSimulation runs a test in fake time on a simulated fleet whose first revision is in force at every instance. It
// fails the test for each violation.
func runInSimulation(t *testing.T, test func(t *testing.T, s *simulation, o *operators)) {
	bubble.Test(t, func(t *testing.T) {
		s := newSimulation()
		o := &operators{simulation: s}
		o.apply(simulatedRules(1, 7), nil)
		o.running.Wait()
		for _, instance := range s.instances {
			s.startInstance(instance)
		}
		sleep(3 * heartbeatInterval)
		test(t, s, o)
		o.running.Wait()
		for _, instance := range s.instances {
			s.killInstance(instance)
		}
		for _, violation := range s.violations {
			t.Error(violation)
		}
	})
}

func expectRevision(t *testing.T, instance *simulatedInstance, want uint64) {
	t.Helper()
	got := uint64(0)
	if current := currentRevision(instance.runningFollower()); current != nil {
		got = current.Number
	}
	if got != want {
		t.Errorf("unexpected revision in force at instance %d, got %d instead of %d", instance.index, got, want)
	}
}

func TestFollowerPollsWhenWatchesStall(t *testing.T) {
	runInSimulation(t, func(t *testing.T, s *simulation, o *operators) {
		for _, instance := range s.instances {
			instance.link.stallPendingCalls()
		}
		o.apply(simulatedRules(1, 6), nil)
		sleep(maxResponseAgeRelayed + pollTimeout + pollInterval)
		for _, instance := range s.instances {
			expectRevision(t, instance, 2)
		}
	})
}

func TestPeersRelayRevisionToInstanceCutOffFromPlatform(t *testing.T) {
	runInSimulation(t, func(t *testing.T, s *simulation, o *operators) {
		s.instances[0].link.setCut(true)
		s.instances[3].link.setCut(true)
		o.apply(simulatedRules(1, 6), nil)
		sleep(2 * heartbeatInterval)
		for _, instance := range s.instances {
			expectRevision(t, instance, 2)
		}
	})
}

func TestStartDuringOutageNeedsHalfOfThePeers(t *testing.T) {
	runInSimulation(t, func(t *testing.T, s *simulation, o *operators) {
		o.apply(simulatedRules(1, 6), nil)
		sleep(5 * heartbeatInterval)
		s.setFaults(func(f *platformFaults) { f.outage = true })
		instance := s.instances[3]
		s.killInstance(instance)
		s.setPairCut(3, 0, true)
		s.setPairCut(3, 1, true)
		s.startInstance(instance)
		sleep(20 * heartbeatInterval)
		expectRevision(t, instance, 0)
		s.setPairCut(3, 1, false)
		sleep(2 * heartbeatInterval)
		expectRevision(t, instance, 2)
	})
}

func TestFollowerVerifiesStepWithoutDeltasAmongOthers(t *testing.T) {
	runInSimulation(t, func(t *testing.T, s *simulation, o *operators) {
		lagging := s.instances[2]
		lagging.link.setCut(true)
		for _, instance := range s.instances {
			s.setPairCut(2, instance.index, true)
		}
		for i, kind := range []string{"edit", "bulk edit", "edit", "key"} {
			o.applyEdit(action{kind: kind, target: i % simulatedPools, value: i + 3})
			o.running.Wait()
		}
		expectRevision(t, lagging, 1)
		s.setPairCut(2, 0, false)
		sleep(3 * heartbeatInterval)
		expectRevision(t, lagging, 5)
	})
}

// writeForgedHead modifies the newest head and writes it without the checks of Writer.
func writeForgedHead(t *testing.T, client *platform.Client, modify func(h *Head)) {
	t.Helper()
	object, head, err := readHead(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	modify(&head)
	encoded, err := encodeHead(head, "forger")
	if err != nil {
		t.Fatal(err)
	}
	if err := storePart(t.Context(), client, encoded); err != nil {
		t.Fatal(err)
	}
	pointer := headPointer{head.Revision, head.Change, encoded.name}
	if _, err := client.Update(t.Context(), HeadKind, HeadName, object.Version, pointer); err != nil {
		t.Fatal(err)
	}
}

func TestFollowerRejectsForgedRevisions(t *testing.T) {
	first := guardedRules(accountLine("a", 1))
	withKey := first + keyLine("stolen", "a")
	for _, c := range []struct {
		name  string
		forge func(t *testing.T, client *platform.Client, current *Revision)
		want  string
	}{
		{"missing signature", func(t *testing.T, client *platform.Client, current *Revision) {
			plan, err := current.plan(mustParse(t, withKey), "olga", nil)
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
			writeForgedHead(t, client, func(h *Head) { *h = next.revision.head })
		}, `the signature of operator "olga" is missing`},
		{"parts that differ from the result of the step", func(t *testing.T, client *platform.Client, current *Revision) {
			plan, err := current.plan(mustParse(t, first+poolLine("p", 1)), "x", nil)
			if err != nil {
				t.Fatal(err)
			}
			step := plan.step
			step.Revision = 2
			writeForgedHead(t, client, func(h *Head) {
				h.Revision, h.Change, h.Log = 2, step.Change, append(h.Log, step)
			})
		}, "does not match the result of its steps"},
		{"repeated change", func(_ *testing.T, client *platform.Client, current *Revision) {
			writeForgedHead(t, client, func(h *Head) {
				step := h.Log[0]
				step.Revision = 2
				h.Revision, h.Log = 2, append(h.Log, step)
			})
		}, "was already accepted"},
	} {
		client := newPlatformClient(newPlatformStandIn(), neverCut)
		mustApply(t, client, ChangeRequest{Rules: mustParse(t, first)})
		f := NewFollower(client)
		if err := f.readOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
		c.forge(t, client, f.Current())
		if err := f.readOnce(t.Context()); err != nil {
			t.Fatal(err)
		}
		if f.Current().Number != 1 {
			t.Errorf("%s: unexpected revision %d in force instead of 1", c.name, f.Current().Number)
		}
		if r := f.Status().Rejected; r == nil || !strings.Contains(r.Reason, c.want) {
			t.Errorf("%s: unexpected rejection, got %+v instead of %s", c.name, r, c.want)
		}
	}
}

func TestFollowerRejectsTamperedPart(t *testing.T) {
	client := newPlatformClient(newPlatformStandIn(), neverCut)
	mustApply(t, client, ChangeRequest{Rules: mustParse(t, poolLine("p", 1))})
	_, head, err := readHead(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	object, err := client.Get(t.Context(), PartKind, head.Parts[0])
	if err != nil {
		t.Fatal(err)
	}
	tampered, err := compressPart([]byte(`[]`))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Update(t.Context(), PartKind, head.Parts[0], object.Version, tampered); err != nil {
		t.Fatal(err)
	}
	f := NewFollower(client)
	if err := f.readOnce(t.Context()); err != nil || f.Current() != nil {
		t.Errorf("unexpected revision or error for a tampered part, got %v %v instead of none", f.Current(), err)
	}
}

func TestApplyRemovesRetiredParts(t *testing.T) {
	client := newPlatformClient(newPlatformStandIn(), neverCut)
	for i := range 12 {
		mustApply(t, client, ChangeRequest{Rules: mustParse(t, poolLine("p", i+1))})
	}
	list, err := client.List(t.Context(), PartKind)
	if err != nil {
		t.Fatal(err)
	}
	// Each revision has one part for its rules and one for its head.
	if limit := 2 * (1 + partRetentionRevisions + 1); len(list.Objects) > limit {
		t.Errorf("unexpected number of parts, got %d instead of at most %d", len(list.Objects), limit)
	}
	_, head, err := readHead(t.Context(), client)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := loadRevision(context.Background(), head, nil, newPlatformPartReader(client)); err != nil {
		t.Errorf("unexpected error when loading the newest revision: %v", err)
	}
	if text, err := json.Marshal(head); err != nil || len(text) > 32<<10 {
		t.Errorf("unexpected size of the head, got %d bytes instead of at most 32 KiB, error %v", len(text), err)
	}
}
