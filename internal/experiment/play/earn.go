package play

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/world"
	"curlewsill.org/curlewsill/internal/experiment/result"
	"curlewsill.org/curlewsill/internal/experiment/setup"
)

// What a job earns, by the platform's rule of credit.
const (
	// lateFactor times the time in which a job should be done is when it earns nothing any more.
	lateFactor = 3
	// leastWeight is what each job weighs, and the rest of 1 goes by its work against the mean of
	// its kind; mostWeight is the most.
	leastWeight = 0.3
	mostWeight  = 4
)

// account adds up one kind.
type account struct {
	kind         *setup.Kind
	out          result.Kind
	started      []float64
	meanWork     float64
	earned, owed float64
}

// earn adds up the kinds, and what they earn together.
func earn(out *result.Run, outcomes []world.Outcome, s *setup.Setup, t world.Tally) {
	earned, owed := 0.0, 0.0
	for i := range s.Kinds {
		a := account{kind: &s.Kinds[i], out: result.Kind{Kind: s.Kinds[i].Name}}
		a.meanWork = meanWork(outcomes, a.kind.Name)
		for _, o := range outcomes {
			if o.Kind == a.kind.Name {
				a.add(o)
			}
		}
		a.close()
		out.Kinds = append(out.Kinds, a.out)
		earned += a.earned
		owed += a.owed
	}
	if owed > 0 {
		out.Worth = earned / owed
		out.Net = (earned - s.Prices.Waste*t.Wasted - s.Prices.Start*float64(t.Starts)) / owed
	}
}

// meanWork returns the mean work of the jobs of a kind that can run.
func meanWork(outcomes []world.Outcome, kind string) float64 {
	sum, n := 0.0, 0
	for _, o := range outcomes {
		if o.Kind == kind && o.State != world.Refused {
			sum += o.Work
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// add takes one job in. Nothing is owed for jobs that were refused or cancelled, or that crash workers.
func (a *account) add(o world.Outcome) {
	a.out.Arrived++
	switch o.State {
	case world.Refused:
		a.out.Refused++
		return
	case world.Cancelled:
		a.out.Cancelled++
		return
	case world.Open:
		a.out.Open++
	case world.Failed:
		a.out.Failed++
	case world.Completed:
		a.out.Completed++
		a.out.Took = append(a.out.Took, o.Took.Seconds())
	}
	if o.Started > 0 {
		a.started = append(a.started, o.Started.Seconds())
	}
	if o.Crashes {
		return
	}
	w := leastWeight + (1-leastWeight)*o.Work/a.meanWork
	w = min(w, mostWeight)
	a.owed += w * a.kind.Worth
	a.earned += w * a.worth(o)
}

// worth returns what one job earns by its time. A job that can't be done earns by being shown as
// failed.
func (a *account) worth(o world.Outcome) float64 {
	done := o.State == world.Completed || o.State == world.Failed && o.Fails >= 1
	allowed := time.Duration(a.kind.Stretch*float64(o.Chain)) + a.kind.Target
	switch {
	case !done || o.Took > lateFactor*allowed:
		return 0
	case o.Took > allowed:
		a.out.Late++
		return a.kind.LateWorth
	}
	a.out.InTime++
	return a.kind.Worth
}

// close fills in what needs all jobs of the kind.
func (a *account) close() {
	if a.owed > 0 {
		a.out.Worth = a.earned / a.owed
	}
	slices.Sort(a.out.Took)
	slices.Sort(a.started)
	a.out.P50, a.out.P90, a.out.P99 = result.Quantile(a.out.Took, 0.5), result.Quantile(a.out.Took, 0.9), result.Quantile(a.out.Took, 0.99)
	a.out.StartP90 = result.Quantile(a.started, 0.9)
}
