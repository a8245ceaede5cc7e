package chart

import (
	"slices"

	"gonum.org/v1/plot/plotter"
)

// mostPoints bounds the points of a line, so that a chart of many jobs stays small.
const mostPoints = 500

// shares returns which part of a number of jobs was done after which time.
func shares(took []float64, of int) plotter.XYs {
	slices.Sort(took)
	every := max(1, len(took)/mostPoints)
	out := plotter.XYs{{X: 0, Y: 0}}
	for i := range took {
		if i%every == 0 || i == len(took)-1 {
			out = append(out, plotter.XY{X: took[i], Y: float64(i+1) / float64(of)})
		}
	}
	return out
}
