package chart

import (
	"slices"

	"gonum.org/v1/plot/plotter"
)

// maxPoints limits the points of a curve, so that the chart of many jobs stays
// small. A curve has at most about 2*maxPoints points, since only every nth job
// is drawn and n is a whole number.
const maxPoints = 500

// completionCurve returns a curve of the share of jobs that had completed, over
// the time since submission. took holds the completion times of the completed
// jobs; completionCurve sorts it. total is the number of all jobs.
func completionCurve(took []float64, total int) plotter.XYs {
	slices.Sort(took)
	every := max(1, len(took)/maxPoints)
	out := plotter.XYs{{X: 0, Y: 0}}
	for i := range took {
		if i%every == 0 || i == len(took)-1 {
			out = append(out, plotter.XY{X: took[i], Y: float64(i+1) / float64(total)})
		}
	}
	return out
}
