package cli

import (
	"fmt"
	"io"
	"strings"

	"teaselgate/config"
)

// planOutput is the JSON output of plan.
type planOutput struct {
	Base      uint64         `json:"base"`
	Current   uint64         `json:"current"` // newest revision
	Change    string         `json:"change"`  // ID of the change
	Lines     []planLine     `json:"lines"`
	Guards    []config.Guard `json:"guards"`
	Conflicts int            `json:"conflicts"` // lines that others have changed since the base revision
	Problems  []string       `json:"problems,omitempty"`
	Capacity  []poolCapacity `json:"capacity,omitempty"` // of pools that an evacuation alters
}

// poolCapacity is the number of servers of a pool that get new work.
type poolCapacity struct {
	Pool   string `json:"pool"`
	Before int    `json:"before"`
	After  int    `json:"after"`
}

// planLine is one rule that a plan adds, changes or removes.
type planLine struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

func newPlanOutput(p *config.Plan) planOutput {
	output := planOutput{Base: p.Base, Current: p.Current, Change: p.ChangeID(), Guards: p.Guards, Conflicts: p.Conflicts}
	output.Lines = make([]planLine, len(p.Differences))
	for i, d := range p.Differences {
		line := d.Line()
		output.Lines[i] = planLine{Kind: string(line.Kind), Name: line.Name}
		if d.Old.Text != "" {
			output.Lines[i].Old = d.Old.String()
		}
		if d.New.Text != "" {
			output.Lines[i].New = d.New.String()
		}
	}
	for _, c := range p.Capacity() {
		output.Capacity = append(output.Capacity, poolCapacity(c))
	}
	for _, problem := range p.Problems() {
		output.Problems = append(output.Problems, problem.Text)
	}
	return output
}

// printPlan prints a plan as text.
func printPlan(out io.Writer, p *config.Plan) {
	output := newPlanOutput(p)
	if len(output.Lines) == 0 {
		fmt.Fprintf(out, "revision %d already says this\n", output.Base)
		return
	}
	fmt.Fprintf(out, "%d lines differ from revision %d (newest: %d)\n", len(output.Lines), output.Base, output.Current)
	for _, l := range output.Lines {
		if l.Old != "" {
			fmt.Fprintf(out, "< %s\n", l.Old)
		}
		if l.New != "" {
			fmt.Fprintf(out, "> %s\n", l.New)
		}
	}
	for _, g := range output.Guards {
		if !g.Guarded {
			fmt.Fprintf(out, "%s: %d lines, no change rule: anybody may change them\n", g.Kind, g.Lines)
			continue
		}
		fmt.Fprintf(out, "%s: %d lines, by %s, with %d approvals of others\n",
			g.Kind, g.Lines, strings.Join(g.By, ", "), g.Approvals)
	}
	if output.Conflicts > 0 {
		fmt.Fprintf(out, "somebody else changed %d of these lines since revision %d\n", output.Conflicts, output.Base)
	}
	for _, c := range output.Capacity {
		fmt.Fprintf(out, "pool %s: %d servers get new work, %d do now\n", c.Pool, c.After, c.Before)
		if c.After == 0 {
			fmt.Fprintf(out, "warning: no server of pool %s is left; its requests will be refused\n", c.Pool)
		}
	}
	for _, problem := range output.Problems {
		fmt.Fprintln(out, "can't be accepted:", problem)
	}
}
