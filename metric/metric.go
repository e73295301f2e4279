// Package metric counts and times what an instance does, for a Prometheus endpoint.
package metric

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally hands its values to the endpoint.
const reportInterval = time.Second

// Bounds of the histograms; they take in the latency targets of 0.77 s and 36 ms.
var (
	secondsBuckets = tally.DurationBuckets{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
		50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
		770 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 12 * time.Second,
		30 * time.Second, time.Minute,
	}
	gapBuckets = tally.DurationBuckets{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 15 * time.Millisecond,
		20 * time.Millisecond, 25 * time.Millisecond, 30 * time.Millisecond, 36 * time.Millisecond,
		50 * time.Millisecond, 75 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
		500 * time.Millisecond, time.Second, 5 * time.Second,
	}
)

// sanitizer keeps names to what Prometheus allows, and tag values to what names in the rules are made of.
var sanitizer = tally.SanitizeOptions{
	NameCharacters:       tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
	KeyCharacters:        tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
	ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune{'-', '_', '.', '/'}},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// Metrics holds the values of one instance. No value is kept per client account, key or request.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	endpoint http.Handler
	gap      tally.Histogram
	inFlight tally.Gauge
	open     tally.Gauge
	revision tally.Gauge

	stages    map[Stage]tally.Histogram
	rateShare tally.Gauge
	lines     tally.Counter
}

// New returns metrics that report until Close.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "teaselgate",
		Separator:              tallyprometheus.DefaultSeparator,
		CachedReporter:         reporter,
		SanitizeOptions:        &sanitizer,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		scope:    scope,
		closer:   closer,
		endpoint: reporter.HTTPHandler(),
		gap:      scope.Histogram(ChunkGap.Name, gapBuckets),
		inFlight: scope.Gauge(InFlight.Name),
		open:     scope.Gauge(Connections.Name),
		revision: scope.Gauge(Revision.Name),

		stages:    newStages(scope),
		rateShare: scope.Gauge(RateShare.Name),
		lines:     scope.Counter(LinesDropped.Name),
	}
}

// Close reports the last values and ends reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// ServeHTTP implements http.Handler with the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.endpoint.ServeHTTP(w, r) }

// ObserveRequest counts a caller's request that ended, and the time it took.
func (m *Metrics) ObserveRequest(route, outcome string, status int, took time.Duration) {
	m.scope.Tagged(map[string]string{"route": route, "outcome": outcome, "status": strconv.Itoa(status)}).
		Counter(Requests.Name).Inc(1)
	m.scope.Tagged(map[string]string{"route": route}).Histogram(RequestTime.Name, secondsBuckets).RecordDuration(took)
}

// ObserveFirstChunk takes the time until a streamed answer began.
func (m *Metrics) ObserveFirstChunk(route string, took time.Duration) {
	m.scope.Tagged(map[string]string{"route": route}).Histogram(FirstChunk.Name, secondsBuckets).RecordDuration(took)
}

// ObserveChunkGap takes the time between two chunks of a streamed answer.
func (m *Metrics) ObserveChunkGap(took time.Duration) { m.gap.RecordDuration(took) }

// AddEvents counts events of a kind.
func (m *Metrics) AddEvents(code int, name string, n uint64) {
	m.scope.Tagged(map[string]string{"number": strconv.Itoa(code), "event": name}).Counter(Events.Name).Inc(int64(n))
}

// SetMembers states how many instances are known in a state.
func (m *Metrics) SetMembers(state string, n int) {
	m.scope.Tagged(map[string]string{"state": state}).Gauge(Members.Name).Update(float64(n))
}

// SetInFlight states how many requests are being answered.
func (m *Metrics) SetInFlight(n int64) { m.inFlight.Update(float64(n)) }

// SetConnections states how many connections of callers are open.
func (m *Metrics) SetConnections(n int) { m.open.Update(float64(n)) }

// SetRevision states which revision of the rules is in force.
func (m *Metrics) SetRevision(number uint64) { m.revision.Update(float64(number)) }

// SetCell states what this instance's dispatchers of a decode pool have waiting, given out and in all.
func (m *Metrics) SetCell(pool string, waiting, used, slots int) {
	scope := m.scope.Tagged(map[string]string{"pool": pool})
	scope.Gauge(CellWaiting.Name).Update(float64(waiting))
	scope.Gauge(CellUsed.Name).Update(float64(used))
	scope.Gauge(CellSlots.Name).Update(float64(slots))
}
