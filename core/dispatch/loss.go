package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

const (
	// acceleratorCores is how many cores an accelerator counts for, by the platform's
	// prices.
	acceleratorCores = 8
	// lastingLoss is what stopping a long-running task costs, as time of its cores: the
	// platform wants it back within 6 s.
	lastingLoss = 6 * time.Second
)

// cores returns the run's weight for wasted work: accelerators count as
// acceleratorCores each.
func (r *run) cores() float64 {
	return float64(r.need.CPU)/1000 + acceleratorCores*float64(r.need.Accelerators)
}

// unsaved returns the core-seconds that stopping the run now would throw away.
func (r *run) unsaved(now unit.Instant, saveEvery time.Duration) float64 {
	if r.started == 0 {
		return 0
	}
	age := now.Sub(r.started)
	if r.step != nil && r.step.step.LongRunning {
		age = lastingLoss // it makes no progress that could be lost, but is away
	}
	if r.step != nil && r.step.step.Checkpointing {
		age = min(age, saveEvery)
	}
	return age.Seconds() * r.cores()
}

// lossOf returns the core-seconds that are lost when a run, and so its gang, stops.
func (d *Dispatcher) lossOf(now unit.Instant, r *run) float64 {
	if !r.step.step.Gang {
		return r.unsaved(now, d.config.SaveEvery)
	}
	sum := 0.0
	for i := range r.step.step.Count { // in order, so that the sum is the same on every host
		if m := r.step.runs[i]; m != nil {
			sum += m.unsaved(now, d.config.SaveEvery)
		}
	}
	return sum
}
