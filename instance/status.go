package instance

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"teaselgate/config"
)

// Status returns the instance's status for operators.
func (i *Instance) Status() config.Status {
	var s config.Status
	if i.registry == nil {
		s = i.rules.Status()
	} else {
		s.Revision, s.Fetching = i.configurationNumber(), i.fetchingStatus()
	}
	s.Instance = i.Options.Name
	s.Zone = i.Options.Zone
	s.Ready = i.ready()
	s.Connected = i.fleet.Connected()
	for _, m := range i.fleet.Members() {
		s.Members = append(s.Members, config.Member{Name: m.Name, Zone: m.Zone, Admin: m.Admin, State: m.State.String()})
	}
	s.Evacuated, s.Running = i.evacuated(), i.runningByZone()
	return s
}

// fetchingStatus returns the state of the fetch of a configuration, or nil.
func (i *Instance) fetchingStatus() *config.Fetching {
	p, ok := i.registry.Progress()
	if !ok {
		return nil
	}
	return &config.Fetching{
		Revision: uint64(p.Number), Parts: p.Parts, Missing: p.Missing, Lag: time.Since(p.HeardAt),
	}
}

// configurationNumber returns the number of the configuration in force, or 0.
func (i *Instance) configurationNumber() uint64 {
	view := i.registry.Current()
	if view == nil {
		return 0
	}
	return uint64(view.Configuration.Version)
}

// evacuated returns the availability zones whose evacuation is in force, by name.
func (i *Instance) evacuated() []string {
	if i.registry != nil {
		return slices.Sorted(maps.Keys(i.registry.Evacuated()))
	}
	if rules := i.ruleSet(); rules != nil {
		return rules.Evacuated()
	}
	return nil
}

// runningByZone returns the number of this instance's requests at backend servers, by availability zone.
func (i *Instance) runningByZone() map[string]int {
	rules := i.ruleSet()
	if rules == nil {
		return nil
	}
	models, plain, out := i.placer.Running(), i.plain.Running(), make(map[string]int)
	for _, s := range rules.AllServers() {
		out[s.Zone] += models[s.Server] + plain[s.Server]
	}
	return out
}

func (i *Instance) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(i.Status())
}
