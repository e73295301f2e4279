package slot

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"teaselgate/preview"
)

// A preview must say what becomes of a request that is sent in the same moment, and must change nothing.
func TestPreviewTellsWhatBecomesOfARequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := NewCore(), start
		c.SetServers(testServers(2))
		var given []string
		for n := range rapid.IntRange(5, 80).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
			if len(given) > 0 && rapid.Bool().Draw(t, "ends") {
				c.Record(now, Report{Key: given[0], Took: 40 * time.Millisecond, Result: Result(rapid.IntRange(0, 2).Draw(t, "result"))})
				given = given[1:]
			}
			ask := Ask{
				Key: fmt.Sprint(n), Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), Weight: 1,
				Rank: rapid.IntRange(0, 1).Draw(t, "rank"), Left: time.Duration(rapid.IntRange(20, 900).Draw(t, "left")) * time.Millisecond,
				Aim: 200 * time.Millisecond, Exclude: rapid.SampledFrom([][]string{nil, {"s0"}, {"s0", "s1"}}).Draw(t, "exclude"),
			}
			for _, d := range c.Decide(now) {
				if d.Err == nil {
					given = append(given, d.Key)
				}
			}
			before := c.State(now)
			told := c.Preview(now, ask)
			if again := c.Preview(now, ask); !reflect.DeepEqual(told, again) || c.State(now) != before {
				t.Fatalf("the preview changed something: %+v and %+v", told, again)
			}
			c.Submit(now, ask)
			var got Decision
			for _, d := range c.Decide(now) {
				if d.Err == nil {
					given = append(given, d.Key)
				}
				if d.Key == ask.Key {
					got = d
				}
			}
			if told.Verdict == preview.Refused != (got.Err != nil) || told.Verdict == preview.Placed && got.Server == "" {
				t.Fatalf("%+v instead of %+v", got, told)
			}
			for _, candidate := range told.Stages[0].Candidates {
				if told.Verdict == preview.Placed && candidate.Chosen != (candidate.Server == got.Server) {
					t.Fatalf("%s instead of %+v", got.Server, candidate)
				}
			}
		}
	})
}

// Where each instance picks by itself, a preview names the servers that it may pick, and why it passes over others.
func TestPreviewOfServicesWithoutSharedSlots(t *testing.T) {
	told := newPlainSimulation(t, 1).plain.Preview("o", []string{"o1"})
	if len(told.Stages) != 1 || len(told.Stages[0].Candidates) != 3 || told.Verdict != preview.Placed {
		t.Fatalf("unexpected preview %+v", told)
	}
	for _, c := range told.Stages[0].Candidates {
		if excluded := c.Why == string(failedBefore); excluded != (c.Server == "o1") {
			t.Errorf("unexpected reason of %s: %q", c.Server, c.Why)
		}
	}
}
