package rule

import (
	"cmp"
	"strings"
)

// Line is one line of a rules file. Copies of a line share its value, which must not be changed.
type Line struct {
	Kind   Kind
	Name   string
	Text   string // YAML flow mapping without the comment
	Reason string // comment: who asked for the rule, and why
	Number int    // line number in the file, from 1; 0 if the line does not come from a file

	value any // pointer to the struct of the kind, such as *Pool
}

// ID returns the kind and name of the rule, which are unique in a set.
func (l Line) ID() string { return string(l.Kind) + " " + l.Name }

// String returns the line in the format of a rules file.
func (l Line) String() string { return "- " + l.Text + "   # " + l.Reason }

// equal reports whether two lines have the same text and the same comment.
func (l Line) equal(other Line) bool { return l.Text == other.Text && l.Reason == other.Reason }

// compareLines orders lines by kind and name.
func compareLines(a, b Line) int {
	if a.Kind != b.Kind {
		return strings.Compare(string(a.Kind), string(b.Kind))
	}
	return cmp.Compare(a.Name, b.Name)
}

// newValue returns a pointer to a zero struct of the kind, or nil for an unknown kind.
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
	case KindEvacuate:
		return new(Evacuation)
	}
	return nil
}

// nameFromValue returns the name in a rule's struct.
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
	case *Evacuation:
		return v.Evacuate
	}
	return ""
}

// addValue adds a rule's struct to the set, with the defaults of its kind for zero fields. Evacuations must be added before
// servers, as they are in the order of lines.
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
		server := serverWithDefaults(*v)
		if s.evacuated[server.Zone] && server.State == ServerLive {
			server.State = ServerEvacuated
		}
		s.servers = append(s.servers, server)
	case *Route:
		s.routes = append(s.routes, routeWithDefaults(*v))
	case *Account:
		a := *v
		setDefault(&a.Weight, 1)
		s.accounts[a.Account] = a
	case *Key:
		s.keys[v.Key] = *v
	case *Evacuation:
		s.evacuated[v.Evacuate] = true
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
