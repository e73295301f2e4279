package cell

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/preview"
	"teaselgate/rule"
)

// chosenServer returns the server that a preview says would be chosen in a stage.
func chosenServer(s preview.Stage) string {
	for _, c := range s.Candidates {
		if c.Chosen {
			return c.Server
		}
	}
	return ""
}

// counts sums up what a preview must leave alone.
func (c *Core) counts(now instant) [5]int {
	return [5]int{len(c.waiting), len(c.reservations), len(c.delayed), len(c.decisions), c.promises.Len(now)}
}

// A preview must say what becomes of a request that is sent in the same moment: its servers, that it waits, or that it is
// refused. Else operators look for causes that do not exist. It must change nothing.
func TestPreviewTellsWhatBecomesOfARequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := testCore(clockStart, 3, 3), clockStart
		verdicts := make(map[preview.Verdict]int)
		for n := range rapid.IntRange(5, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			request := PlaceRequest{
				Key: fmt.Sprint(n), Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), Weight: 1, Class: rule.ClassPatient,
				PromptTokens: rapid.IntRange(1, 30000).Draw(t, "prompt"), MaxTokens: rapid.IntRange(1, 300).Draw(t, "output"),
				Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Left: time.Duration(rapid.IntRange(50, 20000).Draw(t, "left")) * time.Millisecond,
				Zones: rapid.SampledFrom([][]string{nil, {"a"}, {"x"}}).Draw(t, "zones"),
			}
			c.Decide(now)
			before := c.counts(now)
			told := c.Preview(now, request)
			if again := c.Preview(now, request); !reflect.DeepEqual(told, again) || c.counts(now) != before {
				t.Fatalf("the preview changed something: %+v and %+v", told, again)
			}
			verdicts[told.Verdict]++
			c.Submit(now, request)
			var got Decision
			for _, d := range c.Decide(now) {
				if d.Key == request.Key {
					got = d
				}
			}
			_, waits := c.waiting[request.Key]
			switch told.Verdict {
			case preview.Placed:
				if got.Decode == "" || got.Prefill != chosenServer(told.Stages[0]) || got.Decode != chosenServer(told.Stages[1]) {
					t.Fatalf("%+v instead of %+v", got, told)
				}
			case preview.Refused:
				if got.Err == nil {
					t.Fatalf("%+v, waiting %v, instead of %+v", got, waits, told)
				}
			case preview.Waits:
				// It may be placed at once ahead of others that wait, but is not refused.
				if got.Err != nil {
					t.Fatalf("%+v instead of %+v", got, told)
				}
			}
		}
	})
}

// Each server that is not chosen has a reason that names what keeps requests from it.
func TestPreviewNamesTheReasonOfEachServer(t *testing.T) {
	c := NewCore(clockStart)
	prefills, decodes := servers("p", 2), servers("d", 4)
	decodes[1].State, decodes[2].Zone = rule.ServerEvacuated, "b"
	c.SetServers(clockStart, prefills, decodes, rule.Pool{Slots: 3, Pieces: 6}, testTargets)
	for n := range decodes {
		c.RecordHeld(clockStart, fmt.Sprintf("d%d", n), nil)
	}
	told := c.Preview(clockStart, PlaceRequest{
		Key: "x", Account: "a", PromptTokens: 100, MaxTokens: 20, Zones: []string{"a"}, Exclude: []string{"p1"}, Avoid: []string{"d3"},
	})
	why := make(map[string]string)
	for _, stage := range told.Stages {
		for _, candidate := range stage.Candidates {
			why[candidate.Server] = candidate.Why
		}
	}
	want := map[string]string{
		"p0": "best", "p1": string(failedBefore),
		"d0": "best", "d1": "evacuated", "d2": string(elsewhere), "d3": string(wantsNone),
	}
	if !reflect.DeepEqual(why, want) || told.Verdict != preview.Placed {
		t.Errorf("unexpected reasons %v, verdict %s", why, told.Verdict)
	}
}
