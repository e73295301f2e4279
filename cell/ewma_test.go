package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"teaselgate/rule"
)

// simulateLatencies sends requests in virtual time to ten servers, one of which answers in 50 ms instead of 5 ms: ten
// clients send 100 requests each, one every 100 ms. It returns the sorted latencies. The setting follows the
// heterogeneous case of the ns-3 study of Envoy's load balancers (rroblak/envoy-peak-ewma).
func simulateLatencies(t *testing.T, policy rule.PlacementPolicy, seed uint64) []time.Duration {
	t.Helper()
	text := "- {pool: p, duty: prefill, slots: 1}   # test: t\n- {pool: d, duty: decode, slots: 1, pieces: 1}   # test: t\n" +
		"- {server: d0, pool: d, zone: a, at: \"127.0.0.1:1\"}   # test: t\n"
	for i := range 10 {
		text += fmt.Sprintf("- {server: s%d, pool: p, zone: a, at: \"127.0.0.1:%d\"}   # test: t\n", i, 100+i)
	}
	rules := parseRules(t, text)
	random := rand.New(rand.NewPCG(seed, 1))
	now := time.Unix(0, 0)
	placer := NewLocalPlacer(func() *rule.Set { return rules })
	placer.Now = func() time.Time { return now }
	placer.Random = random.IntN
	model := rule.Model{Prefill: "p", Decode: "d", Place: policy}
	type running struct {
		end       time.Time
		placement *Placement
	}
	var active []running
	out := make([]time.Duration, 0, 1000)
	finishUntil := func(until time.Time) {
		slices.SortFunc(active, func(a, b running) int { return a.end.Compare(b.end) })
		for len(active) > 0 && !active[0].end.After(until) {
			now = active[0].end
			active[0].placement.Release(Report{Prefilled: now, Ended: now})
			active = active[1:]
		}
		now = until
	}
	freeAt := make(map[string]time.Time)
	for n := range 1000 {
		finishUntil(time.Unix(0, 0).Add(time.Duration(n)*10*time.Millisecond + time.Duration(random.IntN(5000))*time.Microsecond))
		p, err := placer.Place(t.Context(), Request{Model: model})
		if err != nil {
			t.Fatal(err)
		}
		serviceTime := 5 * time.Millisecond
		if p.Prefill.Server == "s3" {
			serviceTime = 50 * time.Millisecond
		}
		start := now
		if freeAt[p.Prefill.Server].After(start) {
			start = freeAt[p.Prefill.Server]
		}
		end := start.Add(serviceTime)
		freeAt[p.Prefill.Server] = end
		active = append(active, running{end, p})
		out = append(out, end.Sub(now))
	}
	slices.Sort(out)
	return out
}

func parseRules(t testing.TB, text string) *rule.Set {
	t.Helper()
	rules, problems := rule.Parse("test.yaml", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return rules
}

func TestPeakEWMAAvoidsSlowServer(t *testing.T) {
	for seed := range uint64(5) {
		ewma := simulateLatencies(t, rule.PlacementEWMA, seed)
		robin := simulateLatencies(t, rule.PlacementRoundRobin, seed)
		if got := ewma[len(ewma)*95/100]; got > 10*time.Millisecond {
			t.Errorf("unexpected p95 %v with ewma and seed %d instead of at most 10ms", got, seed)
		}
		if got := robin[len(robin)*95/100]; got < 50*time.Millisecond {
			t.Errorf("unexpected p95 %v with round robin and seed %d instead of at least 50ms", got, seed)
		}
		t.Logf("seed %d: ewma p95 %v p99 %v, round robin p95 %v p99 %v", seed,
			ewma[950], ewma[990], robin[950], robin[990])
	}
}
