package replay

import (
	"math"
	"slices"

	"curlewsill.org/curlewsill/core/config"
)

// Quantiles in a Result.
const (
	median = 0.5
	tail   = 0.99
)

// summarize computes the result of the replay.
func (sim *simulation) summarize() Result {
	r := sim.result
	r.Preempted = sim.sched.Stats().Preempted
	var completions, largeCompletions, urgentStarts []float64
	for _, jobID := range config.SortedKeys(sim.jobs) {
		j := sim.jobs[jobID]
		at := startTime.Add(j.event.At)
		if j.event.Urgent && j.started != 0 {
			urgentStarts = append(urgentStarts, j.started.Sub(at).Seconds())
		}
		if j.reclaims && j.started != 0 {
			r.GuaranteeReclaimMax = max(r.GuaranteeReclaimMax, j.started.Sub(at).Seconds())
		}
		if j.ended == 0 {
			continue
		}
		completion := j.ended.Sub(at).Seconds()
		completions = append(completions, completion)
		if j.event.Accelerators >= largeGang {
			largeCompletions = append(largeCompletions, completion)
		}
	}
	r.CompletionP50, r.CompletionP99 = quantile(completions, median), quantile(completions, tail)
	r.LargeCompletionP99, r.UrgentStartP99 = quantile(largeCompletions, tail), quantile(urgentStarts, tail)
	frag, util, n := 0.0, 0.0, 0
	for _, s := range r.Samples {
		if startTime.Add(s.At) > sim.lastSubmit {
			break
		}
		frag += s.Fragmentation
		util += s.Utilisation
		n++
	}
	r.Fragmentation, r.Utilisation = frag/float64(max(n, 1)), util/float64(max(n, 1))
	if span := sim.lastSubmit.Sub(startTime).Seconds(); span > 0 {
		r.Utilisation -= r.LostAcceleratorSeconds / span / float64(sim.totalAccelerators())
	}
	return r
}

// quantile returns the q-quantile of x by the nearest-rank method; 0 if x is empty.
// It sorts x.
func quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[min(int(math.Ceil(q*float64(len(x))))-1, len(x)-1)]
}
