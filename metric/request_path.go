package metric

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Stage is a stage in the processing of a request.
type Stage string

// The stages, as described at StageTime.
const (
	StageQueue    Stage = "queue"
	StagePrefill  Stage = "prefill"
	StageTransfer Stage = "transfer"
	StageService  Stage = "service"
)

// newStageHistograms returns a histogram for each stage, so that ObserveStage needs no lookup by tags.
func newStageHistograms(scope tally.Scope) map[Stage]tally.Histogram {
	out := make(map[Stage]tally.Histogram)
	for _, s := range []Stage{StageQueue, StagePrefill, StageTransfer, StageService} {
		out[s] = scope.Tagged(map[string]string{"stage": string(s)}).Histogram(StageTime.Name, durationBuckets)
	}
	return out
}

// ObserveStage records the duration of a stage of a request.
func (m *Metrics) ObserveStage(s Stage, duration time.Duration) {
	m.stageTimes[s].RecordDuration(duration)
}

// CountRequestResult counts an ended request under the kind of its route and its outcome.
func (m *Metrics) CountRequestResult(kind, outcome string) {
	m.scope.Tagged(map[string]string{"kind": kind, "outcome": outcome}).Counter(RequestResults.Name).Inc(1)
}

// AddPeerBytes adds to the bytes of calls between instances.
func (m *Metrics) AddPeerBytes(method, direction string, bytes int) {
	m.scope.Tagged(map[string]string{"method": method, "direction": direction}).Counter(PeerBytes.Name).Inc(int64(bytes))
}

// ObserveStoreCall counts a call to the platform store and, unless the call waited for changes, records its duration.
func (m *Metrics) ObserveStoreCall(method, result string, duration time.Duration, waited bool) {
	m.scope.Tagged(map[string]string{"method": method, "result": result}).Counter(StoreCalls.Name).Inc(1)
	if !waited {
		m.scope.Tagged(map[string]string{"method": method}).
			Histogram(StoreTime.Name, durationBuckets).RecordDuration(duration)
	}
}

// SetServers sets the number of backend servers of a duty in a state.
func (m *Metrics) SetServers(duty, state string, n int) {
	m.scope.Tagged(map[string]string{"duty": duty, "state": state}).Gauge(Servers.Name).Update(float64(n))
}

// SetServersBusy sets the number of backend servers that want no requests.
func (m *Metrics) SetServersBusy(n int) { m.scope.Gauge(ServersBusy.Name).Update(float64(n)) }

// SetServersLimited sets the number of backend servers that have named a limit of requests per second.
func (m *Metrics) SetServersLimited(n int) { m.scope.Gauge(ServersLimited.Name).Update(float64(n)) }

// SetSlots sets the state of the slots of a plain service that this instance gives out.
func (m *Metrics) SetSlots(pool string, waiting, used int) {
	scope := m.scope.Tagged(map[string]string{"pool": pool})
	scope.Gauge(SlotsWaiting.Name).Update(float64(waiting))
	scope.Gauge(SlotsUsed.Name).Update(float64(used))
}

// SetPromisedReturns sets the number of refused callers for which room of a pool is held.
func (m *Metrics) SetPromisedReturns(pool string, n int) {
	m.scope.Tagged(map[string]string{"pool": pool}).Gauge(PromisedReturns.Name).Update(float64(n))
}

// SetMemoryHeld sets the bytes that are held for slow callers and servers.
func (m *Metrics) SetMemoryHeld(bytes int64) { m.scope.Gauge(MemoryHeld.Name).Update(float64(bytes)) }

// SetHeadersHeld sets the bytes that the headers of callers' requests take.
func (m *Metrics) SetHeadersHeld(bytes int64) { m.scope.Gauge(HeadersHeld.Name).Update(float64(bytes)) }

// SetQuarantined sets the number of parts of prompts, or groups of them, that are refused.
func (m *Metrics) SetQuarantined(n int) { m.scope.Gauge(Quarantined.Name).Update(float64(n)) }

// SetStoreDataAge sets the age of the data from the platform store, for a value of the tag belief.
func (m *Metrics) SetStoreDataAge(belief string, age time.Duration) {
	m.scope.Tagged(map[string]string{"belief": belief}).Gauge(StoreDataAge.Name).Update(age.Seconds())
}

// SetRetriesLeft sets the number of retries left in this instance's retry budget of a service.
func (m *Metrics) SetRetriesLeft(service string, n float64) {
	m.scope.Tagged(map[string]string{"service": service}).Gauge(RetriesLeft.Name).Update(n)
}

// SetRateShare sets the share of the client accounts' rates that this instance's dispatcher may grant.
func (m *Metrics) SetRateShare(share float64) { m.rateShare.Update(share) }

// AddLinesDropped adds to the number of dropped log lines.
func (m *Metrics) AddLinesDropped(n uint64) { m.linesDropped.Inc(int64(n)) }
