package cli

import (
	"fmt"
	"io"
	"strings"

	"teaselgate/config"
)

// planAnswer is a plan as JSON.
type planAnswer struct {
	Base      uint64         `json:"base"`
	Current   uint64         `json:"current"`
	Change    string         `json:"change"`
	Lines     []planLine     `json:"lines"`
	Guards    []config.Guard `json:"guards"`
	Conflicts int            `json:"conflicts"` // lines that somebody else changed meanwhile
	Problems  []string       `json:"problems,omitempty"`
}

type planLine struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

func planOf(p *config.Plan) planAnswer {
	answer := planAnswer{Base: p.Base, Current: p.Current, Change: p.ChangeID(), Guards: p.Guards, Conflicts: p.Conflicts}
	answer.Lines = make([]planLine, len(p.Differences))
	for i, d := range p.Differences {
		l := d.Line()
		answer.Lines[i] = planLine{Kind: string(l.Kind), Name: l.Name}
		if d.Old.Text != "" {
			answer.Lines[i].Old = d.Old.String()
		}
		if d.New.Text != "" {
			answer.Lines[i].New = d.New.String()
		}
	}
	for _, problem := range p.Problems() {
		answer.Problems = append(answer.Problems, problem.Text)
	}
	return answer
}

func printPlan(out io.Writer, p *config.Plan) {
	answer := planOf(p)
	if len(answer.Lines) == 0 {
		fmt.Fprintf(out, "revision %d already says this\n", answer.Base)
		return
	}
	fmt.Fprintf(out, "%d lines differ from revision %d (newest: %d)\n", len(answer.Lines), answer.Base, answer.Current)
	for _, l := range answer.Lines {
		if l.Old != "" {
			fmt.Fprintf(out, "< %s\n", l.Old)
		}
		if l.New != "" {
			fmt.Fprintf(out, "> %s\n", l.New)
		}
	}
	for _, g := range answer.Guards {
		if !g.Guarded {
			fmt.Fprintf(out, "%s: %d lines, no change rule: anybody may change them\n", g.Kind, g.Lines)
			continue
		}
		fmt.Fprintf(out, "%s: %d lines, by %s, with %d approvals of others\n", g.Kind, g.Lines, strings.Join(g.By, ", "), g.Approvals)
	}
	if answer.Conflicts > 0 {
		fmt.Fprintf(out, "somebody else changed %d of these lines since revision %d\n", answer.Conflicts, answer.Base)
	}
	for _, problem := range answer.Problems {
		fmt.Fprintln(out, "can't be accepted:", problem)
	}
}
