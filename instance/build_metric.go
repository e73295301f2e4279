package instance

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/thejerf/suture/v4"

	"teaselgate/event"
	"teaselgate/fleet"
	"teaselgate/metric"
	"teaselgate/peer"
	"teaselgate/platform"
	"teaselgate/rule"
)

// collectInterval is the time between updates of the metrics that components do not update themselves.
const collectInterval = time.Second

// buildMetrics builds the metrics and the collector that updates them.
func (i *Instance) buildMetrics(supervisor *suture.Supervisor) error {
	i.metrics = metric.New()
	i.platform.ObserveCall = func(call platform.CallResult) {
		i.metrics.ObserveStoreCall(call.Method, storeResultTag(call.Err), call.Duration, call.Watch)
	}
	traffic := peer.Traffic{
		Sent:     func(method string, bytes int) { i.metrics.AddPeerBytes(method, "sent", bytes) },
		Received: func(method string, bytes int) { i.metrics.AddPeerBytes(method, "received", bytes) },
	}
	i.peers.Traffic, i.peerServer.Traffic = traffic, traffic
	supervisor.Add(&metricsCollector{instance: i, lastCounts: make(map[event.Code]uint64)})
	return nil
}

// storeResultTag returns the value of the metric tag result for a platform store call.
func storeResultTag(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	case errors.Is(err, platform.ErrNotFound):
		return "missing"
	case errors.Is(err, platform.ErrHistoryDropped):
		return "history"
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return "unknown"
	default:
		return "down"
	}
}

// metricsCollector updates the metrics from the event counts and the states of components.
type metricsCollector struct {
	instance    *Instance
	lastCounts  map[event.Code]uint64 // event counts at the last collection
	lastDropped uint64                // dropped log lines at the last collection
}

// Serve updates the metrics at intervals until the context ends.
func (c *metricsCollector) Serve(ctx context.Context) error {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		c.collect()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (c *metricsCollector) collect() {
	i := c.instance
	for code, n := range i.events.Counts() {
		if n > c.lastCounts[code] {
			i.metrics.AddEvents(int(code), event.Catalogue[code].Name, n-c.lastCounts[code])
			c.lastCounts[code] = n
		}
	}
	for state, n := range i.membersByState() {
		i.metrics.SetMembers(state, n)
	}
	i.collectDispatchers()
	i.metrics.SetRevision(i.revision())
	i.metrics.SetInFlight(i.requestMetrics.InFlight())
	i.metrics.SetConnections(i.limitedListener.OpenConnections())
	if i.LogWriter != nil {
		dropped := i.LogWriter.Dropped()
		i.metrics.AddLinesDropped(dropped - c.lastDropped)
		c.lastDropped = dropped
	}
	i.collectServers()
	i.collectSlots()
	i.metrics.SetMemoryHeld(i.memory.Used())
	i.metrics.SetHeadersHeld(i.limitedListener.Heads.Used())
	i.metrics.SetQuarantined(i.quarantine.Count())
	if i.registry != nil {
		i.collectStoreState()
	}
}

// collectSlots sets the state of the slots of plain services. Those that another instance gives out get zeros.
func (i *Instance) collectSlots() {
	rules := i.ruleSet()
	if rules == nil {
		return
	}
	states := i.slotKeeper.States()
	for name, pool := range rules.Pools() {
		if pool.Duty == rule.Plain {
			i.metrics.SetSlots(name, states[name].Waiting, states[name].InUse)
		}
	}
}

// collectServers sets the number of backend servers for each duty and state, including zeros.
func (i *Instance) collectServers() {
	rules := i.ruleSet()
	if rules == nil {
		return
	}
	type serverGroup struct {
		duty  rule.Duty
		state rule.ServerState
	}
	counts := make(map[serverGroup]int)
	for _, s := range rules.AllServers() {
		pool, _ := rules.Pool(s.Pool)
		counts[serverGroup{pool.Duty, s.State}]++
	}
	for _, duty := range []rule.Duty{rule.Plain, rule.Prefill, rule.Decode} {
		for _, state := range []rule.ServerState{rule.ServerLive, rule.ServerLeaving, rule.ServerEvacuated} {
			i.metrics.SetServers(string(duty), string(state), counts[serverGroup{duty, state}])
		}
	}
}

// collectStoreState sets the ages of the last contacts with the platform store, the number of servers that want no
// requests and the remaining retry budgets.
func (i *Instance) collectStoreState() {
	now := time.Now()
	for contact, at := range map[string]time.Time{
		"store": i.fleet.LastPlatformContact(), "fleet": i.registry.LastStoreContact(),
	} {
		if !at.IsZero() {
			i.metrics.SetStoreDataAge(contact, now.Sub(at))
		}
	}
	i.metrics.SetServersBusy(len(i.backoff.Servers()))
	i.metrics.SetServersLimited(len(i.throttle.Limits()))
	for service, remaining := range i.retryBudgets.remaining() {
		i.metrics.SetRetriesLeft(service, remaining)
	}
}

// collectDispatchers sets the state of the dispatchers. Decode pools without a dispatcher on this instance get zeros.
func (i *Instance) collectDispatchers() {
	rules := i.ruleSet()
	if rules == nil {
		return
	}
	states := i.placer.Hub.PoolStates()
	for _, m := range rules.Models() {
		s := states[m.Decode]
		i.metrics.SetCell(m.Decode, s.Waiting, s.UsedSlots, s.Slots)
		i.metrics.SetPromisedReturns(m.Decode, s.Promised)
		i.metrics.SetRateShare(s.RateShare)
	}
}

// membersByState counts the known instances by state. All states except left are present even if the count is zero.
func (i *Instance) membersByState() map[string]int {
	counts := make(map[string]int)
	for _, s := range []fleet.State{fleet.Live, fleet.Leaving, fleet.Suspect, fleet.Gone} {
		counts[s.String()] = 0
	}
	for _, m := range i.fleet.Members() {
		counts[m.State.String()]++
	}
	return counts
}

// health is the response body of GET /health.
type health struct {
	Name        string         `json:"name"`
	Zone        string         `json:"zone"`
	Ready       bool           `json:"ready"`
	Leaving     bool           `json:"leaving"`
	Revision    uint64         `json:"revision"`
	InFlight    int64          `json:"in_flight"`
	Connections int            `json:"connections"`
	Members     map[string]int `json:"members"`
}

func (i *Instance) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(health{
		Name:        i.Options.Name,
		Zone:        i.Options.Zone,
		Ready:       i.ready(),
		Leaving:     i.leaving.Load(),
		Revision:    i.revision(),
		InFlight:    i.requestMetrics.InFlight(),
		Connections: i.limitedListener.OpenConnections(),
		Members:     i.membersByState(),
	})
}
