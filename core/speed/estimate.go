package speed

import (
	"math"
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

const (
	// initialVariance is the variance of a worker's slowness, as a natural
	// logarithm, before anything is known about it: factors of up to 2.7 are
	// usual.
	initialVariance = 0.25
	// drift is the time constant with which an estimate returns to the initial
	// one while observations are frequent, silence that with which it does so
	// without them: the decay during silence is quadratic in the time since the
	// latest observation. A time constant of 2 min alone loses as much between
	// two observations, which are 2 s to 10 s apart, as they add: the standard
	// deviation stays at 0.16 to 0.18.
	drift, silence = 10 * time.Minute, 80 * time.Second
	// surprise is the number of standard deviations by which an observation
	// must be off to count as an outlier, surpriseOfTail the same for a single
	// task that takes longer than expected. Some of these take several times as
	// long on any worker. With 3, such a task made a worker of which nothing
	// was known count as slow for as long as it ran.
	surprise, surpriseOfTail = 3, 2
	// confirmations is the number of consecutive outliers of one sign after
	// which a worker is assumed to have changed. Of single tasks, 3 % take
	// several times as long as the others on any worker, so more of these are
	// needed: with two, two of 350 equal workers counted as slow at a time.
	confirmations, confirmationsOfTail = 2, 3
	// maxLog bounds the logarithm of a slowness.
	maxLog = 2
	// maxKnown bounds how certain an estimate becomes: the speed of a worker
	// varies over time.
	maxKnown = 1000
	// minVariance and maxVariance are the variances of observations that can be
	// used. Smaller ones can't be divided by, and greater ones say nothing.
	minVariance, maxVariance = 0.001, 100
	// forgotten is added to lost when an estimate begins anew: nothing of what
	// observations have contributed before is left.
	forgotten = 50
)

// Estimate is the estimated slowness of one incarnation of a worker. The zero
// value is that of a worker about which nothing is known.
type Estimate struct {
	// known is 1/variance of the logarithm of the slowness, less that of a worker
	// about which nothing is known. It is finite and not negative. value is
	// the mean divided by the variance. Both are as of at.
	known, value float64
	at           unit.Instant
	// lost is the sum of the logarithms of all factors by which known has
	// decayed, negated.
	lost float64
	// shifted is the sum of all shifts of the mean.
	shifted float64
	// count is the number of observations; it stays at its maximum.
	count uint16
	// outliers counts consecutive outliers; it is negative if the worker was
	// faster than expected.
	outliers int8
	// class is the worker's class in the latest comparison.
	class Class
}

// Count returns the number of observations.
func (e *Estimate) Count() int { return int(e.count) }

// Class returns the worker's class in the latest comparison.
func (e *Estimate) Class() Class { return e.class }

// Age returns how old the latest observation is; 0 without one.
func (e *Estimate) Age(now unit.Instant) time.Duration {
	if e.count == 0 || now <= e.at {
		return 0
	}
	if age := now.Sub(e.at); age > 0 {
		return age
	}
	return math.MaxInt64 // the difference is too large for a duration
}

// Log returns the mean and the variance of the logarithm of the slowness, which
// return to the initial values while nothing is observed.
func (e *Estimate) Log(now unit.Instant) (mean, variance float64) {
	if e.count == 0 {
		return 0, initialVariance
	}
	variance = 1 / (e.known + 1/initialVariance)
	mean = clamp(e.value * variance)
	age := e.Age(now).Seconds()
	quiet := age / silence.Seconds()
	keep := math.Exp(-age/drift.Seconds() - quiet*quiet)
	return mean * keep, initialVariance + (variance-initialVariance)*keep*keep
}

// Factor returns the worker's slowness as a factor: 1 is typical, 2 is a worker
// that takes twice as long. The less is known, the nearer it is to 1.
func (e *Estimate) Factor(now unit.Instant) float64 {
	mean, _ := e.Log(now)
	return math.Exp(mean)
}

// valid reports whether an observation can be used.
func (o Observation) valid() bool {
	return o.Took > 0 && o.Share > 0 && o.Share <= 1 && o.Variance >= minVariance && o.Variance <= maxVariance
}

// Observe updates the estimate of a worker and the baseline of the step by one
// observation. An observation that can't be valid changes nothing.
//
// An outlier changes nothing by itself. It may be due to an unusual task, to a
// worker that has changed, or to a wrong baseline; the next observations show
// which.
func (e *Estimate) Observe(now unit.Instant, b *Baseline, o Observation) {
	if !o.valid() {
		return
	}
	y := math.Log(o.Took.Seconds()) - math.Log(o.Share)
	e.decay(now)
	b.refresh()
	b.gang = o.Gang
	if !e.expected(now, b, y, o) {
		return
	}
	if e.count < math.MaxUint16 {
		e.count++
	}
	b.add(e, y, o.Variance)
}

// expected reports whether an observation can be used. It can't be if it is an
// outlier that isn't confirmed.
func (e *Estimate) expected(now unit.Instant, b *Baseline, y float64, o Observation) bool {
	length, weight := b.others(e)
	if weight == 0 {
		return true
	}
	mean, variance := e.Log(now)
	off := y - length - mean
	deviation := math.Sqrt(variance + o.Variance + 1/weight)
	outlier := math.Abs(off) > surprise*deviation || !o.Gang && off > surpriseOfTail*deviation
	sameTask := o.run != nil && o.run.outlier && !o.Gang
	if o.run != nil {
		o.run.outlier = outlier
	}
	switch {
	case !outlier:
		b.acquit()
		e.outliers = 0
		return true
	case sameTask:
		return false // it is the same unusual task
	case b.blame(e, off):
		return true
	case b.mature(e) && e.confirm(off, o.Gang):
		e.known, e.value, e.lost = 0, 0, e.lost+forgotten
		b.drop(e)
		return true
	}
	return false
}

// confirm counts an outlier. It reports whether there are enough in a row to
// conclude that the worker has changed; the count then begins anew.
func (e *Estimate) confirm(off float64, gang bool) bool {
	sign := int8(math.Copysign(1, off))
	if e.outliers*sign <= 0 {
		e.outliers = 0
	}
	e.outliers += sign
	need := int8(confirmations)
	if !gang && off > 0 {
		need = confirmationsOfTail
	}
	if e.outliers*sign < need {
		return false
	}
	e.outliers = 0
	return true
}

// decay brings the estimate up to date.
func (e *Estimate) decay(now unit.Instant) {
	mean, variance := e.Log(now)
	known := min(maxKnown, max(0, 1/variance-1/initialVariance))
	switch {
	case known > 0:
		e.lost += math.Log(e.known / known)
	case e.known > 0:
		e.lost += forgotten
	}
	e.known, e.value = known, mean*(known+1/initialVariance)
	if e.count == 0 {
		e.at = now
	}
	e.at = max(e.at, now)
}

// clamp returns the logarithm of a slowness within its bounds.
func clamp(log float64) float64 { return min(max(log, -maxLog), maxLog) }
