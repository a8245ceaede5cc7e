package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

const (
	// acceleratorCores is how many cores an accelerator is worth, by the
	// platform's prices.
	acceleratorCores = 8
	// longRunningLoss is the working time that counts as lost when a
	// long-running task is stopped: the platform requires the task to run again
	// within 6 s.
	longRunningLoss = 6 * time.Second
)

// cores returns the run's weight when wasted work is compared: its cores, with
// each accelerator counted as acceleratorCores.
func (r *run) cores() float64 {
	return float64(r.need.CPU)/1000 + acceleratorCores*float64(r.need.Accelerators)
}

// unsaved returns the core-seconds of work that would be lost if the run were
// stopped now.
func (r *run) unsaved(now unit.Instant, saveEvery time.Duration) float64 {
	if r.startedAt == 0 {
		return 0
	}
	age := now.Sub(r.startedAt)
	if r.step != nil && r.step.step.LongRunning {
		age = longRunningLoss // it has no progress to lose; the cost is its downtime
	}
	if r.step != nil && r.step.step.Checkpointing {
		age = min(age, saveEvery)
	}
	return age.Seconds() * r.cores()
}

// lostByStopping returns the core-seconds of work that are lost when a run, and
// so its gang, is stopped.
func (d *Dispatcher) lostByStopping(now unit.Instant, r *run) float64 {
	if !r.step.step.Gang {
		return r.unsaved(now, d.config.CheckpointInterval)
	}
	sum := 0.0
	for i := range r.step.step.Count { // a fixed order makes the floating-point sum the same on every host
		if m := r.step.runs[i]; m != nil {
			sum += m.unsaved(now, d.config.CheckpointInterval)
		}
	}
	return sum
}
