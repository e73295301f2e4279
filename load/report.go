package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// WriteAccounts prints what each client account saw in one run.
func WriteAccounts(out io.Writer, s Summary) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "account\tsent\twhole\tgood\tnot-run\tunknown\tfailed\tfalse refusals\tfair share\tfirst token p50/p95 ms\tbetween p50/p95 ms\torder p50/p99 ms")
	for _, a := range s.Accounts {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d/%d\t%d\t%d\t%d\t%d\t%.2f\t%s / %s\t%s / %s\t%s / %s\n",
			a.Account, a.Sent, a.Whole, a.Good, a.Completions, a.NotRun, a.Unknown, a.Failed, a.FalseRefusal, a.FairShare,
			millis(a.First.P50), millis(a.First.P95), millis(a.Between.P50), millis(a.Between.P95),
			millis(a.Order.P50), millis(a.Order.P99))
	}
	_ = t.Flush()
}

// WriteRuns prints one row for each placement policy, load and fault: medians and ranges over the seeds.
func WriteRuns(out io.Writer, runs []Summary) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "place\tload\tfault\tgoodput/s\tgood\tgood chat\twasted prefill\tworst share\tJain\tfalse refusals\tfirst p95 ms\tbetween p95 ms\torder p50/p99 ms\tbroken")
	for _, group := range groups(runs) {
		first := group[0]
		broken := 0
		for _, s := range group {
			broken += len(s.BrokenPromises)
		}
		fmt.Fprintf(t, "%s\t%.2f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s / %s\t%d\n", first.Place, first.Load, first.Fault,
			spread(group, "%.1f", func(s Summary) float64 { return s.Goodput }),
			spread(group, "%.3f", func(s Summary) float64 { return s.GoodPart }),
			spread(group, "%.3f", func(s Summary) float64 { return s.GoodClass }),
			spread(group, "%.4f", func(s Summary) float64 { return s.WastedPrefill }),
			spread(group, "%.2f", func(s Summary) float64 { return s.Worst }),
			spread(group, "%.3f", func(s Summary) float64 { return s.Jain }),
			spread(group, "%.4f", func(s Summary) float64 { return s.FalseRefusals }),
			spread(group, "%.0f", func(s Summary) float64 { return toMillis(s.First.P95) }),
			spread(group, "%.1f", func(s Summary) float64 { return toMillis(s.Between.P95) }),
			spread(group, "%.1f", func(s Summary) float64 { return toMillis(s.OrderP50) }),
			spread(group, "%.1f", func(s Summary) float64 { return toMillis(s.OrderP99) }),
			broken)
	}
	_ = t.Flush()
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

// groups joins the runs that differ only in their seed, in the order of their first one.
func groups(runs []Summary) [][]Summary {
	type id struct {
		place, fault string
		load         float64
	}
	var order []id
	by := make(map[id][]Summary)
	for _, s := range runs {
		k := id{string(s.Place), string(s.Fault), s.Load}
		if by[k] == nil {
			order = append(order, k)
		}
		by[k] = append(by[k], s)
	}
	out := make([][]Summary, 0, len(order))
	for _, k := range order {
		out = append(out, by[k])
	}
	return out
}

// spread formats the median of a value and, over several seeds, its range.
func spread(runs []Summary, format string, value func(Summary) float64) string {
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

func toMillis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func millis(d time.Duration) string { return fmt.Sprintf("%.1f", toMillis(d)) }
