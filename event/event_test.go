package event

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/sirupsen/logrus"
)

// categories holds the names of the categories by number.
var categories = map[int]string{
	10: "instance",
	11: "configuration and keys",
	12: "requests",
	13: "allowance",
	14: "placement",
	15: "membership",
	16: "outcomes",
	17: "orders to engines",
}

const pageHeader = `# Events

Every event has a number that is never reused. An instance keeps its newest 8,192 events and writes them to its log;
` + "`teaselgate timeline`" + ` merges those of all instances. Events of level debug are kept but not logged by default. Of equal
lines (number, account, server, detail) that concern no request, at most five are logged in ten seconds; the number of
suppressed lines follows later as ` + "`repeated`" + `.

| number | name | level | category | meaning |
| --- | --- | --- | --- | --- |
`

// TestEventsPageMatchesCatalogue checks docs/EVENTS.md. To rewrite the page, run: go test ./event -update.
func TestEventsPageMatchesCatalogue(t *testing.T) {
	var page strings.Builder
	page.WriteString(pageHeader)
	for _, code := range slices.Sorted(maps.Keys(Catalogue)) {
		d := Catalogue[code]
		fmt.Fprintf(&page, "| %d | `%s` | %s | %s | %s |\n", code, d.Name, d.Level, categories[code.Category()], d.Message)
	}
	goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md")).Assert(t, "EVENTS", []byte(page.String()))
}

func TestEventNamesAreUniqueAndCodesHaveCategory(t *testing.T) {
	names := make(map[string]Code)
	for code, d := range Catalogue {
		if other, exists := names[d.Name]; exists {
			t.Errorf("unexpected name %s of two events, %d and %d", d.Name, code, other)
		}
		names[d.Name] = code
		if categories[code.Category()] == "" {
			t.Errorf("unexpected code %d outside of all categories", code)
		}
		if d.Name == "" || d.Message == "" || d.Level == logrus.PanicLevel {
			t.Errorf("unexpected incomplete definition of %d: %v", code, d)
		}
	}
}

func TestEqualLogLinesAreSuppressedButCounted(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	r := NewRecorder("i1", log)
	now := time.Unix(1_800_000_000, 0)
	r.Now = func() time.Time { return now }
	const repeats = 100
	for range repeats {
		r.Record(Event{Code: RequestRefused, Account: "dala", Detail: "over-rate"})
	}
	r.Record(Event{Code: RequestRefused, Account: "hoja", Detail: "over-rate"})
	if got := strings.Count(out.String(), "account=dala"); got != maxEqualLines {
		t.Errorf("unexpected number of equal lines, got %d instead of %d", got, maxEqualLines)
	}
	if !strings.Contains(out.String(), "account=hoja") {
		t.Error("unexpected log without the line of another account")
	}
	if got := len(r.Events()); got != repeats+1 || r.Counts()[RequestRefused] != repeats+1 {
		t.Errorf("unexpected number of events, got %d and %v instead of %d", got, r.Counts(), repeats+1)
	}
	now = now.Add(repeatWindow)
	r.Record(Event{Code: RequestRefused, Account: "hoja", Detail: "over-rate"})
	if want := fmt.Sprintf("repeated=%d", repeats-maxEqualLines); !strings.Contains(out.String(), want) {
		t.Errorf("unexpected log, got %s without %s", out.String(), want)
	}
}

func TestManyDistinctLogLinesAreSuppressed(t *testing.T) {
	var r repeatLimiter
	now := time.Unix(1_800_000_000, 0)
	logged := 0
	for n := range 10 * maxDistinctLines {
		if ok, _ := r.admit(Event{Code: RequestRefused, Detail: fmt.Sprint(n)}, now); ok {
			logged++
		}
	}
	if want := maxDistinctLines + maxEqualLines; logged != want || len(r.counts) > maxDistinctLines+1 {
		t.Errorf("unexpected number of lines, got %d with %d counters instead of %d", logged, len(r.counts), want)
	}
}

func TestRingKeepsNewestEventsInOrder(t *testing.T) {
	r := NewRecorder("i1", nil)
	for range ringSize + 10 {
		r.Record(Event{Code: RequestCompleted})
	}
	events := r.Events()
	if len(events) != ringSize || events[0].Sequence != 11 {
		t.Fatalf("unexpected ring, got %d events from sequence number %d", len(events), events[0].Sequence)
	}
	for n := 1; n < len(events); n++ {
		if events[n].Sequence != events[n-1].Sequence+1 || events[n].Stamp <= events[n-1].Stamp {
			t.Fatalf("unexpected order at %d: %v after %v", n, events[n], events[n-1])
		}
	}
}
