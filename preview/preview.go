// Package preview describes where a request would go now, and why, for operators who ask without sending one.
package preview

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Verdict is what would happen to a request now.
type Verdict string

// The verdicts.
const (
	Placed  Verdict = "placed"  // it would get its servers at once
	Waits   Verdict = "waits"   // it would wait for room
	Refused Verdict = "refused" // it would be refused at once
)

// Decision is the decision on a request that was not sent. Its fields are exported for net/rpc and JSON.
type Decision struct {
	Route   string        `json:"route,omitempty"`
	Account string        `json:"account,omitempty"`
	Target  string        `json:"target"`    // pool or model
	By      string        `json:"by"`        // instance that decides
	Rank    int           `json:"rank"`      // 0 is the most urgent
	Late    bool          `json:"late"`      // the request would miss its target
	Verdict Verdict       `json:"verdict"`   // what would happen
	Wait    time.Duration `json:"wait"`      // predicted
	Latest  time.Duration `json:"latest"`    // longest wait after which the answer is in time
	RetryIn time.Duration `json:"retryIn"`   // of a refused request
	Reason  string        `json:"reason"`    // of the verdict
	Queued  int           `json:"queued"`    // requests that wait for the same room
	Ahead   float64       `json:"ahead"`     // cost that goes before the request
	PerSec  float64       `json:"perSecond"` // cost that is placed per second
	Held    float64       `json:"promised"`  // cost promised to refused callers that are due to return
	Stages  []Stage       `json:"stages"`    // choices that the request needs
	Note    string        `json:"note,omitempty"`
}

// Stage is the choice of one server.
type Stage struct {
	Name       string      `json:"name"` // prefill, decode or service
	Candidates []Candidate `json:"candidates"`
}

// Candidate is a server that was weighed.
type Candidate struct {
	Server  string `json:"server"`
	Zone    string `json:"zone"`
	Chosen  bool   `json:"chosen,omitempty"`
	Figures string `json:"figures,omitempty"`
	Why     string `json:"why"` // why it is chosen or not
}

// Write writes the decision as text.
func (d *Decision) Write(w io.Writer) error {
	fmt.Fprintf(w, "%s -> %s, decided by %s: %s", d.Route, d.Target, d.By, d.Verdict)
	if d.Reason != "" {
		fmt.Fprintf(w, " (%s)", d.Reason)
	}
	fmt.Fprintf(w, "\nrank %d; predicted wait %v", d.Rank, round(d.Wait))
	if d.Latest > 0 {
		fmt.Fprintf(w, " of at most %v", round(d.Latest))
	}
	if d.Late {
		fmt.Fprint(w, ", past its target")
	}
	fmt.Fprintf(w, "; %d wait", d.Queued)
	if d.Ahead > 0 || d.PerSec > 0 || d.Held > 0 {
		fmt.Fprintf(w, ", cost %.0f goes before it at %.0f/s, %.0f is promised to returning callers", d.Ahead, d.PerSec, d.Held)
	}
	fmt.Fprintln(w)
	if d.Verdict == Refused && d.RetryIn > 0 {
		fmt.Fprintf(w, "its caller would be told to return in %v\n", round(d.RetryIn))
	}
	if d.Note != "" {
		fmt.Fprintln(w, d.Note)
	}
	for _, s := range d.Stages {
		if err := s.write(w); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stage) write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\n%s\tzone\tfigures\twhy\n", s.Name)
	for _, c := range s.Candidates {
		mark := "  "
		if c.Chosen {
			mark = "* "
		}
		fmt.Fprintf(table, "%s%s\t%s\t%s\t%s\n", mark, c.Server, c.Zone, c.Figures, c.Why)
	}
	return table.Flush()
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
