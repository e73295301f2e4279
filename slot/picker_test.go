package slot

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"teaselgate/rule"
)

// plainSimulation simulates the requests of one instance to a plain service, whose servers answer in 40 ms. Some
// servers answer a share of the requests with an error at once.
type plainSimulation struct {
	plain       *Picker
	now         time.Time
	random      *rand.Rand
	errorShares map[string]float64 // share of the requests that a server fails
}

const (
	plainServers      = 3
	plainInterval     = 50 * time.Millisecond // between the requests of one instance
	plainResponseTime = 40 * time.Millisecond
	plainErrorTime    = 5 * time.Millisecond
	plainErrorShare   = 0.4 // share of the requests that a faulty server fails, as at the users' sites
)

func newPlainSimulation(t *testing.T, seed uint64) *plainSimulation {
	text := "- {pool: o, duty: plain, slots: 4}   # test: t\n"
	for n := range plainServers {
		text += fmt.Sprintf("- {server: o%d, pool: o, zone: a, at: \"127.0.0.1:%d\"}   # test: t\n", n, n+1)
	}
	rules := parseRules(t, text)
	sim := &plainSimulation{
		plain: NewPicker(func() *rule.Set { return rules }), now: time.Unix(0, 0),
		random: rand.New(rand.NewPCG(seed, 7)), errorShares: make(map[string]float64),
	}
	sim.plain.Now = func() time.Time { return sim.now }
	sim.plain.Random = sim.random.IntN
	return sim
}

// run sends requests for the given time and returns the requests and the errors of each server.
func (sim *plainSimulation) run(t *testing.T, duration time.Duration) (requests, errors map[string]int) {
	t.Helper()
	requests, errors = make(map[string]int), make(map[string]int)
	for end := sim.now.Add(duration); sim.now.Before(end); sim.now = sim.now.Add(plainInterval) {
		s, err := sim.plain.Pick("o", nil)
		if err != nil {
			t.Fatal(err)
		}
		requests[s.Server]++
		if sim.random.Float64() < sim.errorShares[s.Server] {
			errors[s.Server]++
			sim.plain.RecordResult(s.Server, plainErrorTime, ServerError)
			continue
		}
		sim.plain.RecordResult(s.Server, plainResponseTime, Answered)
	}
	return requests, errors
}

func TestPickerSendsLessToServersWithErrors(t *testing.T) {
	for seed := range uint64(10) {
		sim := newPlainSimulation(t, seed)
		sim.run(t, 5*time.Second)
		sim.errorShares["o0"], sim.errorShares["o1"] = plainErrorShare, plainErrorShare
		sim.run(t, 2*time.Second)
		requests, errors := sim.run(t, 8*time.Second)
		sent := requests["o0"] + requests["o1"] + requests["o2"]
		if failed := errors["o0"] + errors["o1"]; float64(failed) > 0.1*float64(sent) {
			t.Errorf("seed %d: unexpected %d of %d requests failed while one of three servers works", seed, failed, sent)
		}
	}
}

// Checks that a server that works again gets its share back, but not at once.
func TestPickerRestoresShareOfRecoveredServerGradually(t *testing.T) {
	for seed := range uint64(10) {
		sim := newPlainSimulation(t, seed)
		sim.run(t, 5*time.Second)
		sim.errorShares["o0"] = 1
		sim.run(t, 3*time.Second)
		sim.errorShares["o0"] = 0
		first, _ := sim.run(t, time.Second)
		if first["o0"] > 5 {
			t.Errorf("seed %d: unexpected %d of 20 requests in the first second", seed, first["o0"])
		}
		sim.run(t, 15*time.Second)
		later, _ := sim.run(t, 10*time.Second)
		if later["o0"] < 30 {
			t.Errorf("seed %d: unexpected %d of 200 requests after it works again", seed, later["o0"])
		}
	}
}

func TestPickerPausesFailedServers(t *testing.T) {
	rules := parseRules(t, "- {pool: o, duty: plain, slots: 4}   # test: t\n"+
		"- {server: o1, pool: o, zone: a, at: \"127.0.0.1:1\"}   # test: t\n"+
		"- {server: o2, pool: o, zone: a, at: \"127.0.0.1:2\"}   # test: t\n")
	now := time.Unix(0, 0)
	p := NewPicker(func() *rule.Set { return rules })
	p.Now = func() time.Time { return now }
	picks := func() map[string]int {
		out := make(map[string]int)
		for range 50 {
			s, err := p.Pick("o", nil)
			if err != nil {
				t.Fatal(err)
			}
			out[s.Server]++
			result := Answered
			if s.Server == "o1" {
				result = Failed
			}
			p.RecordResult(s.Server, time.Millisecond, result)
		}
		return out
	}
	if got := picks(); got["o1"] > 1 {
		t.Errorf("unexpected picks of the failing server, got %v instead of at most 1", got["o1"])
	}
	if got := picks(); got["o1"] != 0 {
		t.Errorf("unexpected picks of the paused server, got %v instead of 0", got["o1"])
	}
	now = now.Add(maxPause + time.Second)
	if got := picks(); got["o1"] != 1 {
		t.Errorf("unexpected trials after the pause, got %v instead of 1", got["o1"])
	}
}

func parseRules(t testing.TB, text string) *rule.Set {
	t.Helper()
	rules, problems := rule.Parse("test.yaml", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return rules
}
