package registry

import (
	"fmt"
	"time"

	"teaselgate/event"
	"teaselgate/platform"
)

// evacuationHold is how long the known state of an evacuation outlasts a restore of the store from an older copy that says
// otherwise. The operator has this time to repeat what was lost.
const evacuationHold = time.Minute

// Evacuation is the newest statement on the evacuation of an availability zone.
type Evacuation struct {
	Version platform.Version // version of the newest change
	Asked   platform.Version // version of the operator's newest request
	Ended   bool             // whether the operator has taken the request back
}

// evacuationSet holds the statements on evacuations, by availability zone. Ends are kept for the life of the process: there
// are few zones, and an older statement of a peer must not bring an evacuation back.
type evacuationSet struct {
	zones  map[string]Evacuation
	listed platform.Version     // version of the newest complete list; 0 until there is one
	holds  map[string]time.Time // end of the hold of a state that a restored store contradicts, by zone
}

func newEvacuationSet() evacuationSet {
	return evacuationSet{zones: make(map[string]Evacuation), holds: make(map[string]time.Time)}
}

// inForce reports whether a zone is evacuated.
func (s *evacuationSet) inForce(zone string) bool {
	e, ok := s.zones[zone]
	return ok && !e.Ended
}

// list returns the evacuated zones.
func (s *evacuationSet) list() map[string]bool {
	out := make(map[string]bool)
	for zone, e := range s.zones {
		if !e.Ended {
			out[zone] = true
		}
	}
	return out
}

// merge takes a statement that is newer than the known one, and reports whether it did. A request that is not newer than a
// complete list of the same era which lacked it has ended since.
func (s *evacuationSet) merge(zone string, e Evacuation) bool {
	old, known := s.zones[zone]
	switch {
	case known && e.Version <= old.Version:
		return false
	case !known && !e.Ended && e.Version <= s.listed && e.Version.Era() == s.listed.Era():
		return false
	}
	s.zones[zone] = e
	delete(s.holds, zone)
	return true
}

// contradicts reports whether a statement of a restored store comes from the copy rather than from the operator: it lacks a
// request in force, or has one again that was taken back.
func (s *evacuationSet) contradicts(zone string, e Evacuation) bool {
	old, known := s.zones[zone]
	if !known || e.Version.Era() <= old.Version.Era() || e.Ended == old.Ended {
		return false
	}
	return e.Ended || e.Asked.Revision() == old.Asked.Revision()
}

// hold reports whether the known state of a zone outlasts the store's statement, and whether the hold has just begun.
func (s *evacuationSet) hold(zone string, now time.Time) (held, begun bool) {
	until, ok := s.holds[zone]
	if !ok {
		s.holds[zone] = now.Add(evacuationHold)
		return true, true
	}
	return now.Before(until), false
}

// mergeEvacuations merges a list of the store, and reports whether anything changed. The caller holds the lock.
func (f *Follower) mergeEvacuations(list platform.List, complete bool) bool {
	changed := complete && f.evacuations.listed == 0
	last := lastChanges(list)
	for n, o := range list.Objects {
		if n < last[o.Name] {
			continue
		}
		e := Evacuation{Version: o.Version, Asked: o.Version}
		if o.Deleted {
			e = Evacuation{Version: max(o.Version, list.Version), Asked: f.evacuations.zones[o.Name].Asked, Ended: true}
		}
		changed = f.mergeStoredEvacuation(o.Name, e) || changed
	}
	if !complete {
		return changed
	}
	for zone, e := range f.evacuations.zones {
		if _, listed := last[zone]; !listed && !e.Ended {
			changed = f.mergeStoredEvacuation(zone, Evacuation{Version: list.Version, Asked: e.Asked, Ended: true}) || changed
		}
	}
	f.evacuations.listed = max(f.evacuations.listed, list.Version)
	return changed
}

// mergeStoredEvacuation merges a statement of the store, and reports whether it did. The caller holds the lock.
func (f *Follower) mergeStoredEvacuation(zone string, e Evacuation) bool {
	if f.evacuations.contradicts(zone, e) {
		held, begun := f.evacuations.hold(zone, f.Now())
		if begun {
			f.Record(event.Event{Code: event.EvacuationHeld, Detail: fmt.Sprintf(
				"zone %s, evacuated %v until %v from now", zone, f.evacuations.inForce(zone), evacuationHold,
			)})
		}
		if held {
			return false
		}
	}
	return f.mergeEvacuation(zone, e)
}

// mergeEvacuation merges a statement of a peer, or one of the store that is not held, and reports whether it did. The caller
// holds the lock.
func (f *Follower) mergeEvacuation(zone string, e Evacuation) bool {
	before := f.evacuations.inForce(zone)
	if !f.evacuations.merge(zone, e) {
		return false
	}
	f.version = max(f.version, e.Version)
	switch after := f.evacuations.inForce(zone); {
	case after && !before:
		f.Record(event.Event{Code: event.ZoneEvacuated, Detail: fmt.Sprintf("zone %s, version %v", zone, e.Version)})
	case before && !after:
		f.returnedAt[zone] = f.Now()
		f.Record(event.Event{Code: event.ZoneReturned, Detail: fmt.Sprintf("zone %s, version %v", zone, e.Version)})
	}
	return true
}

// newerEvacuations returns the statements that are newer than the given versions. The caller holds the lock.
func (f *Follower) newerEvacuations(known map[string]platform.Version) map[string]Evacuation {
	var out map[string]Evacuation
	for zone, e := range f.evacuations.zones {
		if e.Version <= known[zone] {
			continue
		}
		if out == nil {
			out = make(map[string]Evacuation)
		}
		out[zone] = e
	}
	return out
}

// mergeFetchedEvacuations merges what a peer knows of evacuations, and reports whether anything changed. The caller holds
// the lock.
func (f *Follower) mergeFetchedEvacuations(statements map[string]Evacuation, listed platform.Version) bool {
	changed := f.evacuations.listed == 0 && listed > 0
	for zone, e := range statements {
		changed = f.mergeEvacuation(zone, e) || changed
	}
	f.evacuations.listed = max(f.evacuations.listed, listed)
	return changed
}

// Evacuated returns the availability zones whose evacuation is in force at this instance.
func (f *Follower) Evacuated() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations.list()
}
