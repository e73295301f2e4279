package order

import (
	"maps"

	"teaselgate/rule"
)

// GroupRecordKind is the kind of the platform's objects that hold records.
const GroupRecordKind = "role"

// Step is how far the role change of a server is.
type Step string

// The steps of a role change.
const (
	StepNone  Step = ""      // at rest in its pool
	StepDrain Step = "drain" // takes no new work
	StepOrder Step = "order" // the order may have been sent; there is no way back but another change
)

// Move says where a server stands that has left the pool of its rule, or is about to.
type Move struct {
	From string `json:"from"` // pool of the rule
	Pool string `json:"pool"` // pool in which it stands
	To   string `json:"to,omitempty"`
	Step Step   `json:"step,omitempty"`
}

// GroupRecord is the platform's object on one group of pools. Servers that are absent stand as the rules say.
type GroupRecord struct {
	Fence uint64            `json:"fence"` // of the last writer
	Moves map[string]Move   `json:"moves,omitempty"`
	Loads map[string]string `json:"loads,omitempty"` // what each server was last ordered to load
}

// clone returns a copy that can be changed.
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

// moving returns the server whose role change is under way.
func (r GroupRecord) moving() (string, bool) {
	for server, m := range r.Moves {
		if m.Step != StepNone {
			return server, true
		}
	}
	return "", false
}

// apply puts a server where its record says. The rules win: a server whose rule has changed since stands as it says.
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
