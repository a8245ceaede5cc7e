package sched

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/unit"
)

// Parameters of the run time estimate.
const (
	// ratioWindow is the number of most recently finished jobs of a customer on
	// which the estimate is based.
	ratioWindow = 64
	// ratioQuantile is the quantile of the ratios that the estimate uses: this
	// share of the jobs ran no longer than estimated.
	ratioQuantile = 0.9
)

// ratioHistory has the ratios of actual to declared run time of a customer's most
// recent jobs.
type ratioHistory struct {
	values []float64
	oldest int
}

func (r *ratioHistory) add(x float64) {
	if len(r.values) < ratioWindow {
		r.values = append(r.values, x)
		return
	}
	r.values[r.oldest] = x
	r.oldest = (r.oldest + 1) % ratioWindow
}

// quantile returns the ratioQuantile quantile of the ratios, or 1 without
// history. A declared run time multiplied by it is the estimate of the actual
// run time.
func (r *ratioHistory) quantile() float64 {
	if r == nil || len(r.values) == 0 {
		return 1
	}
	sorted := slices.Clone(r.values)
	slices.Sort(sorted)
	return sorted[int(float64(len(sorted)-1)*ratioQuantile)]
}

// addRunTime adds the run time of a finished job to its customer's history.
func (s *Scheduler) addRunTime(now unit.Instant, r *run) {
	if r.Outcome != record.Finished || r.Job.Declared <= 0 {
		return
	}
	history := s.runTimeRatios[r.Job.Customer]
	if history == nil {
		history = &ratioHistory{}
		s.runTimeRatios[r.Job.Customer] = history
	}
	history.add(float64(now.Sub(r.startedAt)) / float64(r.Job.Declared))
}

// expectedRunTime estimates how long a job of a customer will run.
func (s *Scheduler) expectedRunTime(c id.Customer, declared time.Duration) time.Duration {
	return time.Duration(float64(declared) * s.runTimeRatios[c].quantile())
}

// remainingRunTime returns how much longer a gang is expected to run. If the
// gang has exceeded its estimate, this is as long as it has run already, but at
// least 1 s.
func (s *Scheduler) remainingRunTime(now unit.Instant, r *run) time.Duration {
	ran := now.Sub(r.startedAt)
	left := s.expectedRunTime(r.Job.Customer, r.Job.Declared) - ran
	if left <= 0 {
		return max(ran, time.Second)
	}
	return left
}
