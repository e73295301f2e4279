package rule

import (
	"maps"
	"slices"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("rule")
	conflict  = namespace.NewType("conflict")

	// ErrConflict is returned if a rule in the set differs from the old rule of a difference.
	ErrConflict = conflict.NewWithNoMessage()
)

// Difference is one rule that was added, removed or changed.
type Difference struct {
	Old Line // without text if the rule was added
	New Line // without text if the rule was removed
}

// Line returns the new line, or the old one if the rule was removed.
func (d Difference) Line() Line {
	if d.New.Text == "" {
		return d.Old
	}
	return d.New
}

// Reverse returns the difference that reverses this one.
func (d Difference) Reverse() Difference { return Difference{Old: d.New, New: d.Old} }

// Diff returns the differences between two sets, sorted by kind and name.
func Diff(from, to *Set) []Difference {
	var out []Difference
	old, updated := from.lines, to.lines
	for len(old) > 0 || len(updated) > 0 {
		switch {
		case len(updated) == 0 || len(old) > 0 && compareLines(old[0], updated[0]) < 0:
			out = append(out, Difference{Old: old[0]})
			old = old[1:]
		case len(old) == 0 || compareLines(old[0], updated[0]) > 0:
			out = append(out, Difference{New: updated[0]})
			updated = updated[1:]
		default:
			if !old[0].equal(updated[0]) {
				out = append(out, Difference{Old: old[0], New: updated[0]})
			}
			old, updated = old[1:], updated[1:]
		}
	}
	return out
}

// Find returns the line with the given kind and name, or a line without text if there is none.
func (s *Set) Find(kind Kind, name string) Line {
	i, found := s.search(Line{Kind: kind, Name: name})
	if !found {
		return Line{}
	}
	return s.lines[i]
}

// Conflicts returns the number of differences whose old line differs from the line in the set.
func (s *Set) Conflicts(differences []Difference) int {
	n := 0
	for _, d := range differences {
		l := d.Line()
		if !s.Find(l.Kind, l.Name).equal(d.Old) {
			n++
		}
	}
	return n
}

// Apply returns the set that results from the differences, which must be in the order of Diff, and its problems.
// Accounts and keys, which are most of the rules, are copied without being checked again unless they changed.
func (s *Set) Apply(differences []Difference) (*Set, []Problem, error) {
	if n := s.Conflicts(differences); n > 0 {
		return nil, nil, conflict.New("rule: %d rules differ from those that the change starts from", n)
	}
	c := &checker{set: newSet(nil)}
	c.set.lines = s.mergedLines(differences)
	c.set.accounts = maps.Clone(s.accounts)
	c.set.keys = maps.Clone(s.keys)
	for _, d := range differences {
		switch d.Line().Kind {
		case KindAccount:
			delete(c.set.accounts, d.Old.Name)
		case KindKey:
			delete(c.set.keys, d.Old.Name)
		default:
			continue
		}
		c.set.addValue(d.New.value)
	}
	otherLines := c.set.linesExceptAccountsAndKeys()
	for _, line := range otherLines {
		c.set.addValue(line.value)
	}
	c.checkLines(otherLines)
	c.checkAccountAndKeyChanges(differences)
	c.checkChangeRulesComplete()
	sortProblems(c.problems)
	return c.set, c.problems, nil
}

// checkAccountAndKeyChanges checks the accounts and keys that are added or changed. If an account was removed, it also
// checks the accounts of all keys.
func (c *checker) checkAccountAndKeyChanges(differences []Difference) {
	accountRemoved := false
	for _, d := range differences {
		kind := d.Line().Kind
		if kind != KindAccount && kind != KindKey {
			continue
		}
		accountRemoved = accountRemoved || kind == KindAccount && d.New.Text == ""
		if d.New.Text != "" {
			c.checkLines([]Line{d.New})
		}
	}
	if !accountRemoved {
		return
	}
	for _, line := range c.set.lines {
		if k, ok := line.value.(*Key); ok {
			c.checkKeyAccount(line, k)
		}
	}
}

// linesExceptAccountsAndKeys returns the lines that are neither accounts nor keys.
func (s *Set) linesExceptAccountsAndKeys() []Line {
	var out []Line
	for i := 0; i < len(s.lines); {
		if kind := s.lines[i].Kind; kind == KindAccount || kind == KindKey {
			end, _ := s.search(Line{Kind: kind + "\x00"}) // index after the last line of the kind
			i = end
			continue
		}
		out = append(out, s.lines[i])
		i++
	}
	return out
}

// mergedLines returns the lines of the set with the differences applied.
func (s *Set) mergedLines(differences []Difference) []Line {
	lines := make([]Line, 0, len(s.lines)+len(differences))
	old := s.lines
	for _, d := range differences {
		position, _ := slices.BinarySearchFunc(old, d.Line(), compareLines)
		lines = append(lines, old[:position]...)
		old = old[position:]
		if d.Old.Text != "" {
			old = old[1:]
		}
		if d.New.Text != "" {
			lines = append(lines, d.New)
		}
	}
	return append(lines, old...)
}

// search returns the index of the line with the kind and name of the given one, or where it would be inserted.
func (s *Set) search(line Line) (int, bool) {
	return slices.BinarySearchFunc(s.lines, line, compareLines)
}
