package speed

import (
	"math"
	"slices"
)

const (
	// maxWeight bounds the weight of past observations of a step, so that its
	// baseline follows tasks that change over time. It corresponds to 20 to 30
	// observations.
	maxWeight = 500
	// maxSingleWeight bounds the weight of one worker in a step of single tasks,
	// even if the worker is well known. Of its tasks, 3 % take several times as
	// long as the others; if one of these was the first of its step, a worker of
	// which nothing was known counted as fast.
	maxSingleWeight = 4
	// minWeight is the weight below which observations count as none.
	minWeight = 1e-6
	// matureCount is the number of other workers from which a baseline is trusted
	// more than a worker.
	matureCount = 4
	// restartAfter is the number of consecutive outliers of one sign, each on
	// another worker than the one before, after which the baseline is assumed
	// to be wrong and is estimated anew.
	restartAfter = 3
	// maxRecent is the number of workers of which a step keeps the observations.
	maxRecent = 16
)

// Baseline is the estimated length of the tasks of one step, as the logarithm
// of seconds. Each worker is compared with the length that the other workers
// suggest. The zero value is that of a step without observations.
type Baseline struct {
	// recent holds the workers that were observed last, at most maxRecent; the
	// first one was added first.
	recent []evidence
	// weight is the weight of the observations of all other workers, at most
	// maxWeight, sum the sum of the lengths that they suggest, weighted.
	weight, sum float64
	// gang is set for the members of a gang.
	gang bool
	// outliers counts consecutive outliers on different workers; it is negative
	// if they were shorter than expected. suspect is the worker of the last one.
	outliers int8
	suspect  *Estimate
}

// evidence is what the observations of one step say about one worker.
type evidence struct {
	worker *Estimate
	// lost and shifted are those of the worker for which the other fields hold.
	lost, shifted float64
	// weight is the sum of the weights of the observations, 1 / variance, sum
	// that of the weighted observations.
	weight, sum float64
	// known and value are the parts of the worker's known and value that are due
	// to these observations.
	known, value float64
}

// refresh brings the evidence up to date with what the worker has lost, and by
// how much it was shifted, since.
func (v *evidence) refresh() {
	w := v.worker
	v.value -= (w.shifted - v.shifted) * v.known
	if w.lost != v.lost {
		keep := math.Exp(v.lost - w.lost)
		v.weight, v.sum, v.known, v.value = v.weight*keep, v.sum*keep, v.known*keep, v.value*keep
	}
	v.lost, v.shifted = w.lost, w.shifted
}

// length returns the length of the step that the evidence about a worker suggests, given what
// is known of the worker from other steps, and the weight of that.
func (b *Baseline) length(v *evidence) (value, weight float64) {
	w := v.worker
	variance := 1 / (1/initialVariance + max(0, w.known-v.known))
	mean := (w.value - v.value) * variance
	weight = 1 / (variance + 1/v.weight)
	if !b.gang {
		weight = min(weight, maxSingleWeight)
	}
	return v.sum/v.weight - mean, weight
}

// refresh brings the observations up to date.
func (b *Baseline) refresh() {
	for i := range b.recent {
		b.recent[i].refresh()
	}
	b.recent = slices.DeleteFunc(b.recent, func(v evidence) bool { return v.weight < minWeight })
}

// others returns the length of the step that the observations of other workers
// suggest, and the weight of that; 0 if there are none.
func (b *Baseline) others(e *Estimate) (length, weight float64) {
	weight, sum := b.weight, b.sum
	for i := range b.recent {
		v := &b.recent[i]
		if v.worker == e {
			continue
		}
		x, g := b.length(v)
		weight, sum = weight+g, sum+g*x
	}
	if weight < minWeight {
		return 0, 0
	}
	return sum / weight, weight
}

// add adds an observation of a worker with its variance, and revises the
// estimates of all workers whose observations are kept. Without the revision,
// a worker that is the first to end a task of each step would never be compared
// with the others.
func (b *Baseline) add(e *Estimate, value, variance float64) {
	v := b.evidence(e)
	v.weight += 1 / variance
	v.sum += value / variance
	if v.weight > maxWeight {
		v.sum *= maxWeight / v.weight
		v.weight = maxWeight
	}
	b.revise()
}

// evidence returns the evidence about a worker, and adds it if there is none.
func (b *Baseline) evidence(e *Estimate) *evidence {
	i := slices.IndexFunc(b.recent, func(v evidence) bool { return v.worker == e })
	if i >= 0 {
		return &b.recent[i]
	}
	if len(b.recent) == maxRecent {
		x, g := b.length(&b.recent[0])
		b.weight, b.sum = b.weight+g, b.sum+g*x
		if b.weight > maxWeight {
			b.sum *= maxWeight / b.weight
			b.weight = maxWeight
		}
		b.recent = slices.Delete(b.recent, 0, 1)
	}
	b.recent = append(b.recent, evidence{worker: e, lost: e.lost, shifted: e.shifted})
	return &b.recent[len(b.recent)-1]
}

// revise replaces what the observations of the step have contributed to the
// estimate of each worker.
func (b *Baseline) revise() {
	var lengths, weights [maxRecent]float64
	weight, sum := b.weight, b.sum
	for i := range b.recent {
		x, g := b.length(&b.recent[i])
		lengths[i], weights[i] = x, g
		weight, sum = weight+g, sum+g*x
	}
	for i := range b.recent {
		v := &b.recent[i]
		known, value := 0.0, 0.0
		if others := weight - weights[i]; others >= minWeight {
			length := (sum - weights[i]*lengths[i]) / others
			known = 1 / (1/v.weight + 1/others)
			value = (v.sum/v.weight - length) * known
		}
		w := v.worker
		w.known = max(0, w.known-v.known) + known
		w.value += value - v.value
		v.known, v.value = known, value
	}
}

// mature reports whether enough other workers support the baseline for a worker
// to be the likely cause of an outlier. The first tasks of a step may all be
// unusual ones.
func (b *Baseline) mature(e *Estimate) bool {
	n := len(b.recent)
	if slices.ContainsFunc(b.recent, func(v evidence) bool { return v.worker == e }) {
		n--
	}
	return n >= matureCount
}

// drop removes the observations of a worker, which has changed since.
func (b *Baseline) drop(e *Estimate) {
	b.recent = slices.DeleteFunc(b.recent, func(v evidence) bool { return v.worker == e })
}

// blame counts an outlier on a worker. It reports whether the baseline itself
// is probably wrong; it has then been cleared.
func (b *Baseline) blame(e *Estimate, off float64) bool {
	sign := int8(math.Copysign(1, off))
	switch {
	case b.outliers*sign <= 0:
		b.outliers = sign
	case b.suspect != e:
		b.outliers += sign
	}
	b.suspect = e
	if b.outliers*sign < restartAfter {
		return false
	}
	*b = Baseline{}
	return true
}

// acquit ends a series of outliers.
func (b *Baseline) acquit() { b.outliers, b.suspect = 0, nil }
