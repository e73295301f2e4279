package cell

import (
	"fmt"
	"testing"
	"time"

	"teaselgate/rule"
)

// unevenCore returns a core with three fast decode servers and one whose steps take longer by a factor.
func unevenCore(t *testing.T, factor float64) *Core {
	t.Helper()
	c := NewCore(clockStart)
	c.SetServers(clockStart, servers("p", 4), servers("d", 4), rule.Pool{Slots: 3, Pieces: 5000, Block: 16, Strict: true},
		Targets{900 * time.Millisecond, 25 * time.Millisecond, 2700 * time.Millisecond})
	for n := range 4 {
		c.RecordHeld(clockStart, fmt.Sprintf("d%d", n), nil)
	}
	for range 40 { // streams of all lengths have shown the speeds
		for n, d := range c.decodes {
			step := 5 * time.Millisecond
			if n == 0 {
				step = time.Duration(factor * float64(step))
			}
			d.steps.observe(clockStart, 1, step)
		}
		factors := make([]float64, 0, len(c.decodes))
		for _, d := range c.decodes {
			factors = append(factors, d.steps.factor)
		}
		c.poolStep.updateTypical(factors)
	}
	for _, d := range c.decodes {
		d.batchLimit = d.steps.limit(d.slots, c.targets.TokenInterval)
	}
	c.demand.meanTokens = 400
	if !c.decodes[0].steps.slow() || c.decodes[1].steps.slow() {
		t.Fatal("the speeds of the servers were not learned")
	}
	return c
}

// A quarter of the servers may be half as fast as the rest. They must serve what the others have no room for, but no long
// stream, and a server that is too slow for its callers must serve nothing.
func TestSlowServersServeShortStreamsThatOthersHaveNoRoomFor(t *testing.T) {
	cases := []struct {
		name   string
		factor float64
		busy   int // requests at the fast servers
		tokens int
		left   time.Duration
		want   string // server; empty if the request waits
	}{
		{"fast ones have room", 2.2, 2, 200, 14 * time.Second, "fast"},
		{"fast ones are full", 2.2, 9, 200, 14 * time.Second, "d0"},
		{"a long stream", 2.2, 9, 900, 14 * time.Second, ""},
		{"little time", 2.2, 9, 200, 2 * time.Second, ""},
		{"much too slow", 12, 9, 200, 14 * time.Second, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c, now := unevenCore(t, test.factor), clockStart.Add(2*time.Second)
			c.decodes[0].steps.lastSample = now
			for n := range test.busy {
				c.Submit(now, PlaceRequest{Key: fmt.Sprint(n), Account: "a", PromptTokens: 100, MaxTokens: 400, Left: 14 * time.Second, Class: rule.ClassPatient})
				c.Decide(now)
				now = now.Add(50 * time.Millisecond)
			}
			c.Submit(now, PlaceRequest{Key: "x", Account: "a", PromptTokens: 100, MaxTokens: test.tokens, Left: test.left, Class: rule.ClassPatient})
			c.Decide(now)
			got := ""
			if r, ok := c.reservations["x"]; ok {
				got = r.decode.server.Server
			}
			if test.want == "fast" && (got == "d1" || got == "d2" || got == "d3") {
				return
			}
			if got != test.want {
				t.Errorf("unexpected server %q instead of %q", got, test.want)
			}
		})
	}
}
