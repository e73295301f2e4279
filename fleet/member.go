// Package fleet tracks the membership of instances. They probe each other, spread state changes with the probes, and
// mark a peer that no longer responds as gone.
package fleet

import (
	"time"

	"github.com/joomcode/errorx"
)

// State is the state of a member as known to this instance.
type State uint8

// States of a member. At the same heartbeat a later state in this list supersedes an earlier one.
const (
	Live    State = iota
	Leaving       // takes no new duties
	Suspect       // did not respond to a probe
	Gone          // does not respond, and has not left
	Left          // ended after leaving gracefully
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"live", "leaving", "suspect", "gone", "left"}[s]
}

// Member is an instance as its peers know it.
type Member struct {
	Name        string
	Zone        string
	Peer        string // address for calls from other instances
	Admin       string // address of the listener for operators
	Incarnation uint64 // increases with each start of the instance
	Heartbeat   uint64 // increases with each update by the instance itself
	State       State
}

// supersedes reports whether a is newer than b, both being updates on the same instance.
func (a Member) supersedes(b Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Heartbeat != b.Heartbeat {
		return a.Heartbeat > b.Heartbeat
	}
	return a.State > b.State
}

// Reachable reports whether the instance still responds to calls.
func (a Member) Reachable() bool { return a.State == Live || a.State == Leaving }

// stateOnly returns the member with only its name, incarnation, heartbeat and state.
func (a Member) stateOnly() Member {
	return Member{Name: a.Name, Incarnation: a.Incarnation, Heartbeat: a.Heartbeat, State: a.State}
}

// ended reports whether the instance is gone or has left.
func (a Member) ended() bool { return a.State == Gone || a.State == Left }

// hasNotLeft reports whether the incarnation of the member is known and it has not left.
func (a Member) hasNotLeft() bool { return a.Incarnation > 0 && a.State != Left }

// entry is a member with the times at which this instance learned of it.
type entry struct {
	member       Member
	suspectUntil time.Time // time after which a suspect is marked as gone
	updatedAt    time.Time // when the newest update of the member arrived
}

var (
	namespace     = errorx.NewNamespace("fleet")
	unknownMember = namespace.NewType("no_member")

	// ErrUnknownMember reports that the instance is not known.
	ErrUnknownMember = unknownMember.NewWithNoMessage()
)
