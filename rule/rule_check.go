package rule

import (
	"fmt"
	"slices"
)

// Default and highest number of allowance shards.
const (
	defaultShards = 16
	maxShards     = 4096
)

// checker checks the rules of a set and collects their problems.
type checker struct {
	set      *Set
	problems []Problem
}

// Build returns the set of rules in the given lines and the problems found: repeated rules, dangling references,
// invalid values and missing change rules.
func Build(lines []Line) (*Set, []Problem) {
	lines = slices.Clone(lines)
	slices.SortFunc(lines, func(a, b Line) int {
		if c := compareLines(a, b); c != 0 {
			return c
		}
		return a.Number - b.Number
	})
	c := &checker{set: newSet(lines)}
	unique := lines[:0]
	for _, line := range lines {
		if n := len(unique); n > 0 && compareLines(unique[n-1], line) == 0 {
			c.addProblem(line, string(line.Kind), "%s is already defined in line %d", line.ID(), unique[n-1].Number)
			continue
		}
		unique = append(unique, line)
	}
	c.set.lines = unique
	for _, line := range unique {
		c.set.addValue(line.value)
	}
	c.checkLines(unique)
	c.checkChangeRulesComplete()
	sortProblems(c.problems)
	return c.set, c.problems
}

// newSet returns an empty set with room for the rules of the lines.
func newSet(lines []Line) *Set {
	counts := make(map[Kind]int)
	for _, line := range lines {
		counts[line.Kind]++
	}
	return &Set{
		operators: make(map[string]Operator, counts[KindOperator]),
		changes:   make(map[Kind]Change, counts[KindChange]),
		pools:     make(map[string]Pool, counts[KindPool]),
		models:    make(map[string]Model, counts[KindModel]),
		accounts:  make(map[string]Account, counts[KindAccount]),
		keys:      make(map[string]Key, counts[KindKey]),
		servers:   make([]Server, 0, counts[KindServer]),
		routes:    make([]Route, 0, counts[KindRoute]),
		evacuated: make(map[string]bool, counts[KindEvacuate]),
	}
}

// addProblem records a problem at the position of a field of a line.
func (c *checker) addProblem(line Line, field, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		Line:   line.Number,
		Column: line.fieldColumn(field),
		Text:   fmt.Sprintf(format, args...),
	})
}

// checkLines checks the values and references of the given rules, which are already in the set.
func (c *checker) checkLines(lines []Line) {
	paths := make(map[string]Line)
	var fleetLine *Line
	for _, line := range lines {
		switch v := line.value.(type) {
		case *Fleet:
			c.checkFleet(line, fleetLine)
			fleetLine = &line
		case *Operator:
			c.checkOperator(line, v)
		case *Change:
			c.checkChange(line, v)
		case *Pool:
			c.checkPool(line, v)
		case *Model:
			c.checkModel(line, c.set.models[line.Name])
		case *Server:
			c.checkServer(line, serverWithDefaults(*v))
		case *Route:
			c.checkRoute(line, routeWithDefaults(*v), paths)
		case *Account:
			c.checkAccount(line, c.set.accounts[line.Name])
		case *Key:
			c.checkKey(line, v)
		case *Evacuation:
			c.checkEvacuation(line, v)
		}
	}
}
