package cell

import (
	"fmt"
	"testing"
	"time"

	"teaselgate/rule"
)

// Replays prompts that arrive shortly after one another in one availability zone. The second one goes to the prefill
// server of its zone, although another zone's is idle, as long as the first token is hardly later for it.
func TestPromptsStayInTheirZoneWhileThatCostsLittle(t *testing.T) {
	for _, test := range []struct {
		tokens int
		want   string
	}{
		{500, "p0"},   // 25 ms of work ahead at the initial rate
		{4000, "p1"},  // 200 ms
		{20000, "p1"}, // 1 s
	} {
		now := clockStart
		c := NewCore(now)
		c.holdingsKnown = true
		prefills := servers("p", 2)
		prefills[1].Zone = "b"
		c.SetServers(now, prefills, servers("d", 1), rule.Pool{Slots: 9, Pieces: 99}, testTargets)
		c.decodes[0].loadKnown = true
		var last Decision
		for n := range 2 {
			now = now.Add(time.Millisecond)
			c.Submit(now, PlaceRequest{
				Key: fmt.Sprint(n), Account: "a", Class: rule.ClassInteractive, PromptTokens: test.tokens, MaxTokens: 10, Zone: "a",
			})
			for _, last = range c.Decide(now) {
				if last.Err != nil {
					t.Fatal(last.Err)
				}
			}
		}
		if last.Prefill != test.want {
			t.Errorf("unexpected server of the second prompt of %d tokens, got %s instead of %s", test.tokens, last.Prefill, test.want)
		}
	}
}
