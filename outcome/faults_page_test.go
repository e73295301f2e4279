package outcome_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const faultsHead = `# Faults

Every fault at every step of each kind of call. The tables are written from the test that runs them
(` + "`go test -run 'TestFault' ./outcome`" + `; ` + "`-update`" + ` writes this page anew). Each cell is run over loopback HTTP against
the stand-ins: the fault is triggered by a hook in the stand-in when the call reaches the step, never by time. After each
cell the test checks that no answer is wrong, that a once call ran at most once and exactly once if it was confirmed,
that a not-run refusal is true, that no engine holds memory, and that no key reached a backend server.

What the caller saw: **whole** (the whole answer), **replayed** (the stored answer of the same run), **not-run**,
**unknown** (true refusals), **broken** (visibly: an error event or a connection that ended before its answer),
**passed** (the service's own refusal), **gone** (the caller itself went away). A once call with a key shows two: the
call, and a repeat through another instance after the fault. "a or b": either may come first. A number names the reason
why the cell can't occur.
`

func faultsPage() string {
	var page strings.Builder
	page.WriteString(faultsHead)
	for _, k := range kinds {
		fmt.Fprintf(&page, "\n## %s\n\n| fault | %s |\n|---|%s\n", k, strings.Join(kindSteps[k], " | "),
			strings.Repeat("---|", len(kindSteps[k])))
		for _, r := range matrix {
			cells := strings.ReplaceAll(strings.Join(strings.Fields(r.cells[k]), ","), "|", " or ")
			fmt.Fprintf(&page, "| %s | %s |\n", r.fault, strings.ReplaceAll(cells, ",", " | "))
		}
	}
	page.WriteString("\n## Reasons\n\n")
	for n := range len(reasons) {
		fmt.Fprintf(&page, "%d. %s\n", n+1, reasons[strconv.Itoa(n+1)])
	}
	page.WriteString("\n## Two faults\n\n| faults | kind of call | step | caller saw |\n|---|---|---|---|\n")
	for _, p := range pairs {
		fmt.Fprintf(&page, "| %s | %s | %s | %s |\n", p.faults, p.kind, p.step, strings.ReplaceAll(p.want, "|", " or "))
	}
	page.WriteString(faultsTail)
	return page.String()
}

const faultsTail = `
## Faults met elsewhere

Operators racing each other, and a configuration that reverts, are met by the tests of config; a keeper's lapsed lease
by those of allowance; racing orders to engines by those of order. A call sees one revision of the rules throughout.
A caller that stops reading is met by TestSilentCallerIsBounded.
`

func TestFaultPageIsCurrent(t *testing.T) {
	for _, r := range matrix {
		for _, k := range kinds {
			for _, cell := range strings.Fields(r.cells[k]) {
				if _, err := strconv.Atoi(cell); err == nil && reasons[cell] == "" {
					t.Errorf("unexpected reason %s in %q", cell, r.fault)
				}
			}
		}
	}
	if !slices.Contains(kinds, keyed) {
		t.Error("unexpected kinds, a kind of call is missing")
	}
	page := goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md"))
	page.Assert(t, "FAULTS", []byte(faultsPage()))
}
