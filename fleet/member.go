// Package fleet knows the instances: which are live, leaving or gone.
package fleet

import (
	"time"

	"github.com/joomcode/errorx"
)

// State is an instance's state as known here.
type State uint8

// The states of a member, in the order in which one replaces another at the same heartbeat.
const (
	Live State = iota
	Leaving
	Suspect
	Gone // silent, without having left
	Left // ended after a graceful leave
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"live", "leaving", "suspect", "gone", "left"}[s]
}

// Member is one instance.
type Member struct {
	Name        string
	Zone        string
	Peer        string // address for calls between instances
	Admin       string // address of the operators' listener
	Incarnation uint64 // rises with each start of the instance
	Heartbeat   uint64 // rises when the instance states something new of itself
	State       State
}

// newer tells whether a replaces b: two statements on one instance.
func (a Member) newer(b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Heartbeat != b.Heartbeat {
		return a.Heartbeat > b.Heartbeat
	}
	return a.State > b.State
}

// Reachable tells whether the instance still answers calls.
func (a Member) Reachable() bool { return a.State == Live || a.State == Leaving }

// statement returns the member without its addresses.
func (a Member) statement() Member {
	return Member{Name: a.Name, Incarnation: a.Incarnation, Heartbeat: a.Heartbeat, State: a.State}
}

// ended tells whether the instance is taken to answer no calls any more.
func (a Member) ended() bool { return a.State == Gone || a.State == Left }

// unfinished tells whether the instance is known by a statement of its own and has not said that it left.
func (a Member) unfinished() bool { return a.Incarnation > 0 && a.State != Left }

// entry is a member with what this instance itself saw of it.
type entry struct {
	member  Member
	suspect time.Time // when a suspect is taken for gone
	since   time.Time // when the member's newest statement came
}

var (
	namespace = errorx.NewNamespace("fleet")
	noMember  = namespace.NewType("no_member")

	// ErrUnknownMember says that the instance is not known.
	ErrUnknownMember = noMember.NewWithNoMessage()
)
