package play

import (
	"maps"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/world"
	"curlewsill.org/curlewsill/internal/experiment/result"
	"curlewsill.org/curlewsill/internal/experiment/setup"
)

// Parameters of the platform's credit rule, which says how much worth a job
// earns.
const (
	// lateFactor bounds how late a job may complete. A job that takes longer
	// than lateFactor times its allowed time earns nothing.
	lateFactor = 3
	// minWeight is the part of a job's weight that doesn't depend on its work.
	// The rest is 1-minWeight times the job's work divided by the mean work of
	// its kind. maxWeight bounds the sum.
	minWeight = 0.3
	maxWeight = 4
)

// kindScore collects the results of the jobs of one kind.
type kindScore struct {
	kind *setup.Kind
	out  result.Kind
	// startDelays has the times from submission to the first start, in seconds.
	startDelays []float64
	meanWork    float64
	// earned is the worth that the jobs have earned. possible is the worth that
	// they would have earned if all had completed in time.
	earned, possible float64
	// customers holds the results of each customer, of all kinds of jobs.
	customers map[id.Customer]*result.Customer
}

// scoreKinds fills in the results of each kind, and the worth of all kinds
// together.
func scoreKinds(out *result.Run, outcomes []world.Outcome, s *setup.Setup, t world.Tally) {
	earned, possible := 0.0, 0.0
	customers := map[id.Customer]*result.Customer{}
	for i := range s.Kinds {
		k := kindScore{kind: &s.Kinds[i], out: result.Kind{Kind: s.Kinds[i].Name}, customers: customers}
		k.meanWork = meanWork(outcomes, k.kind.Name)
		for _, o := range outcomes {
			if o.Kind == k.kind.Name {
				k.add(o)
			}
		}
		k.finish()
		out.Kinds = append(out.Kinds, k.out)
		earned += k.earned
		possible += k.possible
	}
	for _, name := range slices.Sorted(maps.Keys(customers)) {
		out.Customers = append(out.Customers, *customers[name])
	}
	if possible > 0 {
		out.Worth = earned / possible
		out.Net = (earned - s.Prices.Waste*t.Wasted - s.Prices.Start*float64(t.Starts)) / possible
	}
}

// meanWork returns the mean work of the jobs of a kind, without refused jobs.
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

// add adds the outcome of one job. Jobs that were refused or cancelled, or that
// crash workers, count neither as earned nor as possible worth.
func (k *kindScore) add(o world.Outcome) {
	k.out.Arrived++
	k.out.Preempted += o.Preempted
	k.out.MostPreemptions = max(k.out.MostPreemptions, o.MostPreemptions)
	k.out.Wasted += o.Wasted
	switch o.State {
	case world.Refused:
		k.out.Refused++
		return
	case world.Cancelled:
		k.out.Cancelled++
		return
	case world.Open:
		k.out.Open++
	case world.Failed:
		k.out.Failed++
	case world.Completed:
		k.out.Completed++
		k.out.CompletionTimes = append(k.out.CompletionTimes, o.CompletionTime.Seconds())
	}
	if o.StartDelay > 0 {
		k.startDelays = append(k.startDelays, o.StartDelay.Seconds())
	}
	if o.CrashesWorkers {
		return
	}
	weight := minWeight + (1-minWeight)*o.Work/k.meanWork
	weight = min(weight, maxWeight)
	k.possible += weight * k.kind.Worth
	k.earned += weight * k.worth(o)
	k.addCustomer(o)
}

// addCustomer adds the outcome of one job to the results of its customer.
func (k *kindScore) addCustomer(o world.Outcome) {
	c := k.customers[o.Customer]
	if c == nil {
		c = &result.Customer{Customer: string(o.Customer)}
		k.customers[o.Customer] = c
	}
	k.out.Owed++
	c.Owed++
	if k.isDone(o) && o.CompletionTime <= k.allowed(o) {
		k.out.InTime++
		c.InTime++
	}
}

// isDone reports whether a job earns something if it has ended in time. A job
// whose runs always fail does so by ending as failed.
func (k *kindScore) isDone(o world.Outcome) bool {
	return o.State == world.Completed || o.State == world.Failed && o.FailProbability >= 1
}

// allowed returns the time that a job may take.
func (k *kindScore) allowed(o world.Outcome) time.Duration {
	return time.Duration(k.kind.DeadlineFactor*float64(o.Chain)) + k.kind.DeadlineExtra
}

// worth returns the worth that one job earns, before weighting. It depends on
// the time from the job's submission to its end. worth also counts the job if it
// is late.
func (k *kindScore) worth(o world.Outcome) float64 {
	allowed := k.allowed(o)
	switch {
	case !k.isDone(o) || o.CompletionTime > lateFactor*allowed:
		return 0
	case o.CompletionTime > allowed:
		k.out.Late++
		return k.kind.LateWorth
	}
	return k.kind.Worth
}

// finish fills in the results that need all jobs of the kind.
func (k *kindScore) finish() {
	if k.possible > 0 {
		k.out.Worth = k.earned / k.possible
	}
	slices.Sort(k.out.CompletionTimes)
	slices.Sort(k.startDelays)
	k.out.P50, k.out.P90, k.out.P99 = result.Quantile(k.out.CompletionTimes, 0.5),
		result.Quantile(k.out.CompletionTimes, 0.9), result.Quantile(k.out.CompletionTimes, 0.99)
	k.out.StartP90 = result.Quantile(k.startDelays, 0.9)
}
