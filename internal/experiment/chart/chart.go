// Package chart draws charts of the results of an experiment.
package chart

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"curlewsill.org/curlewsill/core/world"
	"curlewsill.org/curlewsill/internal/experiment/result"
)

// The size of a chart, and the width of its bars.
const (
	width    = 25 * vg.Centimeter
	height   = 12 * vg.Centimeter
	barWidth = 1.2 * vg.Centimeter
)

// Format is the file format of a chart, and the extension of its file name.
type Format string

// The supported formats.
const (
	SVG Format = "svg"
	PNG Format = "png"
)

// Draw writes the charts of a report to an existing directory: completion times
// of each kind, use, fragmentation and waiting tasks over time, and worth by
// policy. For a report without runs it writes nothing.
func Draw(dir string, format Format, r *result.Report) error {
	if len(r.Runs) == 0 {
		return nil
	}
	file := func(name string) string { return filepath.Join(dir, name+"."+string(format)) }
	for i, k := range r.Runs[0].Kinds {
		if err := drawCompletion(file("completion-"+k.Kind), r, i); err != nil {
			return fmt.Errorf("chart: %w", err)
		}
	}
	for _, c := range []struct {
		name, label string
		value       func(world.Sample) float64
	}{
		{"use", "share of accelerators", func(s world.Sample) float64 { return s.Utilization }},
		{"fragmentation", "share of free accelerators", func(s world.Sample) float64 { return s.Fragmentation }},
		{"waiting", "tasks", func(s world.Sample) float64 { return float64(s.Waiting) }},
	} {
		if err := drawOverTime(file(c.name), c.name, c.label, r, c.value); err != nil {
			return fmt.Errorf("chart: %w", err)
		}
	}
	if err := drawWorth(file("worth"), r); err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	return nil
}

// drawCompletion draws the share of a kind's jobs that had completed, over the
// time since submission. Refused and cancelled jobs don't count.
func drawCompletion(file string, r *result.Report, kind int) error {
	p := plot.New()
	p.Title.Text = "completion of " + r.Runs[0].Kinds[kind].Kind
	p.X.Label.Text, p.Y.Label.Text = "seconds since submission", "share of the jobs, without refused and cancelled ones"
	var lines []any
	for _, name := range r.Policies {
		var took []float64
		expected := 0
		for _, run := range r.Runs {
			if run.Policy == name {
				k := run.Kinds[kind]
				took = append(took, k.CompletionTimes...)
				expected += k.Arrived - k.Refused - k.Cancelled
			}
		}
		if len(took) > 0 {
			lines = append(lines, name, completionCurve(took, expected))
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(width, height, file)
}

// drawOverTime draws a sampled value over time for each policy, as the mean
// over the seeds.
func drawOverTime(file, title, label string, r *result.Report, value func(world.Sample) float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", label
	var lines []any
	for _, name := range r.Policies {
		if points := meanOverTime(r, name, value); len(points) > 0 {
			lines = append(lines, name, points)
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(width, height, file)
}

// drawWorth draws the mean worth of each policy with its standard error.
func drawWorth(file string, r *result.Report) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "worth, with its standard error", "share of what could be earned"
	var points errorPoints
	values := make(plotter.Values, 0, len(r.Policies))
	for i, name := range r.Policies {
		m := result.FindMean(r.Means, name, "worth")
		values = append(values, m.Mean)
		points.XYs = append(points.XYs, plotter.XY{X: float64(i), Y: m.Mean})
		points.YErrors = append(points.YErrors, struct{ Low, High float64 }{m.StdErr, m.StdErr})
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(0)
	whiskers, err := plotter.NewYErrorBars(points)
	if err != nil {
		return err
	}
	p.Add(bars, whiskers)
	p.NominalX(r.Policies...)
	return p.Save(width, height, file)
}

// errorPoints are points that each have a standard error.
type errorPoints struct {
	plotter.XYs
	plotter.YErrors
}

// meanOverTime returns, for each sampling time, the mean of a value over a
// policy's runs.
func meanOverTime(r *result.Report, policy string, value func(world.Sample) float64) plotter.XYs {
	var out plotter.XYs
	n := 0
	for _, run := range r.Runs {
		if run.Policy != policy {
			continue
		}
		n++
		for i, s := range run.Samples {
			if i == len(out) {
				out = append(out, plotter.XY{X: s.At.Seconds()})
			}
			out[i].Y += value(s)
		}
	}
	for i := range out {
		out[i].Y /= float64(n)
	}
	return out
}
