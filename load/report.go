package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// WriteAccounts prints a table of the client accounts of one run.
func WriteAccounts(out io.Writer, s Summary) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "account\tsent\twhole\tgood\tnot-run\tunknown\tfailed\tfalse refusals\tfair share\tfirst token p50/p95 ms\tbetween p50/p95 ms\torder p50/p99 ms")
	for _, a := range s.Accounts {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d/%d\t%d\t%d\t%d\t%d\t%.2f\t%s / %s\t%s / %s\t%s / %s\n",
			a.Account, a.Sent, a.Complete, a.Good, a.Completions, a.NotRun, a.Unknown, a.Failed,
			a.FalseRejections, a.FairShareRatio,
			formatMilliseconds(a.FirstToken.P50), formatMilliseconds(a.FirstToken.P95),
			formatMilliseconds(a.InterToken.P50), formatMilliseconds(a.InterToken.P95),
			formatMilliseconds(a.Order.P50), formatMilliseconds(a.Order.P99))
	}
	_ = table.Flush()
}

// WriteRuns prints one row for each combination of placement policy, load and fault: medians and ranges over the seeds,
// and the number of violations in all seeds together.
func WriteRuns(out io.Writer, runs []Summary) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "place\tload\tfault\tgoodput/s\tgood\tgood chat\twasted prefill\tworst share\tJain\tfalse refusals\tfirst p95 ms\tbetween p95 ms\torder p50/p99 ms\tbroken")
	for _, group := range groupSeeds(runs) {
		firstRun := group[0]
		violations := 0
		for _, s := range group {
			violations += len(s.Violations)
		}
		fmt.Fprintf(table, "%s\t%.2f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s / %s\t%d\n",
			firstRun.Placement, firstRun.Load, firstRun.Fault,
			medianAndRange(group, "%.1f", func(s Summary) float64 { return s.Goodput }),
			medianAndRange(group, "%.3f", func(s Summary) float64 { return s.GoodFraction }),
			medianAndRange(group, "%.3f", func(s Summary) float64 { return s.GoodChatFraction }),
			medianAndRange(group, "%.4f", func(s Summary) float64 { return s.WastedPrefill }),
			medianAndRange(group, "%.2f", func(s Summary) float64 { return s.WorstFairShareRatio }),
			medianAndRange(group, "%.3f", func(s Summary) float64 { return s.JainIndex }),
			medianAndRange(group, "%.4f", func(s Summary) float64 { return s.FalseRejectionRate }),
			medianAndRange(group, "%.0f", func(s Summary) float64 { return milliseconds(s.FirstToken.P95) }),
			medianAndRange(group, "%.1f", func(s Summary) float64 { return milliseconds(s.InterToken.P95) }),
			medianAndRange(group, "%.1f", func(s Summary) float64 { return milliseconds(s.OrderP50) }),
			medianAndRange(group, "%.1f", func(s Summary) float64 { return milliseconds(s.OrderP99) }),
			violations)
	}
	_ = table.Flush()
}

// WriteJSON prints all runs as JSON.
func WriteJSON(out io.Writer, runs []Summary) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	if err := e.Encode(runs); err != nil {
		return fmt.Errorf("load: unable to write the result: %w", err)
	}
	return nil
}

// groupSeeds groups the runs that differ only in their seed. The groups are in the order of their first runs.
func groupSeeds(runs []Summary) [][]Summary {
	type groupKey struct {
		placement, fault string
		load             float64
	}
	var keys []groupKey
	groups := make(map[groupKey][]Summary)
	for _, s := range runs {
		key := groupKey{string(s.Placement), string(s.Fault), s.Load}
		if groups[key] == nil {
			keys = append(keys, key)
		}
		groups[key] = append(groups[key], s)
	}
	ordered := make([][]Summary, 0, len(keys))
	for _, k := range keys {
		ordered = append(ordered, groups[k])
	}
	return ordered
}

// medianAndRange formats the median of a value over the runs (the upper one for an even number of runs) and, if there
// are several runs, its range.
func medianAndRange(runs []Summary, format string, value func(Summary) float64) string {
	values := make([]float64, 0, len(runs))
	for _, s := range runs {
		values = append(values, value(s))
	}
	slices.Sort(values)
	median := fmt.Sprintf(format, values[len(values)/2])
	if len(values) == 1 {
		return median
	}
	return median + " (" + fmt.Sprintf(format, values[0]) + "-" + fmt.Sprintf(format, values[len(values)-1]) + ")"
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func formatMilliseconds(d time.Duration) string { return fmt.Sprintf("%.1f", milliseconds(d)) }
