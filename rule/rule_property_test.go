package rule

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawRules returns a random rules file. If valid is false, it may have dangling references and invalid values.
func drawRules(t *rapid.T, label string, valid bool) string {
	var text strings.Builder
	minRate := 0
	if valid {
		minRate = 1
	}
	for n := range 4 {
		path := n
		if !valid {
			path = rapid.IntRange(0, 3).Draw(t, "path")
		}
		if rapid.Bool().Draw(t, fmt.Sprintf("%s account %d", label, n)) || valid {
			fmt.Fprintf(&text, "- {account: a%d, rate: %d, burst: 1} # m: x\n", n, rapid.IntRange(minRate, 2).Draw(t, "rate"))
		}
		if rapid.Bool().Draw(t, fmt.Sprintf("%s key %d", label, n)) {
			fmt.Fprintf(&text, "- {key: \"sha256:%064d\", account: a%d} # m: x\n", n, rapid.IntRange(0, 3).Draw(t, "key account"))
		}
		if rapid.Bool().Draw(t, fmt.Sprintf("%s pool %d", label, n)) || valid {
			fmt.Fprintf(&text, "- {pool: p%d, duty: plain, slots: 1} # m: x\n", n)
		}
		if rapid.Bool().Draw(t, fmt.Sprintf("%s route %d", label, n)) {
			fmt.Fprintf(&text, "- {route: r%d, path: /%d, pool: p%d} # m: x\n", n, path, rapid.IntRange(0, 3).Draw(t, "pool"))
		}
	}
	return text.String()
}

// TestApplyMatchesParse checks that applying the differences between two files gives the same set as parsing the
// second file, and has problems exactly if the second file has.
func TestApplyMatchesParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, problems := Parse("", []byte(drawRules(t, "from", true)))
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		text := drawRules(t, "to", rapid.Bool().Draw(t, "valid"))
		to, wantProblems := Parse("", []byte(text))
		got, gotProblems, err := from.Apply(Diff(from, to))
		if err != nil {
			t.Fatal(err)
		}
		if len(gotProblems) == 0 != (len(wantProblems) == 0) {
			t.Fatalf("unexpected problems, got %v instead of %v", gotProblems, wantProblems)
		}
		if len(wantProblems) > 0 {
			return
		}
		got.lines, to.lines = nil, nil
		if !reflect.DeepEqual(got, to) {
			t.Fatalf("unexpected set, got %+v instead of %+v", got, to)
		}
	})
}
