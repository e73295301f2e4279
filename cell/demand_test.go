package cell

import (
	"fmt"
	"testing"
	"time"

	"teaselgate/rule"
)

// Replays the beginning of a burst: prompts come at once, while the memory that their answers need fills only as long
// as the first of them last. The demand of the stages must not look as if prompts were what is short.
func TestDemandIncludesDecodeAtBurstStart(t *testing.T) {
	const (
		interval = 40 * time.Millisecond
		prompt   = 30 * time.Millisecond
		stream   = 1500 * time.Millisecond
	)
	c := NewCore(clockStart)
	c.SetServers(clockStart, servers("p", 4), servers("d", 4), rule.Pool{Slots: 40, Pieces: 4000}, testTargets)
	for n := range 4 {
		c.RecordHeld(clockStart, fmt.Sprintf("d%d", n), nil)
	}
	type running struct {
		key string
		end instant
	}
	var streams []running
	ratio := func(now instant) float64 {
		d := c.Demand(now)
		return d.Decode / d.Prefill
	}
	var early float64
	now := clockStart
	for n := range 500 {
		now = now.Add(interval)
		for len(streams) > 0 && !streams[0].end.After(now) {
			epoch := time.Unix(0, 0)
			c.Release(now, streams[0].key, Report{
				Placed: epoch, Prefilled: epoch.Add(prompt), Imported: epoch.Add(2 * prompt),
				Ended: epoch.Add(2*prompt + stream), Generated: 96,
			})
			streams = streams[1:]
		}
		key := fmt.Sprint("r", n)
		c.Submit(now, PlaceRequest{Key: key, Account: "a", PromptTokens: 1000, MaxTokens: 96, Class: rule.ClassPatient})
		for _, d := range c.Step(now) {
			if d.Err != nil {
				t.Fatal(d.Err)
			}
			streams = append(streams, running{d.Key, now.Add(2*prompt + stream)})
		}
		if n == 100 { // two and a half times the length of an answer
			early = ratio(now)
		}
	}
	if steady := ratio(now); early < 0.8*steady {
		t.Errorf("unexpected part of decode in the demand: %.4f of the prefill's early in the burst, %.4f later", early, steady)
	}
}
