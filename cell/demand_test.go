package cell

import (
	"fmt"
	"testing"
	"time"

	"teaselgate/rule"
)

// Guards against wrong demand at the start of a burst: the prompts come at once, while the memory in use grows until
// the first streams end. The demand must not look as if prefill were the bottleneck.
func TestDemandIncludesDecodeAtBurstStart(t *testing.T) {
	const (
		interval   = 40 * time.Millisecond
		promptTime = 30 * time.Millisecond
		streamTime = 1500 * time.Millisecond
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
				Placed: epoch, Prefilled: epoch.Add(promptTime), Imported: epoch.Add(2 * promptTime),
				Ended: epoch.Add(2*promptTime + streamTime), Generated: 96,
			})
			streams = streams[1:]
		}
		key := fmt.Sprint("r", n)
		c.Submit(now, PlaceRequest{Key: key, Account: "a", PromptTokens: 1000, MaxTokens: 96, Class: rule.ClassPatient})
		for _, d := range c.Decide(now) {
			if d.Err != nil {
				t.Fatal(d.Err)
			}
			streams = append(streams, running{d.Key, now.Add(2*promptTime + streamTime)})
		}
		if n == 100 { // more than two and a half lengths of a stream
			early = ratio(now)
		}
	}
	if steady := ratio(now); early < 0.8*steady {
		t.Errorf("unexpected ratio of decode to prefill demand: %.4f early in the burst, %.4f later", early, steady)
	}
}
