package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// report is the part of a day's report that is compared.
type report struct {
	Worth   float64         `json:"G"`
	Refused float64         `json:"refused"`
	Failed  float64         `json:"failed"`
	Fault   json.RawMessage `json:"fault"`
	Breaks  map[string]any  `json:"breaks"`
	Prices  [][3]any        `json:"prices"` // name, amount and worth
	Parts   [][3]any        `json:"parts"`  // name, weight and worth
}

// readReports returns the reports in a directory by day and seed.
func readReports(dir string) (map[string]report, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	reports := make(map[string]report, len(files))
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var r report
		if err := json.Unmarshal(content, &r); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		reports[strings.TrimSuffix(filepath.Base(file), ".json")] = r
	}
	return reports, nil
}

// measures returns the figures of a report that are compared, by name.
func (r report) measures() map[string]float64 {
	out := map[string]float64{"worth": r.Worth, "refused": r.Refused, "failed": r.Failed}
	for prefix, rows := range map[string][][3]any{"part ": r.Parts, "price ": r.Prices} {
		for _, row := range rows {
			name, isName := row[0].(string)
			if value, ok := row[2].(float64); ok && isName {
				out[prefix+name] = value
			}
		}
	}
	return out
}

// writeComparison writes the mean worth and the mean paired difference for each day and for all days, and then of the
// other measures that differ.
func writeComparison(w io.Writer, before, after map[string]report) error {
	byDay := make(map[string][]string)
	var all []string
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			continue
		}
		day := name[:max(strings.LastIndex(name, "_"), 0)]
		byDay[day] = append(byDay[day], name)
		all = append(all, name)
		for label, r := range map[string]report{"before": before[name], "after": after[name]} {
			if len(r.Breaks) > 0 || (len(r.Fault) > 0 && string(r.Fault) != "null") {
				if _, err := fmt.Fprintf(w, "%s, %s: broken %v, fault %s\n", name, label, r.Breaks, r.Fault); err != nil {
					return err
				}
			}
		}
	}
	byDay["all"] = all
	for _, day := range slices.Sorted(maps.Keys(byDay)) {
		if err := writeDifference(w, day, "worth", byDay[day], before, after); err != nil {
			return err
		}
	}
	return writeOtherMeasures(w, all, before, after)
}

// minShownDifference is the smallest mean difference that is shown for measures other than the worth.
const minShownDifference = 0.0005

func writeOtherMeasures(w io.Writer, names []string, before, after map[string]report) error {
	measures := make(map[string]bool)
	for _, name := range names {
		for measure := range before[name].measures() {
			measures[measure] = true
		}
	}
	delete(measures, "worth")
	for _, measure := range slices.Sorted(maps.Keys(measures)) {
		if mean, _ := difference(measure, names, before, after); math.Abs(mean) < minShownDifference {
			continue
		}
		if err := writeDifference(w, "all", measure, names, before, after); err != nil {
			return err
		}
	}
	return nil
}

func writeDifference(
	w io.Writer, day, measure string, names []string, before, after map[string]report,
) error {
	var old, changed float64
	for _, name := range names {
		old += before[name].measures()[measure] / float64(len(names))
		changed += after[name].measures()[measure] / float64(len(names))
	}
	mean, standardError := difference(measure, names, before, after)
	_, err := fmt.Fprintf(w, "%-12s %-48s n=%-3d %.4f -> %.4f  difference %+.4f (%.4f)\n",
		day, measure, len(names), old, changed, mean, standardError)
	return err
}

// difference returns the mean of the paired differences of a measure, and its standard error.
func difference(measure string, names []string, before, after map[string]report) (mean, standardError float64) {
	differences := make([]float64, 0, len(names))
	for _, name := range names {
		differences = append(differences, after[name].measures()[measure]-before[name].measures()[measure])
	}
	return meanAndError(differences)
}

// meanAndError returns the mean of values and its standard error, which is 0 for fewer than two values.
func meanAndError(values []float64) (mean, standardError float64) {
	if len(values) == 0 {
		return 0, 0
	}
	n := float64(len(values))
	for _, v := range values {
		mean += v / n
	}
	if len(values) < 2 {
		return mean, 0
	}
	squares := 0.0
	for _, v := range values {
		squares += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(squares / (n - 1) / n)
}
