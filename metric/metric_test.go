package metric

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"teaselgate/outcome"
	"teaselgate/standin/bubble"
)

const pageHeader = `# Metrics

` + "`GET /metrics`" + ` returns these metrics in the Prometheus text format: on the admin listener with the operators'
token, and on the address in the setting ` + "`metrics`" + ` without a token.
Tags have few values: routes come from the rules, and no metric has a tag for the client account, key, request or
backend server, so that 35,000 accounts add no series. For a single account, see the events and ` + "`teaselgate load`" + `.

| metric | kind | tags | meaning |
| --- | --- | --- | --- |
`

// TestMetricsPageMatchesCatalogue checks docs/METRICS.md. To rewrite the page, run: go test ./metric -update.
func TestMetricsPageMatchesCatalogue(t *testing.T) {
	var page strings.Builder
	page.WriteString(pageHeader)
	for _, d := range Catalogue {
		tags := "none"
		if len(d.Tags) > 0 {
			tags = "`" + strings.Join(d.Tags, "`, `") + "`"
		}
		fmt.Fprintf(&page, "| `teaselgate_%s` | %s | %s | %s |\n", d.Name, d.Kind, tags, d.Help)
	}
	goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md")).Assert(t, "METRICS", []byte(page.String()))
}

var (
	typeLine   = regexp.MustCompile(`(?m)^# TYPE teaselgate_(\w+) (\w+)$`)
	sampleLine = regexp.MustCompile(`(?m)^teaselgate_(\w+?)(?:_bucket|_sum|_count)?(?:\{(.*)\})? \S+$`)
	tagName    = regexp.MustCompile(`(\w+)="`)
)

// scrape closes the metrics, which reports all values, and returns the text of the endpoint.
func scrape(t *testing.T, m *Metrics) string {
	t.Helper()
	if err := m.Close(); err != nil {
		t.Fatal(err)
	}
	response := httptest.NewRecorder()
	m.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return response.Body.String()
}

// TestEndpointMatchesCatalogue compares the names, kinds and tags at the endpoint with the catalogue.
func TestEndpointMatchesCatalogue(t *testing.T) {
	m := New()
	m.ObserveRequest("chat", outcomeAnswered, http.StatusOK, time.Second)
	m.ObserveFirstChunk("chat", time.Second)
	m.ObserveChunkGap(time.Millisecond)
	m.AddEvents(1203, "request-done", 3)
	m.SetMembers("live", 3)
	m.SetInFlight(1)
	m.SetConnections(2)
	m.SetRevision(7)
	m.SetCell("chat-decode", 1, 2, 3)
	m.CountRequestResult("once", "late")
	m.ObserveStage(StageQueue, time.Millisecond)
	m.AddPeerBytes("Registry.Fetch", "sent", 850_000)
	m.ObserveStoreCall(http.MethodGet, "ok", time.Millisecond, false)
	m.SetServers("plain", "live", 3)
	m.SetServersBusy(1)
	m.SetServersLimited(1)
	m.SetSlots("shop", 1, 2)
	m.SetPromisedReturns("chat-decode", 1)
	m.SetMemoryHeld(1)
	m.SetHeadersHeld(1)
	m.SetQuarantined(1)
	m.SetStoreDataAge("store", time.Second)
	m.SetRetriesLeft("shop", 4)
	m.SetRateShare(1)
	m.AddLinesDropped(2)
	text := scrape(t, m)
	kinds := make(map[string]Kind)
	for _, match := range typeLine.FindAllStringSubmatch(text, -1) {
		kinds[match[1]] = Kind(match[2])
	}
	tags := make(map[string][]string)
	for _, match := range sampleLine.FindAllStringSubmatch(text, -1) {
		for _, tag := range tagName.FindAllStringSubmatch(match[2], -1) {
			if tag[1] != "le" && !slices.Contains(tags[match[1]], tag[1]) {
				tags[match[1]] = append(tags[match[1]], tag[1])
			}
		}
	}
	if len(kinds) != len(Catalogue) {
		t.Errorf("unexpected number of metrics, got %v instead of %d", kinds, len(Catalogue))
	}
	for _, d := range Catalogue {
		if kinds[d.Name] != d.Kind {
			t.Errorf("unexpected kind of %s, got %q instead of %s", d.Name, kinds[d.Name], d.Kind)
		}
		want := slices.Sorted(slices.Values(d.Tags))
		if got := slices.Sorted(slices.Values(tags[d.Name])); !slices.Equal(got, want) {
			t.Errorf("unexpected tags of %s, got %v instead of %v", d.Name, got, want)
		}
	}
}

