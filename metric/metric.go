// Package metric provides the metrics of an instance and their Prometheus endpoint.
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

// reportInterval is the time between two reports of tally's values to the Prometheus endpoint.
const reportInterval = time.Second

// Bucket bounds of the histograms. They include the latency targets of 0.77 s and 36 ms.
var (
	durationBuckets = tally.DurationBuckets{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
		50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
		770 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 12 * time.Second,
		30 * time.Second, time.Minute,
	}
	chunkGapBuckets = tally.DurationBuckets{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 15 * time.Millisecond,
		20 * time.Millisecond, 25 * time.Millisecond, 30 * time.Millisecond, 36 * time.Millisecond,
		50 * time.Millisecond, 75 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
		500 * time.Millisecond, time.Second, 5 * time.Second,
	}
)

// sanitizeOptions restricts names to the characters that Prometheus allows, and tag values to those that names in the
// rules may contain.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters:       tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
	KeyCharacters:        tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
	ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune{'-', '_', '.', '/'}},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// Metrics holds the metrics of one instance. No metric has a tag for the client account, key or request.
type Metrics struct {
	scope       tally.Scope
	closer      io.Closer
	endpoint    http.Handler
	chunkGap    tally.Histogram
	inFlight    tally.Gauge
	connections tally.Gauge
	revision    tally.Gauge

	stageTimes   map[Stage]tally.Histogram
	rateShare    tally.Gauge
	linesDropped tally.Counter
}

// New returns metrics that are reported until Close.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "teaselgate",
		Separator:              tallyprometheus.DefaultSeparator,
		CachedReporter:         reporter,
		SanitizeOptions:        &sanitizeOptions,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		scope:       scope,
		closer:      closer,
		endpoint:    reporter.HTTPHandler(),
		chunkGap:    scope.Histogram(ChunkGap.Name, chunkGapBuckets),
		inFlight:    scope.Gauge(InFlight.Name),
		connections: scope.Gauge(Connections.Name),
		revision:    scope.Gauge(Revision.Name),

		stageTimes:   newStageHistograms(scope),
		rateShare:    scope.Gauge(RateShare.Name),
		linesDropped: scope.Counter(LinesDropped.Name),
	}
}

// Close reports the last values and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// ServeHTTP serves the metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.endpoint.ServeHTTP(w, r) }

// ObserveRequest counts a caller's request that ended and records its duration.
func (m *Metrics) ObserveRequest(route, outcome string, status int, duration time.Duration) {
	m.scope.Tagged(map[string]string{"route": route, "outcome": outcome, "status": strconv.Itoa(status)}).
		Counter(Requests.Name).Inc(1)
	m.scope.Tagged(map[string]string{"route": route}).Histogram(RequestTime.Name, durationBuckets).RecordDuration(duration)
}

// ObserveFirstChunk records the time from a request's header to the first chunk of the streamed response.
func (m *Metrics) ObserveFirstChunk(route string, duration time.Duration) {
	m.scope.Tagged(map[string]string{"route": route}).Histogram(FirstChunk.Name, durationBuckets).RecordDuration(duration)
}

// ObserveChunkGap records the time between two chunks of a streamed response.
func (m *Metrics) ObserveChunkGap(interval time.Duration) { m.chunkGap.RecordDuration(interval) }

// AddEvents adds to the number of events of a kind.
func (m *Metrics) AddEvents(code int, name string, n uint64) {
	m.scope.Tagged(map[string]string{"number": strconv.Itoa(code), "event": name}).Counter(Events.Name).Inc(int64(n))
}

// SetMembers sets the number of known instances in a state.
func (m *Metrics) SetMembers(state string, n int) {
	m.scope.Tagged(map[string]string{"state": state}).Gauge(Members.Name).Update(float64(n))
}

// SetInFlight sets the number of requests in flight.
func (m *Metrics) SetInFlight(n int64) { m.inFlight.Update(float64(n)) }

// SetConnections sets the number of open connections of callers.
func (m *Metrics) SetConnections(n int) { m.connections.Update(float64(n)) }

// SetRevision sets the revision of the rules in force.
func (m *Metrics) SetRevision(number uint64) { m.revision.Update(float64(number)) }

// SetCell sets the numbers of waiting requests, reserved slots and available slots at this instance's dispatchers of a
// decode pool.
func (m *Metrics) SetCell(pool string, waiting, used, slots int) {
	scope := m.scope.Tagged(map[string]string{"pool": pool})
	scope.Gauge(CellWaiting.Name).Update(float64(waiting))
	scope.Gauge(CellUsed.Name).Update(float64(used))
	scope.Gauge(CellSlots.Name).Update(float64(slots))
}
