package metric

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Stage is a part of a request's way.
type Stage string

// The stages.
const (
	StageQueue    Stage = "queue"
	StagePrefill  Stage = "prefill"
	StageTransfer Stage = "transfer"
	StageService  Stage = "service"
)

// newStages makes the histograms of all stages at once, so that a request costs no lookup by tags.
func newStages(scope tally.Scope) map[Stage]tally.Histogram {
	out := make(map[Stage]tally.Histogram)
	for _, s := range []Stage{StageQueue, StagePrefill, StageTransfer, StageService} {
		out[s] = scope.Tagged(map[string]string{"stage": string(s)}).Histogram(StageTime.Name, secondsBuckets)
	}
	return out
}

// ObserveStage takes the time of a stage.
func (m *Metrics) ObserveStage(s Stage, took time.Duration) { m.stages[s].RecordDuration(took) }

// CountRequestResult counts a request by the kind of its route and how it ended.
func (m *Metrics) CountRequestResult(kind, outcome string) {
	m.scope.Tagged(map[string]string{"kind": kind, "outcome": outcome}).Counter(RequestResults.Name).Inc(1)
}

// ObserveStoreCall counts a call to the store. The time of one that waited for changes is not taken.
func (m *Metrics) ObserveStoreCall(method, result string, took time.Duration, waited bool) {
	m.scope.Tagged(map[string]string{"method": method, "result": result}).Counter(StoreCalls.Name).Inc(1)
	if !waited {
		m.scope.Tagged(map[string]string{"method": method}).Histogram(StoreTime.Name, secondsBuckets).RecordDuration(took)
	}
}

// SetServers states how many backend servers of a duty are in a state.
func (m *Metrics) SetServers(duty, state string, n int) {
	m.scope.Tagged(map[string]string{"duty": duty, "state": state}).Gauge(Servers.Name).Update(float64(n))
}

// SetStoreDataAge states the age of what is believed.
func (m *Metrics) SetStoreDataAge(belief string, age time.Duration) {
	m.scope.Tagged(map[string]string{"belief": belief}).Gauge(StoreDataAge.Name).Update(age.Seconds())
}

// SetRetriesLeft states what is left of a service's retry budget here.
func (m *Metrics) SetRetriesLeft(service string, n float64) {
	m.scope.Tagged(map[string]string{"service": service}).Gauge(RetriesLeft.Name).Update(n)
}

// SetRateShare states the part of the accounts' rates that this instance gives out.
func (m *Metrics) SetRateShare(part float64) { m.rateShare.Update(part) }

// AddLinesDropped counts lines that the log left out.
func (m *Metrics) AddLinesDropped(n uint64) { m.lines.Inc(int64(n)) }
