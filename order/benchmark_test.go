package order

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/rule"
	"teaselgate/standin/bubble"
)

// largeRules returns rules of the design size: 12,000 servers for 4 models.
func largeRules(tb testing.TB) *rule.Set {
	tb.Helper()
	const models, servers = 4, 1500
	var b strings.Builder
	b.WriteString("- {fleet: test, shards: 16}  # ops: test\n")
	for m := range models {
		for n, duty := range []string{"prefill", "decode"} {
			fmt.Fprintf(&b, "- {pool: m%d-%s, duty: %s, slots: 20, pieces: 100, fenced: true}  # ops: test\n", m, duty, duty)
			for s := range servers {
				fmt.Fprintf(&b, "- {server: m%d%s%d, pool: m%d-%s, zone: a, at: \"10.%d.%d.%d:80\", state: live}  # ops: test\n",
					m, duty, s, m, duty, 2*m+n, s/250, s%250+1)
			}
		}
		fmt.Fprintf(&b, "- {model: m%d, prefill: m%d-prefill, decode: m%d-decode, place: cell}  # ops: test\n", m, m, m)
	}
	set, problems := rule.Parse("rules", []byte(b.String()))
	if len(problems) > 0 {
		tb.Fatalf("unexpected problems with the rules: %v", problems[:1])
	}
	return set
}

var movedServerRecord = VersionedRecord{
	Version: 1,
	Record:  GroupRecord{Moves: map[string]Move{"m0prefill0": {From: "m0-prefill", Pool: "m0-decode"}}},
}

// BenchmarkApplyUnchanged measures Apply while neither the rules nor the records change.
func BenchmarkApplyUnchanged(b *testing.B) {
	set, f := largeRules(b), &RecordFollower{records: map[string]VersionedRecord{"m0-decode": movedServerRecord}}
	b.ReportAllocs()
	for b.Loop() {
		f.Apply(set)
	}
}

// BenchmarkApplyChanged measures Apply after a change of the rules or of a record.
func BenchmarkApplyChanged(b *testing.B) {
	set, f := largeRules(b), &RecordFollower{records: map[string]VersionedRecord{"m0-decode": movedServerRecord}}
	b.ReportAllocs()
	for b.Loop() {
		f.inputRules = nil
		f.Apply(set)
	}
}

// BenchmarkStep measures one step of the controller of a group of 3,000 engines, without network calls.
func BenchmarkStep(b *testing.B) {
	set := largeRules(b)
	s := newFakeStore()
	client := EngineClient{Load: func(context.Context, string) (engine.LoadReport, error) {
		return engine.LoadReport{SlotsMax: 20, Slots: 10}, nil
	}}
	c := &GroupController{
		Group: "m0-decode", Engines: client, Rules: func() *rule.Set { return set }, Preferred: func() bool { return true },
		Lease:  s.newLease("m0-decode", "a", 0, time.Now),
		Record: func(event.Event) {}, Now: time.Now,
		trends: make(map[string]*trend), loadRetryAfter: make(map[string]time.Time),
	}
	b.ReportAllocs()
	for b.Loop() {
		c.step(b.Context())
	}
}

// The time without a holder after one has failed must not exceed the bound from the timing of the lease.
func TestNextHolderAcquiresLeaseWithinBound(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		env := newTestEnv(t, true, "")
		first := env.newController("a", true)
		first.trends, first.loadRetryAfter = make(map[string]*trend), make(map[string]time.Time)
		first.step(t.Context())
		defer runController(t, env.newController("b", true))()
		start := time.Now()
		for env.countEvents(event.OrderLeaseTaken) < 2 {
			sleep(stepInterval)
		}
		if got, most := time.Since(start), leaseDuration+leaseMargin+2*renewInterval; got > most {
			t.Errorf("unexpected time until the next holder, got %v instead of at most %v", got, most)
		} else {
			t.Logf("next holder after %v", got)
		}
	})
}
