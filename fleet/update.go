package fleet

import (
	"math/bits"
	"time"

	"teaselgate/event"
)

const (
	updatesPerMessage = 8 // largest number of updates in one message
	extraSends        = 2 // sends of an update beyond the number of bits of the fleet's size
)

// update is the state of a member that is still to be sent to peers.
type update struct {
	member    Member
	sendsLeft int // number of sends that remain
}

// updateQueue holds the newest update of each member that is still to be sent.
type updateQueue struct {
	updates []update
}

func (q *updateQueue) add(m Member, fleetSize int) {
	q.remove(m.Name)
	q.updates = append(q.updates, update{m, bits.Len(uint(fleetSize)) + extraSends})
}

func (q *updateQueue) remove(name string) {
	for i, u := range q.updates {
		if u.member.Name == name {
			q.updates = append(q.updates[:i], q.updates[i+1:]...)
			return
		}
	}
}

// next returns the updates for one message, newest first, and counts them as sent.
func (q *updateQueue) next() []Member {
	var out []Member
	for i := len(q.updates) - 1; i >= 0 && len(out) < updatesPerMessage; i-- {
		out = append(out, q.updates[i].member)
		q.updates[i].sendsLeft--
	}
	kept := q.updates[:0]
	for _, u := range q.updates {
		if u.sendsLeft > 0 {
			kept = append(kept, u)
		}
	}
	q.updates = kept
	return out
}

// merge applies updates from a peer.
func (f *Fleet) merge(members []Member) {
	for _, m := range members {
		f.mergeMember(m)
	}
}

// mergeMember applies an update unless the known one is at least as new, or it shows an unknown member as gone or left.
// An update on this instance itself may be refuted.
func (f *Fleet) mergeMember(m Member) {
	f.mu.Lock()
	if m.Name == f.Self.Name {
		f.refute(m)
		f.mu.Unlock()
		return
	}
	old, known := f.members[m.Name]
	if known && !m.supersedes(old.member) || !known && m.ended() {
		f.mu.Unlock()
		return
	}
	changed := !known || old.member.State != m.State || old.member.Incarnation != m.Incarnation
	// An incarnation that is replaced without having left has failed.
	if m.State == Gone || known && m.Incarnation > old.member.Incarnation && old.member.hasNotLeft() {
		f.memberFailedAt = f.Now()
	}
	f.members[m.Name] = &entry{member: m, suspectUntil: f.Now().Add(suspectTimeout), updatedAt: f.Now()}
	f.updates.add(m, len(f.members))
	f.mu.Unlock()
	if changed {
		f.Record(event.Event{Code: event.MemberStateChanged, Server: m.Name, Detail: m.State.String()})
	}
}

// removeEnded removes members that are gone or have left and that the platform store no longer lists.
func (f *Fleet) removeEnded(listed map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, e := range f.members {
		if e.member.ended() && !listed[name] {
			delete(f.members, name)
		}
	}
}

// refute supersedes an update by others on this instance with a higher heartbeat. The caller holds the lock.
func (f *Fleet) refute(m Member) {
	if m.Incarnation != f.Self.Incarnation || !m.supersedes(f.Self) {
		return
	}
	f.Self.Heartbeat = m.Heartbeat + 1
	f.updates.add(f.Self, len(f.members))
}

// expireSuspects marks suspects as gone once their time is over.
func (f *Fleet) expireSuspects(now time.Time) {
	f.mu.Lock()
	var gone []Member
	for _, e := range f.members {
		if e.member.State == Suspect && now.After(e.suspectUntil) {
			m := e.member
			m.State = Gone
			gone = append(gone, m)
		}
	}
	f.mu.Unlock()
	f.merge(gone)
}
