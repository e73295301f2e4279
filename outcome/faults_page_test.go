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

Every fault at every step of each kind of request. The tables are generated from the test that runs them
(` + "`go test -run 'TestFault' ./outcome`" + `; ` + "`-update`" +
	` rewrites this page). Each cell is run over loopback HTTP against
stand-ins of the backend servers and the platform. A hook in the stand-in injects the fault when the request reaches the
step, never after a time. After each cell the test checks that no response is wrong, that an at-most-once request ran at
most once, and exactly once if it was confirmed, that a request refused as not-run did not run, that no engine holds
memory for an attempt, and that no API key reached a backend server.

What the caller saw: **whole** (the complete response), **replayed** (the stored response of the same run), **not-run**,
**unknown**, **ran** (refusals with these outcomes), **broken** (an error, or a connection that ended before the
response did), **passed** (an error response of the service), **gone** (the caller disconnected). An at-most-once
request with a key shows two results: that of the request, and that of a retry through another instance after the fault.
With "a or b", either can occur. A number gives the reason why the fault can't occur at that step.
`

// faultsPage returns the page that lists the expected results.
func faultsPage() string {
	var page strings.Builder
	page.WriteString(faultsHead)
	for _, k := range requestKinds {
		fmt.Fprintf(&page, "\n## %s\n\n| fault | %s |\n|---|%s\n", k, strings.Join(stepsByKind[k], " | "),
			strings.Repeat("---|", len(stepsByKind[k])))
		for _, r := range faultRows {
			cells := strings.ReplaceAll(strings.Join(strings.Fields(r.cells[k]), ","), "|", " or ")
			fmt.Fprintf(&page, "| %s | %s |\n", r.fault, strings.ReplaceAll(cells, ",", " | "))
		}
	}
	page.WriteString("\n## Reasons\n\n")
	for n := range len(inapplicableReasons) {
		fmt.Fprintf(&page, "%d. %s\n", n+1, inapplicableReasons[strconv.Itoa(n+1)])
	}
	page.WriteString("\n## Two faults\n\n| faults | kind of request | step | caller saw |\n|---|---|---|---|\n")
	for _, p := range faultPairs {
		fmt.Fprintf(&page, "| %s | %s | %s | %s |\n",
			p.faults, p.requestKind, p.step, strings.ReplaceAll(p.want, "|", " or "))
	}
	page.WriteString(faultsTail)
	return page.String()
}

const faultsTail = `
## Faults tested elsewhere

Operators who race each other, and a configuration that is reverted, are tested in config; an owner of a shard whose
lease expires in allowance; racing orders to engines in order. A request sees one revision of the rules throughout. A
caller that stops reading is tested by TestStalledCallerReleasesEngine.
`

func TestFaultPageIsCurrent(t *testing.T) {
	for _, r := range faultRows {
		for _, k := range requestKinds {
			for _, cell := range strings.Fields(r.cells[k]) {
				if _, err := strconv.Atoi(cell); err == nil && inapplicableReasons[cell] == "" {
					t.Errorf("unexpected reason %s in %q, inapplicableReasons does not have it", cell, r.fault)
				}
			}
		}
	}
	if !slices.Contains(requestKinds, kindOnceKeyed) {
		t.Error("unexpected kinds of requests, at-most-once requests with a key are missing")
	}
	page := goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md"))
	page.Assert(t, "FAULTS", []byte(faultsPage()))
}
