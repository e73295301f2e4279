package order

import (
	"maps"

	"teaselgate/rule"
)

// GroupRecordKind is the kind of the stored objects that hold group records.
const GroupRecordKind = "role"

// Step is the progress of a server's role change.
type Step string

// The steps of a role change.
const (
	StepNone  Step = ""      // no role change under way
	StepDrain Step = "drain" // the server takes no new work and finishes its requests
	StepOrder Step = "order" // the order may have been sent, so only a changed rule cancels the change
)

// Move is the place of a server that has left, or is about to leave, the pool of its rule.
type Move struct {
	From string `json:"from"`         // pool that the rule names
	Pool string `json:"pool"`         // pool that the server is in
	To   string `json:"to,omitempty"` // pool that it is moving to
	Step Step   `json:"step,omitempty"`
}

// GroupRecord is the stored state of one group of pools. A server without a move is in the pool of its rule.
type GroupRecord struct {
	Fence uint64            `json:"fence"`           // fencing number of the last writer
	Moves map[string]Move   `json:"moves,omitempty"` // by server
	Loads map[string]string `json:"loads,omitempty"` // last ordered model, version and adapter by server
}

// clone returns a copy whose maps are not nil and can be changed.
func (r GroupRecord) clone() GroupRecord {
	c := GroupRecord{Fence: r.Fence, Moves: maps.Clone(r.Moves), Loads: maps.Clone(r.Loads)}
	if c.Moves == nil {
		c.Moves = make(map[string]Move)
	}
	if c.Loads == nil {
		c.Loads = make(map[string]string)
	}
	return c
}

// movingServer returns the name of the server whose role change is under way.
func (r GroupRecord) movingServer() (string, bool) {
	for server, m := range r.Moves {
		if m.Step != StepNone {
			return server, true
		}
	}
	return "", false
}

// apply puts a server in the pool of its move, and marks it as leaving while its role change is under way. A rule that
// has changed since the move takes precedence.
func (r GroupRecord) apply(s rule.Server) rule.Server {
	m, ok := r.Moves[s.Server]
	if !ok || m.From != s.Pool {
		return s
	}
	s.Pool = m.Pool
	if m.Step != StepNone {
		s.State = rule.ServerLeaving
	}
	return s
}
