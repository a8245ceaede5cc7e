// Package result holds the results of an experiment, and compares policies seed
// by seed.
package result

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"curlewsill.org/curlewsill/core/world"
)

// Run is the result of one policy with one seed.
type Run struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Worth is the worth that the jobs earned, divided by the worth that they
	// earn if all of them complete in time. Net is the same after the prices of
	// starts and wasted work are subtracted.
	Worth float64 `json:"worth"`
	Net   float64 `json:"net"`
	// Use is the mean share of the accelerators in use while jobs arrived.
	// Fragmentation is the mean share of the free accelerators that are on
	// workers in use.
	Use           float64 `json:"use"`
	Fragmentation float64 `json:"fragmentation"`
	// Wasted is the share of the work of all runs that was lost.
	Wasted float64 `json:"wasted"`
	// Starts counts the runs that workers started. Stopped counts the runs that
	// ended by a stop order, Broken those that ended by the loss of another
	// member of their gang, and Lapsed those whose lease had expired.
	Starts  int `json:"starts"`
	Stopped int `json:"stopped"`
	Broken  int `json:"broken"`
	Lapsed  int `json:"lapsed"`
	// Preempted counts the runs that were stopped to make room for other jobs.
	Preempted int `json:"preempted"`
	// Crashes counts the worker incarnations that tasks have crashed.
	Crashes int `json:"crashes"`
	// OwnerBusy is the share of the time in which the owner's processor was
	// busy. OwnerWait is the longest time for which any work waited for this
	// processor.
	OwnerBusy float64 `json:"owner_busy"`
	OwnerWait float64 `json:"owner_wait_s"`
	// Passes counts the owners' scheduling passes, Claims the claims by which a
	// host became the owner.
	Passes int `json:"passes"`
	Claims int `json:"claims"`
	// Violations lists the first invariants that didn't hold. It is expected to
	// be empty.
	Violations []string `json:"violations"`
	Kinds      []Kind   `json:"kinds"`
	// Customers is sorted by name.
	Customers []Customer `json:"customers"`

	// Samples are the samples taken during the run. They are used for charts.
	Samples []world.Sample `json:"-"`
}

