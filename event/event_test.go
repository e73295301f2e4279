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

// duties names the ranges of numbers.
var duties = map[int]string{
	10: "instance",
	11: "configuration and keys",
	12: "requests",
	13: "allowance",
	14: "placement",
	15: "membership",
	16: "outcomes",
	17: "orders to engines",
}

const pageHead = `# Events

Every event has a number that is never reused. An instance keeps its newest 8,192 events and writes them to its log;
` + "`teaselgate timeline`" + ` joins those of all instances. Levels: debug events are kept but not logged by default. A line
equal to others (number, account, server, detail) is logged five times in ten seconds at most; the number held back
follows in the next window as ` + "`repeated`" + `.

| number | name | level | duty | meaning |
| --- | --- | --- | --- | --- |
`

// The page is rewritten by: go test ./event -update.
func TestPageListsEveryEvent(t *testing.T) {
	var page strings.Builder
	page.WriteString(pageHead)
	for _, code := range slices.Sorted(maps.Keys(Catalogue)) {
		d := Catalogue[code]
		fmt.Fprintf(&page, "| %d | `%s` | %s | %s | %s |\n", code, d.Name, d.Level, duties[code.Category()], d.Message)
	}
	goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md")).Assert(t, "EVENTS", []byte(page.String()))
}

func TestNamesAreUniqueAndNumbersInRange(t *testing.T) {
	names := make(map[string]Code)
	for code, d := range Catalogue {
		if other, taken := names[d.Name]; taken {
			t.Errorf("unexpected name %s of both %d and %d", d.Name, code, other)
		}
		names[d.Name] = code
		if duties[code.Category()] == "" {
			t.Errorf("unexpected number %d outside of all ranges", code)
		}
		if d.Name == "" || d.Message == "" || d.Level == logrus.PanicLevel {
			t.Errorf("unexpected gap in the definition of %d: %v", code, d)
		}
	}
}

func TestEqualLinesAreHeldBackButCounted(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	r := NewRecorder("i1", log)
	now := time.Unix(1_800_000_000, 0)
	r.Now = func() time.Time { return now }
	const flood = 100
	for range flood {
		r.Record(Event{Code: RequestRefused, Account: "dala", Detail: "over-rate"})
	}
	r.Record(Event{Code: RequestRefused, Account: "hoja", Detail: "over-rate"})
	if got := strings.Count(out.String(), "account=dala"); got != repeatLines {
		t.Errorf("unexpected lines of a flood, got %d instead of %d", got, repeatLines)
	}
	if !strings.Contains(out.String(), "account=hoja") {
		t.Error("unexpected silence about another account")
	}
	if got := len(r.Events()); got != flood+1 || r.Counts()[RequestRefused] != flood+1 {
		t.Errorf("unexpected count of events, got %d and %v instead of %d", got, r.Counts(), flood+1)
	}
	now = now.Add(repeatWindow)
	r.Record(Event{Code: RequestRefused, Account: "hoja", Detail: "over-rate"})
	if want := fmt.Sprintf("repeated=%d", flood-repeatLines); !strings.Contains(out.String(), want) {
		t.Errorf("unexpected log, got %s without %s", out.String(), want)
	}
}

func TestManyDifferentLinesAreHeldBackToo(t *testing.T) {
	var r repeats
	now := time.Unix(1_800_000_000, 0)
	logged := 0
	for n := range 10 * repeatKinds {
		if ok, _ := r.admit(Event{Code: RequestRefused, Detail: fmt.Sprint(n)}, now); ok {
			logged++
		}
	}
	if want := repeatKinds + repeatLines; logged != want || len(r.counts) > repeatKinds+1 {
		t.Errorf("unexpected lines, got %d and %d kinds instead of %d", logged, len(r.counts), want)
	}
}

func TestRingKeepsTheNewestInOrder(t *testing.T) {
	r := NewRecorder("i1", nil)
	for range ringSize + 10 {
		r.Record(Event{Code: RequestCompleted})
	}
	events := r.Events()
	if len(events) != ringSize || events[0].Sequence != 11 {
		t.Fatalf("unexpected ring of %d events from %d", len(events), events[0].Sequence)
	}
	for n := 1; n < len(events); n++ {
		if events[n].Sequence != events[n-1].Sequence+1 || events[n].Stamp <= events[n-1].Stamp {
			t.Fatalf("unexpected order at %d: %v after %v", n, events[n], events[n-1])
		}
	}
}
