package order

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"teaselgate/engine"
	"teaselgate/event"
	"teaselgate/rule"
)

// largeRules has the servers of the size to design for: 12,000 in 4 models.
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
		tb.Fatalf("unexpected problems %v", problems[:1])
	}
	return set
}

var oneMove = VersionedRecord{Version: 1, Record: GroupRecord{Moves: map[string]Move{"m0prefill0": {From: "m0-prefill", Pool: "m0-decode"}}}}

// BenchmarkApplyKept measures what each use of the rules costs while nothing changes.
func BenchmarkApplyKept(b *testing.B) {
	set, f := largeRules(b), &RecordFollower{records: map[string]VersionedRecord{"m0-decode": oneMove}}
	b.ReportAllocs()
	for b.Loop() {
		f.Apply(set)
	}
}

// BenchmarkApplyChanged measures what a change of a record or of the rules costs.
func BenchmarkApplyChanged(b *testing.B) {
	set, f := largeRules(b), &RecordFollower{records: map[string]VersionedRecord{"m0-decode": oneMove}}
	b.ReportAllocs()
	for b.Loop() {
		f.input = nil
		f.Apply(set)
	}
}

// BenchmarkStep measures a second's work of the holder of one group of 3,000 engines, without the network.
func BenchmarkStep(b *testing.B) {
	set := largeRules(b)
	s := newStore()
	calls := EngineClient{Load: func(context.Context, string) (engine.LoadReport, error) {
		return engine.LoadReport{SlotsMax: 20, Slots: 10}, nil
	}}
	h := &GroupController{
		Group: "m0-decode", Engines: calls, Rules: func() *rule.Set { return set }, Preferred: func() bool { return true },
		Lease:  s.lease("m0-decode", "a", 0, time.Now),
		Record: func(event.Event) {}, Now: time.Now, trends: make(map[string]*trend), skip: make(map[string]time.Time),
	}
	b.ReportAllocs()
	for b.Loop() {
		h.step(b.Context())
	}
}

// TestTakeOverTime bounds the time without a holder after one has vanished, by the lease's times.
func TestTakeOverTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, true, "")
		first := s.holder("a", true)
		first.trends, first.skip = make(map[string]*trend), make(map[string]time.Time)
		first.step(t.Context())
		defer run(t, s.holder("b", true))()
		start := time.Now()
		for s.count(event.OrderLeaseTaken) < 2 {
			wait(stepInterval)
		}
		if got, most := time.Since(start), leaseLife+leaseMargin+2*renewInterval; got > most {
			t.Errorf("unexpected time until the next holder, got %v instead of at most %v", got, most)
		} else {
			t.Logf("next holder after %v", got)
		}
	})
}
