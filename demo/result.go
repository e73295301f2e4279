package demo

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in microseconds.
const (
	histogramMax    = 60_000_000
	histogramDigits = 3
)

// result is what one client account saw.
type result struct {
	account    string
	whole      int
	notRun     int
	unknown    int
	failed     int
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	orders     *hdrhistogram.Histogram
}

func newResult(account string) *result {
	return &result{
		account:    account,
		firstToken: hdrhistogram.New(1, histogramMax, histogramDigits),
		between:    hdrhistogram.New(1, histogramMax, histogramDigits),
		orders:     hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (r *result) order(d time.Duration) {
	r.whole++
	_ = r.orders.RecordValue(d.Microseconds())
}

func (r *result) stream(start time.Time, arrivals []time.Time) {
	r.whole++
	for i, at := range arrivals {
		if i == 0 {
			_ = r.firstToken.RecordValue(at.Sub(start).Microseconds())
			continue
		}
		_ = r.between.RecordValue(at.Sub(arrivals[i-1]).Microseconds())
	}
}

func (t *traffic) results() []*result {
	out := make([]*result, 0, len(t.accounts))
	for _, r := range t.accounts {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].account < out[j].account })
	return out
}

func printTable(out io.Writer, results []*result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "account\tsent\twhole\tnot-run\tunknown\tfailed\tfirst token p50/p95 ms\tbetween tokens p50/p95 ms\torder p50/p99 ms")
	for _, r := range results {
		sent := r.whole + r.notRun + r.unknown + r.failed
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", r.account, sent, r.whole, r.notRun, r.unknown, r.failed,
			quantiles(r.firstToken, 95), quantiles(r.between, 95), quantiles(r.orders, 99))
	}
	_ = table.Flush()
}

func quantiles(h *hdrhistogram.Histogram, high float64) string {
	const microsPerMilli = 1000.0
	return fmt.Sprintf("%.1f / %.1f", float64(h.ValueAtQuantile(50))/microsPerMilli, float64(h.ValueAtQuantile(high))/microsPerMilli)
}
