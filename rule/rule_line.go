package rule

import (
	"cmp"
	"strings"
)

// Line is one rule as written. Its typed value is shared and must not be changed.
type Line struct {
	Kind   Kind
	Name   string
	Text   string // the flow mapping without the comment
	Reason string // the comment: who asked, and why
	Number int    // line in its file, from 1; 0 if the rule does not come from a file

	value any // pointer to the struct of the kind
}

// ID names the rule among all others.
func (l Line) ID() string { return string(l.Kind) + " " + l.Name }

// String returns the line as it stands in a rules file.
func (l Line) String() string { return "- " + l.Text + "   # " + l.Reason }

// equal tells whether two lines say the same for the same reason.
func (l Line) equal(other Line) bool { return l.Text == other.Text && l.Reason == other.Reason }

// compareLines orders lines by kind and name.
func compareLines(a, b Line) int {
	if a.Kind != b.Kind {
		return strings.Compare(string(a.Kind), string(b.Kind))
	}
	return cmp.Compare(a.Name, b.Name)
}

// newValue returns a pointer to an empty struct of the kind, or nil if there is no such kind.
func newValue(kind Kind) any {
	switch kind {
	case KindFleet:
		return new(Fleet)
	case KindOperator:
		return new(Operator)
	case KindChange:
		return new(Change)
	case KindPool:
		return new(Pool)
	case KindModel:
		return new(Model)
	case KindServer:
		return new(Server)
	case KindRoute:
		return new(Route)
	case KindAccount:
		return new(Account)
	case KindKey:
		return new(Key)
	}
	return nil
}

// nameFromValue returns the name of a rule's struct.
func nameFromValue(value any) string {
	switch v := value.(type) {
	case *Fleet:
		return v.Fleet
	case *Operator:
		return v.Operator
	case *Change:
		return string(v.Change)
	case *Pool:
		return v.Pool
	case *Model:
		return v.Model
	case *Server:
		return v.Server
	case *Route:
		return v.Route
	case *Account:
		return v.Account
	case *Key:
		return v.Key
	}
	return ""
}

// addValue adds a rule's struct with the defaults of its kind.
func (s *Set) addValue(value any) {
	switch v := value.(type) {
	case *Fleet:
		s.fleet = *v
		setDefault(&s.fleet.Shards, defaultShards)
	case *Operator:
		s.operators[v.Operator] = *v
	case *Change:
		s.changes[v.Change] = *v
	case *Pool:
		s.pools[v.Pool] = *v
	case *Model:
		m := *v
		setDefault(&m.Place, PlacementCell)
		setDefault(&m.First, DefaultFirstTokenTarget)
		setDefault(&m.Between, DefaultTokenIntervalTarget)
		setDefault(&m.Wait, DefaultSummaryWait)
		s.models[m.Model] = m
	case *Server:
		s.servers = append(s.servers, serverWithDefaults(*v))
	case *Route:
		s.routes = append(s.routes, routeWithDefaults(*v))
	case *Account:
		a := *v
		setDefault(&a.Weight, 1)
		s.accounts[a.Account] = a
	case *Key:
		s.keys[v.Key] = *v
	}
}

func serverWithDefaults(s Server) Server {
	setDefault(&s.State, ServerLive)
	return s
}

func routeWithDefaults(r Route) Route {
	setDefault(&r.Calls, Idempotent)
	setDefault(&r.Open, OpenNo)
	setDefault(&r.Class, ClassInteractive)
	setDefault(&r.Outage, OutageRefuse)
	return r
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
