package instance

import (
	"encoding/json"
	"net/http"

	"teaselgate/config"
)

// Status returns the instance's status for operators.
func (i *Instance) Status() config.Status {
	s := i.rules.Status()
	s.Instance = i.Options.Name
	s.Zone = i.Options.Zone
	s.Ready = !i.leaving.Load() && i.rules.Current() != nil
	s.Connected = i.fleet.Connected()
	for _, m := range i.fleet.Members() {
		s.Members = append(s.Members, config.Member{Name: m.Name, Zone: m.Zone, Admin: m.Admin, State: m.State.String()})
	}
	return s
}

func (i *Instance) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(i.Status())
}
