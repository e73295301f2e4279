package rule

import (
	"slices"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("rule")
	conflict  = namespace.NewType("conflict")

	// ErrConflict says that a rule is not what a difference starts from.
	ErrConflict = conflict.NewWithNoMessage()
)

// Difference is one rule that was added, removed or changed. A line without text stands for no rule.
type Difference struct {
	Old Line
	New Line
}

// Line returns the line that remains, or else the one that goes.
func (d Difference) Line() Line {
	if d.New.Text == "" {
		return d.Old
	}
	return d.New
}

// Reverse returns the difference that undoes this one.
func (d Difference) Reverse() Difference { return Difference{Old: d.New, New: d.Old} }

// Diff lists the differences between two sets by kind and name.
func Diff(from, to *Set) []Difference {
	var out []Difference
	a, b := from.lines, to.lines
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && compareLines(a[0], b[0]) < 0:
			out = append(out, Difference{Old: a[0]})
			a = a[1:]
		case len(a) == 0 || compareLines(a[0], b[0]) > 0:
			out = append(out, Difference{New: b[0]})
			b = b[1:]
		default:
			if !a[0].same(b[0]) {
				out = append(out, Difference{Old: a[0], New: b[0]})
			}
			a, b = a[1:], b[1:]
		}
	}
	return out
}

// Find returns the line of a kind and name, or one without text.
func (s *Set) Find(kind Kind, name string) Line {
	i, found := s.search(Line{Kind: kind, Name: name})
	if !found {
		return Line{}
	}
	return s.lines[i]
}

// Conflicts counts the differences that do not start from what the set holds.
func (s *Set) Conflicts(differences []Difference) int {
	n := 0
	for _, d := range differences {
		l := d.Line()
		if !s.Find(l.Kind, l.Name).same(d.Old) {
			n++
		}
	}
	return n
}

// Apply returns the set with the differences, which are in the order of Diff, and its problems.
func (s *Set) Apply(differences []Difference) (*Set, []Problem, error) {
	if n := s.Conflicts(differences); n > 0 {
		return nil, nil, conflict.New("rule: %d rules are not what the change starts from", n)
	}
	lines := make([]Line, 0, len(s.lines)+len(differences))
	old := s.lines
	for _, d := range differences {
		at := 0
		for at < len(old) && compareLines(old[at], d.Line()) < 0 {
			at++
		}
		lines = append(lines, old[:at]...)
		old = old[at:]
		if d.Old.Text != "" {
			old = old[1:]
		}
		if d.New.Text != "" {
			lines = append(lines, d.New)
		}
	}
	next, problems := Build(append(lines, old...))
	return next, problems, nil
}

func (s *Set) search(line Line) (int, bool) {
	return slices.BinarySearchFunc(s.lines, line, compareLines)
}
