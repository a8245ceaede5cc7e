// Package tier divides workers that differ in speed into tiers of similar
// slowness.
package tier

import (
	"math"
	"slices"
)

const (
	// minRatio is the least ratio between the mean slowness of two neighboring
	// tiers. The estimates of equal workers differ by up to a tenth, which must
	// not divide them.
	minRatio = 1.3
	// maxTiers limits the number of tiers, because each may cost one search for
	// room.
	maxTiers = 4
)

// Bounds returns the bounds between the tiers, in ascending order; none if the
// workers are alike. A worker belongs to the first tier whose bound is not below
// its slowness, or to the last tier, which has no bound. Each slowness is the
// factor, above 0, by which tasks take longer on one worker.
//
// The list is divided where that explains most of its variance, then the part
// that gains most is divided, and so on. A tier may cover several kinds of
// workers if there are more kinds than tiers.
func Bounds(slowness []float64) []float64 {
	logs := make([]float64, 0, len(slowness))
	for _, s := range slowness {
		logs = append(logs, math.Log(s))
	}
	slices.Sort(logs)
	var bounds []float64
	parts := [][]float64{logs}
	for len(parts) < maxTiers {
		best, at, gain := 0, 0, 0.0
		for i, part := range parts {
			if a, g := cut(part); g > gain {
				best, at, gain = i, a, g
			}
		}
		if at == 0 {
			break
		}
		part := parts[best]
		bounds = append(bounds, math.Exp((part[at-1]+part[at])/2))
		parts[best] = part[:at]
		parts = append(parts, part[at:])
	}
	slices.Sort(bounds)
	return bounds
}

// cut returns the position that divides a sorted list into the two parts with
// the greatest variance between them, and that variance times the length of the
// list; 0 if the means of these parts are too close.
func cut(logs []float64) (at int, gain float64) {
	total := 0.0
	for _, x := range logs {
		total += x
	}
	distance, left := 0.0, 0.0
	for i := 1; i < len(logs); i++ {
		left += logs[i-1]
		n, m := float64(i), float64(len(logs)-i)
		d := (total-left)/m - left/n
		if between := n * m * d * d; between > gain {
			at, gain, distance = i, between, d
		}
	}
	if distance < math.Log(minRatio) {
		return 0, 0
	}
	return at, gain / float64(len(logs))
}
