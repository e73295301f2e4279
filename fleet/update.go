package fleet

import (
	"math/bits"
	"time"

	"teaselgate/event"
)

const (
	updatesPerMessage = 8
	repeatsMore       = 2 // an update is sent this many times more than log2 of the fleet's size
)

// update is a statement on a member that is still to be spread.
type update struct {
	member Member
	left   int // times it is still sent
}

// updateQueue holds the newest statement on each member.
type updateQueue struct {
	updates []update
}

func (q *updateQueue) add(m Member, fleetSize int) {
	q.remove(m.Name)
	q.updates = append(q.updates, update{m, bits.Len(uint(fleetSize)) + repeatsMore})
}

func (q *updateQueue) remove(name string) {
	for i, u := range q.updates {
		if u.member.Name == name {
			q.updates = append(q.updates[:i], q.updates[i+1:]...)
			return
		}
	}
}

// next returns the statements for one message, newest first.
func (q *updateQueue) next() []Member {
	var out []Member
	for i := len(q.updates) - 1; i >= 0 && len(out) < updatesPerMessage; i-- {
		out = append(out, q.updates[i].member)
		q.updates[i].left--
	}
	kept := q.updates[:0]
	for _, u := range q.updates {
		if u.left > 0 {
			kept = append(kept, u)
		}
	}
	q.updates = kept
	return out
}

// merge takes in statements of a peer.
func (f *Fleet) merge(members []Member) {
	for _, m := range members {
		f.mergeOne(m)
	}
}

func (f *Fleet) mergeOne(m Member) {
	f.mu.Lock()
	if m.Name == f.Self.Name {
		f.refute(m)
		f.mu.Unlock()
		return
	}
	old, known := f.members[m.Name]
	if known && !m.newer(old.member) || !known && m.ended() {
		f.mu.Unlock()
		return
	}
	changed := !known || old.member.State != m.State || old.member.Incarnation != m.Incarnation
	if m.State == Gone || known && m.Incarnation > old.member.Incarnation && old.member.unfinished() {
		f.lost = f.Now()
	}
	f.members[m.Name] = &entry{member: m, suspect: f.Now().Add(suspectTimeout), since: f.Now()}
	f.updates.add(m, len(f.members))
	f.mu.Unlock()
	if changed {
		f.Record(event.Event{Code: event.MemberStateChanged, Server: m.Name, Detail: m.State.String()})
	}
}

// forget drops members that are gone or have left, once the platform does not name them any more.
func (f *Fleet) forget(named map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, e := range f.members {
		if e.member.ended() && !named[name] {
			delete(f.members, name)
		}
	}
}

// refute answers a statement of others on this instance; the caller holds the lock.
func (f *Fleet) refute(m Member) {
	if m.Incarnation != f.Self.Incarnation || !m.newer(f.Self) {
		return
	}
	f.Self.Heartbeat = m.Heartbeat + 1
	f.updates.add(f.Self, len(f.members))
}

// expire takes suspects whose time is over for gone.
func (f *Fleet) expire(now time.Time) {
	f.mu.Lock()
	var gone []Member
	for _, e := range f.members {
		if e.member.State == Suspect && now.After(e.suspect) {
			m := e.member
			m.State = Gone
			gone = append(gone, m)
		}
	}
	f.mu.Unlock()
	f.merge(gone)
}
