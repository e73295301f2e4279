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
	"teaselgate/platform"
	"teaselgate/rule"
)

// collectInterval is how often values that are not counted where they arise are taken over.
const collectInterval = time.Second

// buildMetrics makes the metrics and the service that keeps them current.
func (i *Instance) buildMetrics(supervisor *suture.Supervisor) error {
	i.metrics = metric.New()
	i.platform.ObserveCall = func(t platform.CallResult) { i.metrics.ObserveStoreCall(t.Method, storeResult(t.Err), t.Duration, t.Watch) }
	supervisor.Add(&collector{instance: i, counts: make(map[event.Code]uint64)})
	return nil
}

// storeResult names how a call to the store ended.
func storeResult(err error) string {
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

// collector takes over counts of events and states into the metrics.
type collector struct {
	instance *Instance
	counts   map[event.Code]uint64 // as of the last time
	dropped  uint64                // the same, lines that the log left out
}

// Serve collects until the context ends.
func (c *collector) Serve(ctx context.Context) error {
	tick := time.NewTicker(collectInterval)
	defer tick.Stop()
	for {
		c.collect()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (c *collector) collect() {
	i := c.instance
	for code, n := range i.events.Counts() {
		if n > c.counts[code] {
			i.metrics.AddEvents(int(code), event.Catalogue[code].Name, n-c.counts[code])
			c.counts[code] = n
		}
	}
	for state, n := range i.membersByState() {
		i.metrics.SetMembers(state, n)
	}
	i.collectCells()
	i.metrics.SetRevision(i.revision())
	i.metrics.SetInFlight(i.requests.InFlight())
	i.metrics.SetConnections(i.connections.OpenConnections())
	if i.Lines != nil {
		dropped := i.Lines.Dropped()
		i.metrics.AddLinesDropped(dropped - c.dropped)
		c.dropped = dropped
	}
	i.collectServers()
	if i.registry != nil {
		i.collectBeliefs()
	}
}

// collectServers takes over how many backend servers are in force; every duty and state is present.
func (i *Instance) collectServers() {
	rules := i.ruleSet()
	if rules == nil {
		return
	}
	type group struct {
		duty  rule.Duty
		state rule.ServerState
	}
	counts := make(map[group]int)
	for _, s := range rules.AllServers() {
		pool, _ := rules.Pool(s.Pool)
		counts[group{pool.Duty, s.State}]++
	}
	for _, duty := range []rule.Duty{rule.Plain, rule.Prefill, rule.Decode} {
		for _, state := range []rule.ServerState{rule.ServerLive, rule.ServerLeaving} {
			i.metrics.SetServers(string(duty), string(state), counts[group{duty, state}])
		}
	}
}

// collectBeliefs takes over the ages of what is believed, and what is left of budgets.
func (i *Instance) collectBeliefs() {
	now := time.Now()
	for belief, at := range map[string]time.Time{"store": i.fleet.LastPlatformContact(), "fleet": i.registry.LastStoreContact()} {
		if !at.IsZero() {
			i.metrics.SetBeliefAge(belief, now.Sub(at))
		}
	}
	for service, left := range i.budgets.left() {
		i.metrics.SetRetriesLeft(service, left)
	}
}

// collectCells takes over the state of the dispatchers; a pool that has none here shows 0.
func (i *Instance) collectCells() {
	rules := i.ruleSet()
	if rules == nil {
		return
	}
	states := i.placer.Hub.PoolStates()
	for _, m := range rules.Models() {
		s := states[m.Decode]
		i.metrics.SetCell(m.Decode, s.Waiting, s.UsedSlots, s.Slots)
		i.metrics.SetRateShare(s.RateShare)
	}
}

// membersByState counts the known instances; every state is present.
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

// health is an instance's account of itself.
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

func (i *Instance) getHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(health{
		Name:        i.Options.Name,
		Zone:        i.Options.Zone,
		Ready:       i.ready(),
		Leaving:     i.leaving.Load(),
		Revision:    i.revision(),
		InFlight:    i.requests.InFlight(),
		Connections: i.connections.OpenConnections(),
		Members:     i.membersByState(),
	})
}
