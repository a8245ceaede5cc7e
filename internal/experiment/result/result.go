// Package result holds what came out of an experiment, and compares policies seed by seed.
package result

import (
	"math"
	"slices"

	"curlewsill.org/curlewsill/core/world"
)

// Run is what came out of one policy with one seed.
type Run struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Worth is the part of what the jobs could earn that they earned, Net the same less prices.
	Worth float64 `json:"worth"`
	Net   float64 `json:"net"`
	// Use is the mean part of the accelerators in use while jobs came, Fragmentation the mean part
	// of the free ones that are on workers in use.
	Use           float64 `json:"use"`
	Fragmentation float64 `json:"fragmentation"`
	// Wasted is the part of the work of all runs that was thrown away.
	Wasted  float64 `json:"wasted"`
	Starts  int     `json:"starts"`
	Stopped int     `json:"stopped"`
	Broken  int     `json:"broken"`
	Lapsed  int     `json:"lapsed"`
	// Crashes counts the lives of workers that tasks have ended.
	Crashes int `json:"crashes"`
	// OwnerBusy is the part of the owner's processor in use, OwnerWait the longest time that
	// something waited for it.
	OwnerBusy float64 `json:"owner_busy"`
	OwnerWait float64 `json:"owner_wait_s"`
	Passes    int     `json:"passes"`
	Claims    int     `json:"claims"`
	// Violations lists the first invariants that did not hold; none is what is expected.
	Violations []string `json:"violations"`
	Kinds      []Kind   `json:"kinds"`

	// Samples are for charts.
	Samples []world.Sample `json:"-"`
}

// Kind is what came out of one kind of job.
type Kind struct {
	Kind string `json:"kind"`
	// Arrived counts all jobs, the others what became of them. Refused jobs can never run.
	Arrived   int `json:"arrived"`
	Refused   int `json:"refused"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	Open      int `json:"open"`
	// InTime and Late count the jobs that earned their worth, or the one for late ones.
	InTime int `json:"in_time"`
	Late   int `json:"late"`
	// Worth is the part of what they could earn.
	Worth float64 `json:"worth"`
	// P50 and the others are quantiles of the time to completion, Start that to the first start,
	// in seconds.
	P50      float64 `json:"p50_s"`
	P90      float64 `json:"p90_s"`
	P99      float64 `json:"p99_s"`
	StartP90 float64 `json:"start_p90_s"`

	// Took has the sorted times to completion in seconds, for charts.
	Took []float64 `json:"-"`
}

// Add adds the counts of another run of the same kind; quantiles and worth are not added.
func (k *Kind) Add(o Kind) {
	k.Arrived += o.Arrived
	k.Refused += o.Refused
	k.Completed += o.Completed
	k.Failed += o.Failed
	k.Cancelled += o.Cancelled
	k.Open += o.Open
	k.InTime += o.InTime
	k.Late += o.Late
}

// Report is the result of an experiment.
type Report struct {
	LengthS float64  `json:"length_s"`
	Seeds   []uint64 `json:"seeds"`
	// Policies are those of the experiment in their order.
	Policies []string `json:"policies"`
	// Partial is set if the experiment was ended before all were played.
	Partial bool `json:"partial"`
	// Runs are ordered by policy and seed. Those that were not played to their end are missing.
	Runs []Run `json:"runs"`
	// Means has one entry for each policy and measure, Differences one for each policy but the
	// first. Only seeds count that were played with both.
	Means       []Mean `json:"means"`
	Differences []Mean `json:"differences"`
}

// Mean is the mean of a measure over seeds, or of its differences to the first policy.
type Mean struct {
	Policy  string  `json:"policy"`
	Measure string  `json:"measure"`
	Seeds   int     `json:"seeds"`
	Mean    float64 `json:"mean"`
	// StdErr is the standard error of the mean; 0 for fewer than two seeds.
	StdErr float64 `json:"stderr"`
}

// measure is one figure of a run.
type measure struct {
	name string
	of   func(*Run) float64
}

// measures returns the figures that are compared: those of all runs, and some for each kind.
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
			measure{k.Kind + " p50_s", func(r *Run) float64 { return r.Kinds[i].P50 }},
			measure{k.Kind + " p99_s", func(r *Run) float64 { return r.Kinds[i].P99 }},
		)
	}
	return out
}

// Sum fills in the means and differences of the runs that are there.
func (r *Report) Sum() {
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

// values returns a measure of a policy's runs.
func (r *Report) values(p string, m measure) []float64 {
	var out []float64
	for i := range r.Runs {
		if r.Runs[i].Policy == p {
			out = append(out, m.of(&r.Runs[i]))
		}
	}
	return out
}

// paired returns the differences to the first policy's runs with the same seeds.
func (r *Report) paired(p string, m measure) []float64 {
	var out []float64
	for i := range r.Runs {
		a := &r.Runs[i]
		if a.Policy != p {
			continue
		}
		at := slices.IndexFunc(r.Runs, func(b Run) bool { return b.Policy == r.Policies[0] && b.Seed == a.Seed })
		if at >= 0 {
			out = append(out, m.of(a)-m.of(&r.Runs[at]))
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

// Of returns the mean of a policy's measure.
func Of(means []Mean, policy, name string) Mean {
	for _, m := range means {
		if m.Policy == policy && m.Measure == name {
			return m
		}
	}
	return Mean{Policy: policy, Measure: name}
}

// Quantile returns the q-quantile of sorted values by the nearest rank; 0 if there are none.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(0, min(at, len(sorted)-1))]
}
