package sched

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/unit"
)

// The estimate of run times.
const (
	// ratioMemory is how many ended jobs of a customer are remembered.
	ratioMemory = 64
	// ratioRank is the share of them that ran no longer than estimated.
	ratioRank = 0.9
)

// ratio remembers how long a customer's jobs ran compared with what was declared.
type ratio struct {
	seen []float64
	at   int
}

func (r *ratio) add(x float64) {
	if len(r.seen) < ratioMemory {
		r.seen = append(r.seen, x)
		return
	}
	r.seen[r.at] = x
	r.at = (r.at + 1) % ratioMemory
}

// quantile returns the factor by which declared times are stretched.
func (r *ratio) quantile() float64 {
	if r == nil || len(r.seen) == 0 {
		return 1
	}
	sorted := slices.Clone(r.seen)
	slices.Sort(sorted)
	return sorted[int(float64(len(sorted)-1)*ratioRank)]
}

// learn takes in the run time of a job that finished.
func (s *Scheduler) learn(now unit.Instant, r *run) {
	if r.Outcome != record.Finished || r.Job.Declared <= 0 {
		return
	}
	t := s.truth[r.Job.Customer]
	if t == nil {
		t = &ratio{}
		s.truth[r.Job.Customer] = t
	}
	t.add(float64(now.Sub(r.began)) / float64(r.Job.Declared))
}

// expected returns how long a job of a customer will run, as far as is known.
func (s *Scheduler) expected(c id.Customer, declared time.Duration) time.Duration {
	return time.Duration(float64(declared) * s.truth[c].quantile())
}

// remaining returns how much longer a gang is expected to run. A gang that has
// outlived its estimate is expected to run for as long again.
func (s *Scheduler) remaining(now unit.Instant, r *run) time.Duration {
	ran := now.Sub(r.began)
	left := s.expected(r.Job.Customer, r.Job.Declared) - ran
	if left <= 0 {
		return max(ran, time.Second)
	}
	return left
}
