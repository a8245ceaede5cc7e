package speed

import (
	"math"
	"slices"

	"curlewsill.org/curlewsill/core/unit"
)

const (
	// offLog is the logarithm of the factor by which a worker must be off to
	// count as fast or slow, with certainty of so many standard deviations.
	offLog, certainty = 0.1823, 3
	// stayLog and stayCertainty are the same for a worker that counts as fast
	// or slow already. The values are lower, so that its class doesn't change
	// with each observation.
	stayLog, stayCertainty = 0.0953, 1
	// knownVariance is the greatest variance of a worker that becomes typical,
	// stayKnownVariance that of one that is. At 0.2 as the standard deviation,
	// a factor of 2 would have been seen.
	knownVariance, stayKnownVariance = 0.04, 0.09
	// Workers differ when at least minOff of them, and one of every offShare
	// known ones, are fast or slow. They no longer differ when fewer than half
	// as many are.
	minOff, offShare = 3, 50
	// minCentered is the number of known workers from which their median is
	// used.
	minCentered = 3
)

// Comparison compares the workers of a site with each other. The zero value is
// that of a site where nothing is known.
type Comparison struct {
	differ bool
	// logs is the buffer of the last update.
	logs []float64
}

// Differ reports whether the workers differ.
func (c *Comparison) Differ() bool { return c.differ }

// Update compares the workers, sets the class of each, and decides whether they
// differ.
func (c *Comparison) Update(now unit.Instant, workers []*Estimate) {
	median := c.median(now, workers)
	for _, e := range workers {
		e.shift(median)
	}
	known, off := 0, 0
	for _, e := range workers {
		e.classify(now)
		if e.class != Unknown {
			known++
		}
		if e.class.Off() {
			off++
		}
	}
	need := max(minOff, (known+offShare-1)/offShare)
	if c.differ {
		need = (need + 1) / 2
	}
	c.differ = off >= need
}

// shift makes the given slowness the new typical one. Without it, typical
// workers would count as slow where a quarter of the workers is twice as fast,
// because estimates are relative to the mean. All estimates would also rise
// together for as long as work is done, to a factor of 7 in 20 minutes: short
// tasks end first, and later ones are compared with them. The less is known of a
// worker, the less its estimate is shifted.
func (e *Estimate) shift(log float64) {
	e.value -= log * e.known
	e.shifted += log
}

// median returns the median of the estimates of the known workers; 0 if there
// are too few.
func (c *Comparison) median(now unit.Instant, workers []*Estimate) float64 {
	c.logs = c.logs[:0]
	for _, e := range workers {
		if mean, variance := e.Log(now); variance <= stayKnownVariance {
			c.logs = append(c.logs, mean)
		}
	}
	n := len(c.logs)
	if n < minCentered {
		return 0
	}
	slices.Sort(c.logs)
	return (c.logs[(n-1)/2] + c.logs[n/2]) / 2
}

// classify updates the worker's class, depending on the class that it has.
func (e *Estimate) classify(now unit.Instant) {
	mean, variance := e.Log(now)
	deviation := math.Sqrt(variance)
	switch {
	case mean-certainty*deviation > offLog:
		e.class = Slow
	case mean+certainty*deviation < -offLog:
		e.class = Fast
	case e.class == Slow && mean-stayCertainty*deviation > stayLog:
	case e.class == Fast && mean+stayCertainty*deviation < -stayLog:
	case variance <= knownVariance, e.class != Unknown && variance <= stayKnownVariance:
		e.class = Typical
	default:
		e.class = Unknown
	}
}