// Kind is the result of the jobs of one kind.
type Kind struct {
	Kind string `json:"kind"`
	// Arrived counts all jobs of the kind. Refused, Completed, Failed,
	// Cancelled and Open divide them by outcome. Refused jobs can never run on
	// the site. Open jobs had no outcome at the end of the simulation.
	Arrived   int `json:"arrived"`
	Refused   int `json:"refused"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Open      int `json:"open"`
	// InTime counts the jobs that earned their whole worth, Late those that
	// earned the worth of late jobs.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Worth is the worth that the jobs earned, divided by the worth that they
	// earn if all of them complete in time.
	Worth float64 `json:"worth"`
	// P50, P90 and P99 are quantiles of the time from submission to completion.
	// StartP90 is the 90 % quantile of the time from submission to the first
	// start. All are in seconds.
	P50      float64 `json:"p50_s"`
	P90      float64 `json:"p90_s"`
	P99      float64 `json:"p99_s"`
	StartP90 float64 `json:"start_p90_s"`

	// Owed counts the jobs that could have earned something: those that were
	// neither refused nor cancelled and crash no workers.
	Owed int `json:"owed"`
	// Preempted counts the runs that were stopped to make room for other jobs.
	// MostPreemptions is the highest number of times at which runs of any one
	// step were stopped for that.
	Preempted       int `json:"preempted"`
	MostPreemptions int `json:"most_preemptions"`
	// Wasted is the work that was neither completed nor saved, in core-seconds.
	Wasted float64 `json:"wasted_core_s"`

	// CompletionTimes has the sorted times from submission to completion, in
	// seconds, for charts.
	CompletionTimes []float64 `json:"-"`
}

// Add adds the counts of another result for the same kind. MostPreemptions
// becomes the higher of both. Add leaves quantiles and worth unchanged, since
// they can't be added.
func (k *Kind) Add(o Kind) {
	k.Arrived += o.Arrived
	k.Refused += o.Refused
	k.Completed += o.Completed
	k.Failed += o.Failed
	k.Cancelled += o.Cancelled
	k.Open += o.Open
	k.InTime += o.InTime
	k.Late += o.Late
	k.Owed += o.Owed
	k.Preempted += o.Preempted
	k.MostPreemptions = max(k.MostPreemptions, o.MostPreemptions)
	k.Wasted += o.Wasted
}

// Customer is the result of the jobs of one customer, of all kinds.
type Customer struct {
	Customer string `json:"customer"`
	// Owed and InTime are as in Kind.
	Owed   int `json:"owed"`
	InTime int `json:"in_time"`
}

// Share returns the share of the jobs that earned their whole worth, or 1 if
// the customer was owed nothing.
func (c Customer) Share() float64 { return share(c.InTime, c.Owed) }

// share returns part divided by all, or 1 if all is 0.
func share(part, all int) float64 {
	if all == 0 {
		return 1
	}
	return float64(part) / float64(all)
}

// worstShare returns the lowest share of jobs in time of any customer.
func (r *Run) worstShare() float64 {
	worst := 1.0
	for _, c := range r.Customers {
		worst = min(worst, c.Share())
	}
	return worst
}

// mostPreemptions returns the highest number of preemptions of any one step.
func (r *Run) mostPreemptions() float64 {
	most := 0
	for i := range r.Kinds {
		most = max(most, r.Kinds[i].MostPreemptions)
	}
	return float64(most)
}

// Report is the result of an experiment.
type Report struct {
	LengthS float64  `json:"length_s"`
	Seeds   []uint64 `json:"seeds"`
	// Policies holds the policies' names in the order of the experiment.
	Policies []string `json:"policies"`
	// Partial is set if the experiment ended before all policies were played
	// with all seeds.
	Partial bool `json:"partial"`
	// Runs are ordered by policy and seed. Runs that didn't complete are
	// missing.
	Runs []Run `json:"runs"`
	// Means has one entry for each policy and measure. Differences has one
	// entry for each measure and each policy except the first: the difference
	// to the first policy, over the seeds that were played with both.
	Means       []Mean `json:"means"`
	Differences []Mean `json:"differences"`
}

// CustomersOf returns the results of each customer with a policy, summed over all
// seeds and sorted by name.
func (r *Report) CustomersOf(policy string) []Customer {
	sums := map[string]Customer{}
	for i := range r.Runs {
		if r.Runs[i].Policy != policy {
			continue
		}
		for _, c := range r.Runs[i].Customers {
			sum := sums[c.Customer]
			sums[c.Customer] = Customer{Customer: c.Customer, Owed: sum.Owed + c.Owed, InTime: sum.InTime + c.InTime}
		}
	}
	return slices.SortedFunc(maps.Values(sums), func(a, b Customer) int { return cmp.Compare(a.Customer, b.Customer) })
}

// Mean is the mean of a measure over seeds, or of its differences to the first
// policy.
type Mean struct {
	Policy  string  `json:"policy"`
	Measure string  `json:"measure"`
	Seeds   int     `json:"seeds"`
	Mean    float64 `json:"mean"`
	// StdErr is the standard error of the mean, or 0 for fewer than two seeds.
	StdErr float64 `json:"stderr"`
}

// measure is a figure of a run by which policies are compared.
type measure struct {
	name  string
	value func(*Run) float64
}

// measures returns the measures that are compared: those of whole runs, and
// some for each kind of job.
func measures(runs []Run) []measure {
	out := []measure{
		{"worth", func(r *Run) float64 { return r.Worth }},
		{"net", func(r *Run) float64 { return r.Net }},
		{"use", func(r *Run) float64 { return r.Use }},
		{"fragmentation", func(r *Run) float64 { return r.Fragmentation }},
		{"wasted", func(r *Run) float64 { return r.Wasted }},
		{"starts", func(r *Run) float64 { return float64(r.Starts) }},
		{"crashes", func(r *Run) float64 { return float64(r.Crashes) }},
		{"stopped", func(r *Run) float64 { return float64(r.Stopped) }},
		{"preempted", func(r *Run) float64 { return float64(r.Preempted) }},
		{"most_preemptions", (*Run).mostPreemptions},
		{"worst_customer", (*Run).worstShare},
		{"owner_busy", func(r *Run) float64 { return r.OwnerBusy }},
		{"owner_wait_s", func(r *Run) float64 { return r.OwnerWait }},
	}
	if len(runs) == 0 {
		return out
	}
	for i, k := range runs[0].Kinds {
		out = append(
			out,
			measure{k.Kind + " worth", func(r *Run) float64 { return r.Kinds[i].Worth }},
			measure{k.Kind + " in_time", func(r *Run) float64 { return share(r.Kinds[i].InTime, r.Kinds[i].Owed) }},
			measure{k.Kind + " preempted", func(r *Run) float64 { return float64(r.Kinds[i].Preempted) }},
			measure{k.Kind + " wasted_core_s", func(r *Run) float64 { return r.Kinds[i].Wasted }},
			measure{k.Kind + " p50_s", func(r *Run) float64 { return r.Kinds[i].P50 }},
			measure{k.Kind + " p99_s", func(r *Run) float64 { return r.Kinds[i].P99 }},
		)
	}
	return out
}

// Summarize fills in Means and Differences from Runs.
func (r *Report) Summarize() {
	all := measures(r.Runs)
	for i, p := range r.Policies {
		for _, m := range all {
			r.Means = append(r.Means, mean(p, m.name, r.values(p, m)))
			if i > 0 {
				r.Differences = append(r.Differences, mean(p, m.name, r.paired(p, m)))
			}
		}
	}
}

// values returns the values of a measure for each run of a policy.
func (r *Report) values(p string, m measure) []float64 {
	var out []float64
	for i := range r.Runs {
		if r.Runs[i].Policy == p {
			out = append(out, m.value(&r.Runs[i]))
		}
	}
	return out
}

// paired returns the differences of a measure between a policy's runs and the
// first policy's runs with the same seeds.
func (r *Report) paired(p string, m measure) []float64 {
	var out []float64
	for i := range r.Runs {
		a := &r.Runs[i]
		if a.Policy != p {
			continue
		}
		at := slices.IndexFunc(r.Runs, func(b Run) bool { return b.Policy == r.Policies[0] && b.Seed == a.Seed })
		if at >= 0 {
			out = append(out, m.value(a)-m.value(&r.Runs[at]))
		}
	}
	return out
}

// mean returns the mean of some values with its standard error.
func mean(p, name string, values []float64) Mean {
	out := Mean{Policy: p, Measure: name, Seeds: len(values)}
	n := float64(len(values))
	if n == 0 {
		return out
	}
	for _, v := range values {
		out.Mean += v / n
	}
	if n < 2 {
		return out
	}
	sum := 0.0
	for _, v := range values {
		sum += (v - out.Mean) * (v - out.Mean)
	}
	out.StdErr = math.Sqrt(sum / (n - 1) / n)
	return out
}

// FindMean returns the entry for a policy and measure from a list of means, or an
// empty one if there is none.
func FindMean(means []Mean, policy, name string) Mean {
	for _, m := range means {
		if m.Policy == policy && m.Measure == name {
			return m
		}
	}
	return Mean{Policy: policy, Measure: name}
}

// Quantile returns the q-quantile of sorted values by the nearest-rank method,
// or 0 if there are no values.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(0, min(at, len(sorted)-1))]
}
