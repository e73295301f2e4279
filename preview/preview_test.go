package preview

import (
	"bytes"
	"errors"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// To rewrite the file in testdata, run: go test ./preview -update.
func TestWriteMatchesGoldenFile(t *testing.T) {
	d := Decision{
		Route: "/v1/completions", Target: "chat", By: "i2", Rank: 17, Late: true, Verdict: Refused, Wait: 2340 * time.Millisecond,
		Latest: 1900 * time.Millisecond, RetryIn: 2500 * time.Millisecond, Reason: "the wait would be too long", Queued: 41,
		Ahead: 180000, PerSec: 90000, Held: 12000,
		Stages: []Stage{
			{Name: "prefill", Candidates: []Candidate{{Server: "p1", Zone: "a", Chosen: true, Figures: "transfer ends in 41ms", Why: "best"}}},
			{Name: "decode", Candidates: []Candidate{
				{Server: "d1", Zone: "a", Figures: "12 of 12 streams", Why: "no slot or memory free when the prompt is ready"},
				{Server: "d2", Zone: "b", Why: "evacuated"},
			}},
		},
	}
	var text bytes.Buffer
	if err := d.Write(&text); err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix("")).Assert(t, "refused.txt", text.Bytes())
}

// A description that can't be understood is refused with the name of the field, and a good one arrives as it was sent.
func TestParseQuery(t *testing.T) {
	good := Request{Host: "a.example", Path: "/x y", Account: "acme", Prompt: 300, Output: 20, Left: 3 * time.Second}
	_, query, _ := strings.Cut(good.Query(), "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := ParseQuery(values); err != nil || got != good {
		t.Errorf("got %+v, %v", got, err)
	}
	for name, query := range map[string]string{
		"path": "path=x", "prompt": "path=/&prompt=-1", "output": "path=/&output=many", "left": "path=/&left=3",
	} {
		values, err := url.ParseQuery(query)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseQuery(values); !errors.Is(err, ErrBadRequest) || !strings.Contains(err.Error(), name+":") {
			t.Errorf("unexpected error of %s: %v", query, err)
		}
	}
}
