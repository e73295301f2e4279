package registry

import (
	"fmt"
	"time"

	"teaselgate/event"
	"teaselgate/platform"
)

// coldPeriod is the newest time in which a server is cold: it takes only a few requests per second and crashes above that.
type coldPeriod struct {
	started      int64            // start of the server, in Unix milliseconds
	version      platform.Version // version of the entry that was looked at last
	since, until time.Time        // zero if the server has not been cold since this instance knows it
}

// markCold sets the cold periods of the servers of services whose cold servers have a limit. A server is cold as long as its
// entry says so, for the time that its service states after a start, and for that time after an evacuation of its
// availability zone. The caller holds the lock.
func (f *Follower) markCold(servers []platform.Server) {
	services := make(map[string]platform.Service)
	for _, s := range f.decodedConfig.Services {
		if s.ColdRate > 0 {
			services[s.Name] = s
		}
	}
	if len(services) == 0 {
		clear(f.cold)
		return
	}
	known := make(map[string]coldPeriod, len(servers))
	for n := range servers {
		s := &servers[n]
		service, ok := services[s.Service]
		if !ok {
			continue
		}
		period := f.coldPeriod(*s, service)
		known[s.ID] = period
		s.ColdSince, s.ColdUntil = period.since, period.until
	}
	f.cold = known
}

// coldPeriod returns the newest cold period of a server. The caller holds the lock.
func (f *Follower) coldPeriod(s platform.Server, service platform.Service) coldPeriod {
	period, known := f.cold[s.ID]
	entry, now := f.servers[s.ID], f.Now()
	until := period.until
	if entry.Version != period.version && s.ColdLeft > 0 {
		until = later(until, entry.mergedAt.Add(s.ColdLeft))
	}
	isNew := !known && f.view.Load() != nil
	if isNew || known && period.started != s.StartedMS {
		until = later(until, entry.mergedAt.Add(service.ColdTime))
	}
	if returned, ok := f.returnedAt[s.Zone]; ok {
		until = later(until, returned.Add(service.ColdTime))
	}
	if until.After(now) && !period.until.After(now) {
		period.since = now
		f.Record(event.Event{Code: event.ServerCold, Server: s.ID, Detail: fmt.Sprintf(
			"%s, %g requests/s for %v", s.Address, service.ColdRate, until.Sub(now).Round(time.Millisecond),
		)})
	}
	period.started, period.version, period.until = s.StartedMS, entry.Version, until
	return period
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ColdRate returns the requests per second that a server takes from all instances together while it is cold, and false if
// it is not.
func (v *View) ColdRate(id, address string, now time.Time) (float64, bool) {
	if !now.Before(v.coldUntil) {
		return 0, false
	}
	s, ok := v.servers[id]
	if !ok || s.Address != address || !now.Before(s.ColdUntil) {
		return 0, false
	}
	return v.services[s.Service].ColdRate, true
}
