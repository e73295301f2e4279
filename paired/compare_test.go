package main

import (
	"math"
	"strings"
	"testing"
)

func TestMeanAndError(t *testing.T) {
	for _, test := range []struct {
		values      []float64
		mean, error float64
	}{
		{nil, 0, 0},
		{[]float64{0.5}, 0.5, 0},
		{[]float64{1, 1, 1}, 1, 0},
		{[]float64{1, 3}, 2, 1},
		{[]float64{0, 0, 3, 3}, 1.5, math.Sqrt(3) / 2},
	} {
		mean, standardError := meanAndError(test.values)
		if math.Abs(mean-test.mean) > 1e-12 || math.Abs(standardError-test.error) > 1e-12 {
			t.Errorf("%v: mean %v, error %v, want %v, %v", test.values, mean, standardError, test.mean, test.error)
		}
	}
}

func TestComparisonPairsSeedsAndNamesBreaks(t *testing.T) {
	before := map[string]report{"calm_1": {Worth: 0.5}, "calm_2": {Worth: 0.7}, "calm_3": {Worth: 0.9}}
	after := map[string]report{"calm_1": {Worth: 0.6}, "calm_2": {Worth: 0.8, Breaks: map[string]any{"TWICE": 1}}}
	var out strings.Builder
	if err := writeComparison(&out, before, after); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"calm_2, after: broken map[TWICE:1]", "n=2   0.6000 -> 0.7000  difference +0.1000 (0.0000)"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}
