package replay

import (
	"math"
	"slices"

	"curlewsill.org/curlewsill/core/config"
)

// Quantiles that are reported.
const (
	median = 0.5
	tail   = 0.99
)

// sum adds a run up.
func (b *bench) sum() Result {
	r := b.result
	r.Preempted = b.sched.Stats().Preempted
	var all, big, urgent []float64
	for _, name := range config.Sorted(b.jobs) {
		j := b.jobs[name]
		at := begin.Add(j.event.At)
		if j.event.Urgent && j.started != 0 {
			urgent = append(urgent, j.started.Sub(at).Seconds())
		}
		if j.owed && j.started != 0 {
			r.GuaranteeReclaimMax = max(r.GuaranteeReclaimMax, j.started.Sub(at).Seconds())
		}
		if j.ended == 0 {
			continue
		}
		took := j.ended.Sub(at).Seconds()
		all = append(all, took)
		if j.event.Accelerators >= large {
			big = append(big, took)
		}
	}
	r.CompletionP50, r.CompletionP99 = quantile(all, median), quantile(all, tail)
	r.LargeCompletionP99, r.UrgentStartP99 = quantile(big, tail), quantile(urgent, tail)
	frag, util, n := 0.0, 0.0, 0
	for _, s := range r.Samples {
		if begin.Add(s.At) > b.lastSubmit {
			break
		}
		frag += s.Fragmentation
		util += s.Utilisation
		n++
	}
	r.Fragmentation, r.Utilisation = frag/float64(max(n, 1)), util/float64(max(n, 1))
	if span := b.lastSubmit.Sub(begin).Seconds(); span > 0 {
		r.Utilisation -= r.LostAccelerator / span / float64(b.all())
	}
	return r
}

// quantile returns the q-quantile of x by the nearest rank; 0 if x is empty.
func quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	slices.Sort(x)
	return x[min(int(math.Ceil(q*float64(len(x))))-1, len(x)-1)]
}
