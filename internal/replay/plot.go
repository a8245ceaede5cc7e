package replay

import (
	"fmt"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	plotWidth  = 25 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot writes charts of fragmentation and waiting jobs over time to SVG files in
// folder dir.
func Plot(dir string, results []Result) error {
	for _, d := range []struct {
		name, label string
		value       func(Sample) float64
	}{
		{"fragmentation", "share of free accelerators", func(s Sample) float64 { return s.Fragmentation }},
		{"waiting", "jobs", func(s Sample) float64 { return float64(s.Waiting) }},
	} {
		if err := draw(filepath.Join(dir, d.name+".svg"), d.name, d.label, results, d.value); err != nil {
			return fmt.Errorf("replay: plot: %w", err)
		}
	}
	return nil
}

func draw(file, title, label string, results []Result, value func(Sample) float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "hours", label
	var lines []any
	for _, r := range results {
		points := make(plotter.XYs, len(r.Samples))
		for i, s := range r.Samples {
			points[i] = plotter.XY{X: float64(s.At) / float64(time.Hour), Y: value(s)}
		}
		lines = append(lines, r.Policy, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}
