package metric

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Stage is a part of a request's way.
type Stage string

// The stages.
const (
	Queue    Stage = "queue"
	Prefill  Stage = "prefill"
	Transfer Stage = "transfer"
	Service  Stage = "service"
)

// newStages makes the histograms of all stages at once, so that a request costs no lookup by tags.
func newStages(scope tally.Scope) map[Stage]tally.Histogram {
	out := make(map[Stage]tally.Histogram)
	for _, s := range []Stage{Queue, Prefill, Transfer, Service} {
		out[s] = scope.Tagged(map[string]string{"stage": string(s)}).Histogram(StageTime.Name, secondsBuckets)
	}
	return out
}

// Stage takes the time of a stage.
func (m *Metrics) Stage(s Stage, took time.Duration) { m.stages[s].RecordDuration(took) }

// Answer counts a request by the kind of its route and how it ended.
func (m *Metrics) Answer(kind, outcome string) {
	m.scope.Tagged(map[string]string{"kind": kind, "outcome": outcome}).Counter(Answers.Name).Inc(1)
}

// StoreCall counts a call to the store. The time of one that waited for changes is not taken.
func (m *Metrics) StoreCall(method, result string, took time.Duration, waited bool) {
	m.scope.Tagged(map[string]string{"method": method, "result": result}).Counter(StoreCalls.Name).Inc(1)
	if !waited {
		m.scope.Tagged(map[string]string{"method": method}).Histogram(StoreTime.Name, secondsBuckets).RecordDuration(took)
	}
}

// Servers states how many backend servers of a duty are in a state.
func (m *Metrics) Servers(duty, state string, n int) {
	m.scope.Tagged(map[string]string{"duty": duty, "state": state}).Gauge(Servers.Name).Update(float64(n))
}

// BeliefAge states the age of what is believed.
func (m *Metrics) BeliefAge(belief string, age time.Duration) {
	m.scope.Tagged(map[string]string{"belief": belief}).Gauge(BeliefAge.Name).Update(age.Seconds())
}

// RetriesLeft states what is left of a service's retry budget here.
func (m *Metrics) RetriesLeft(service string, n float64) {
	m.scope.Tagged(map[string]string{"service": service}).Gauge(RetriesLeft.Name).Update(n)
}

// RateShare states the part of the accounts' rates that this instance gives out.
func (m *Metrics) RateShare(part float64) { m.rateShare.Update(part) }

// LinesDropped counts lines that the log left out.
func (m *Metrics) LinesDropped(n uint64) { m.lines.Inc(int64(n)) }
