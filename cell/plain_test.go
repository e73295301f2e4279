package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"teaselgate/rule"
)

// greyBench replays a fleet's part of a plain service: servers that answer in 40 ms, of which some answer a part of the
// requests at once with an error.
type plainSimulation struct {
	plain       *PlainPicker
	now         time.Time
	random      *rand.Rand
	errorShares map[string]float64 // part of the requests that a server fails
}

const (
	plainServers      = 3
	plainInterval     = 50 * time.Millisecond // between the requests of one instance
	plainResponseTime = 40 * time.Millisecond
	plainErrorTime    = 5 * time.Millisecond
	plainErrorShare   = 0.4 // as the users' platform has it
)

func newPlainSimulation(t *testing.T, seed uint64) *plainSimulation {
	text := "- {pool: o, duty: plain, slots: 4}   # test: t\n"
	for n := range plainServers {
		text += fmt.Sprintf("- {server: o%d, pool: o, zone: a, at: \"127.0.0.1:%d\"}   # test: t\n", n, n+1)
	}
	rules := parseRules(t, text)
	b := &plainSimulation{
		plain: NewPlainPicker(func() *rule.Set { return rules }), now: time.Unix(0, 0),
		random: rand.New(rand.NewPCG(seed, 7)), errorShares: make(map[string]float64),
	}
	b.plain.Now = func() time.Time { return b.now }
	b.plain.Random = b.random.IntN
	return b
}

// run sends requests for a time and returns the requests and the errors of each server.
func (b *plainSimulation) run(t *testing.T, length time.Duration) (requests, errors map[string]int) {
	t.Helper()
	requests, errors = make(map[string]int), make(map[string]int)
	for end := b.now.Add(length); b.now.Before(end); b.now = b.now.Add(plainInterval) {
		s, err := b.plain.Pick("o", nil)
		if err != nil {
			t.Fatal(err)
		}
		requests[s.Server]++
		if b.random.Float64() < b.errorShares[s.Server] {
			errors[s.Server]++
			b.plain.RecordResult(s.Server, plainErrorTime, ServerError)
			continue
		}
		b.plain.RecordResult(s.Server, plainResponseTime, Answered)
	}
	return requests, errors
}

func TestPlainPickerSendsLessToServersWithErrors(t *testing.T) {
	for seed := range uint64(10) {
		b := newPlainSimulation(t, seed)
		b.run(t, 5*time.Second)
		b.errorShares["o0"], b.errorShares["o1"] = plainErrorShare, plainErrorShare
		b.run(t, 2*time.Second)
		requests, errors := b.run(t, 8*time.Second)
		sent := requests["o0"] + requests["o1"] + requests["o2"]
		if failed := errors["o0"] + errors["o1"]; float64(failed) > 0.1*float64(sent) {
			t.Errorf("seed %d: unexpected %d of %d requests failed while one of three servers works", seed, failed, sent)
		}
	}
}

// TestAServerThatWorksAgainGetsItsShareBack also asks that the share comes back by steps.
func TestPlainPickerRestoresShareOfRecoveredServerGradually(t *testing.T) {
	for seed := range uint64(10) {
		b := newPlainSimulation(t, seed)
		b.run(t, 5*time.Second)
		b.errorShares["o0"] = 1
		b.run(t, 3*time.Second)
		b.errorShares["o0"] = 0
		first, _ := b.run(t, time.Second)
		if first["o0"] > 5 {
			t.Errorf("seed %d: unexpected %d of 20 requests in the first second", seed, first["o0"])
		}
		b.run(t, 15*time.Second)
		later, _ := b.run(t, 10*time.Second)
		if later["o0"] < 30 {
			t.Errorf("seed %d: unexpected %d of 200 requests after it works again", seed, later["o0"])
		}
	}
}