func TestHandlerCountsOutcomes(t *testing.T) {
	tests := []struct {
		name  string
		serve http.HandlerFunc
		want  string
	}{
		{"answered", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("x"))
		}, `outcome="answered",route="chat",status="200"`},
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			outcome.NewRefusal(http.StatusTooManyRequests, "over-rate", "").Write(w, time.Now())
		}, `outcome="not-run",route="chat",status="429"`},
		{"unknown", func(w http.ResponseWriter, _ *http.Request) {
			outcome.RefusalFromError(http.ErrBodyNotAllowed).Write(w, time.Now())
		}, `outcome="unknown",route="chat",status="502"`},
		{"invalid outcome", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(outcome.Header, "anything")
		}, `outcome="answered",route="chat",status="200"`},
		{"broken", func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}, `outcome="broken",route="chat",status="200"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := New()
			h := &Handler{Next: test.serve, Metrics: m, Route: func(string) string { return "chat" }, Now: time.Now}
			func() {
				defer func() { _ = recover() }()
				h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/chat", nil))
			}()
			if text := scrape(t, m); !strings.Contains(text, "teaselgate_requests{"+test.want+"} 1\n") || h.InFlight() != 0 {
				t.Errorf("unexpected metrics, got %s without %s, %d in flight", text, test.want, h.InFlight())
			}
		})
	}
}

func TestUnroutedPathsShareOneSeries(t *testing.T) {
	m := New()
	h := &Handler{Next: http.NotFoundHandler(), Metrics: m, Route: func(string) string { return "" }, Now: time.Now}
	for n := range 100 {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, fmt.Sprintf("/%d", n), nil))
	}
	text := scrape(t, m)
	if got := strings.Count(text, "teaselgate_requests{"); got != 1 || !strings.Contains(text, `route="none"`) {
		t.Errorf("unexpected number of series, got %d instead of 1:\n%s", got, text)
	}
}

func TestHandlerTimesChunksOfStreams(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		m := New()
		h := &Handler{Metrics: m, Route: func(string) string { return "chat" }, Now: time.Now}
		h.Next = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			for _, delay := range []time.Duration{500 * time.Millisecond, 12 * time.Millisecond, 40 * time.Millisecond} {
				<-time.After(delay)
				_, _ = w.Write([]byte("data: x\n\n"))
				if err := http.NewResponseController(w).Flush(); err != nil {
					t.Errorf("unexpected error %v", err)
				}
			}
		})
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/chat", nil))
		text := scrape(t, m)
		for _, want := range []string{
			`teaselgate_first_chunk_seconds_bucket{route="chat",le="0.4"} 0`,
			`teaselgate_first_chunk_seconds_bucket{route="chat",le="0.77"} 1`,
			`teaselgate_chunk_gap_seconds_bucket{le="0.01"} 0`,
			`teaselgate_chunk_gap_seconds_bucket{le="0.015"} 1`,
			`teaselgate_chunk_gap_seconds_bucket{le="0.036"} 1`,
			`teaselgate_chunk_gap_seconds_bucket{le="0.05"} 2`,
		} {
			if !strings.Contains(text, want+"\n") {
				t.Errorf("unexpected metrics without %s:\n%s", want, text)
			}
		}
	})
}

// BenchmarkFlush measures the time that the metrics add to each chunk of a stream.
func BenchmarkFlush(b *testing.B) {
	m := New()
	defer m.Close()
	w := &responseWriter{
		ResponseWriter: httptest.NewRecorder(),
		handler:        &Handler{Metrics: m, Now: time.Now},
		route:          "chat",
	}
	w.Header().Set("Content-Type", "text/event-stream")
	b.ReportAllocs()
	for b.Loop() {
		_ = w.FlushError()
	}
}

// BenchmarkRequest measures the time that the metrics add to each request.
func BenchmarkRequest(b *testing.B) {
	m := New()
	defer m.Close()
	b.ReportAllocs()
	for b.Loop() {
		m.ObserveRequest("chat", outcomeAnswered, http.StatusOK, time.Millisecond)
	}
}
