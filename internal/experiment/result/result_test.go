package result_test

import (
	"math"
	"testing"

	"curlewsill.org/curlewsill/internal/experiment/result"
)

// TestDifferences compares two policies of which one lacks a seed: differences
// cover only the seeds that both have. The differences 0.1 and 0.3 have the
// mean 0.2, the standard deviation 0.1414 and the standard error 0.1.
func TestDifferences(t *testing.T) {
	r := result.Report{
		Policies: []string{"a", "b"},
		Runs: []result.Run{
			{Policy: "a", Seed: 1, Worth: 0.5},
			{Policy: "a", Seed: 2, Worth: 0.2},
			{Policy: "a", Seed: 3, Worth: 0.9},
			{Policy: "b", Seed: 1, Worth: 0.6},
			{Policy: "b", Seed: 2, Worth: 0.5},
		},
	}
	r.Summarize()
	for _, c := range []struct {
		got          result.Mean
		mean, stderr float64
		seeds        int
	}{
		{result.FindMean(r.Differences, "b", "worth"), 0.2, 0.1, 2},
		{result.FindMean(r.Means, "a", "worth"), 1.6 / 3, 0.2028, 3},
		{result.FindMean(r.Differences, "a", "worth"), 0, 0, 0},
	} {
		if math.Abs(c.got.Mean-c.mean) > 1e-4 || math.Abs(c.got.StdErr-c.stderr) > 1e-4 || c.got.Seeds != c.seeds {
			t.Errorf("got %+v, want %v +- %v of %d", c.got, c.mean, c.stderr, c.seeds)
		}
	}
}

// TestQuantile checks quantiles by the nearest-rank method.
func TestQuantile(t *testing.T) {
	for _, c := range []struct {
		sorted  []float64
		q, want float64
	}{
		{nil, 0.5, 0},
		{[]float64{3}, 0.99, 3},
		{[]float64{1, 2, 3, 4}, 0.5, 2},
		{[]float64{1, 2, 3, 4}, 0.99, 4},
		{[]float64{1, 2, 3, 4}, 0, 1},
	} {
		if got := result.Quantile(c.sorted, c.q); got != c.want {
			t.Errorf("%v-quantile of %v is %v, want %v", c.q, c.sorted, got, c.want)
		}
	}
}
