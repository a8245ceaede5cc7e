package speed

import (
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

const (
	// minPercent is how many percentage points an observation must cover:
	// percentages are rounded, and fewer points say little.
	minPercent = 5
	// minTime is how much time an observation must cover. Shorter times are
	// dominated by the transit times of answers.
	minTime = 200 * time.Millisecond
	// minEndPercent is how many percentage points must not be covered yet when
	// a run ends for the end to be an observation.
	minEndPercent = 25
	// almostDone is the percentage from which progress isn't used: the run may
	// be waiting for the other members of its gang.
	almostDone = 98
	// transit is how much the transit times of two answers may differ.
	transit = 50 * time.Millisecond
	// singleVariance is the variance of the logarithm of the time that tasks of
	// a step take on equal workers, gangVariance the same for members of one
	// gang. Single tasks differ by 15 % in standard deviation, members hardly.
	singleVariance, gangVariance = 0.04, 0.01
	// laterFactor multiplies the variance of the later observations of a run,
	// since the unevenness of its task is the same in all of them.
	laterFactor = 4
	// roundingPercent is the standard deviation of the difference of two
	// rounded percentages.
	roundingPercent = 0.6
)

// Observation is the time that a run has taken for a share of its task's work.
type Observation struct {
	// Took is the time; Share, above 0 and up to 1, is the share.
	Took  time.Duration
	Share float64
	// Variance is the variance of the logarithm of Took/Share that isn't due to
	// the worker.
	Variance float64
	// Gang is set for a member of a gang. The time of a single task may be
	// several times the usual one without a fault of the worker.
	Gang bool
	// run is the run that was observed; nil if it isn't known.
	run *Progress
}

// Progress follows the reports of one run. The zero value is that of a run
// whose start isn't known.
type Progress struct {
	// from is when the run was at percent; 0 before a start or a report is
	// known.
	from    unit.Instant
	percent int8
	// observed is set once the run has given an observation, outlier while its
	// latest one was an outlier.
	observed, outlier bool
	// ended is set when the run gives no more observations.
	ended bool
}

// Begin records when the run began its task from the start. It has no effect
// once a report is known.
func (p *Progress) Begin(at unit.Instant) {
	if p.from == 0 {
		p.from, p.percent = at, 0
	}
}

// Begun reports whether a start or a report is known.
func (p *Progress) Begun() bool { return p.from != 0 }

// Stop ends the run's observations.
func (p *Progress) Stop() { p.ended = true }

// Report processes a report of the run's progress in percent. It returns an
// observation if enough of the work was done since the previous one. A
// percentage outside 0 to 100, or one that falls, ends the run's observations.
// A percentage of 0 may mean that the run reports no progress, so observations
// begin with a known start or with the first percentage above 0.
func (p *Progress) Report(now unit.Instant, percent int, gang bool) (Observation, bool) {
	if p.ended {
		return Observation{}, false
	}
	if percent < 0 || percent > 100 || percent < int(p.percent) {
		p.Stop()
		return Observation{}, false
	}
	if percent == 0 || percent >= almostDone {
		return Observation{}, false
	}
	if p.from == 0 {
		p.from, p.percent = now, int8(percent)
		return Observation{}, false
	}
	done, took := percent-int(p.percent), now.Sub(p.from)
	if done < minPercent || took < minTime {
		return Observation{}, false
	}
	p.from, p.percent = now, int8(percent)
	return p.observation(done, took, transit, gang), true
}

// Done processes the successful end of a single task, which became known at
// most late after it happened. It returns an observation if enough of the work
// isn't covered by earlier ones.
func (p *Progress) Done(now unit.Instant, late time.Duration) (Observation, bool) {
	if p.ended || p.from == 0 {
		return Observation{}, false
	}
	p.Stop()
	done, took := 100-int(p.percent), now.Sub(p.from)
	if done < minEndPercent || took < minTime {
		return Observation{}, false
	}
	return p.observation(done, took, transit+max(0, late), false), true
}

// observation returns an observation whose time may be wrong by the given
// amount.
func (p *Progress) observation(done int, took, wrong time.Duration, gang bool) Observation {
	v := singleVariance
	if gang {
		v = gangVariance
	}
	if p.observed {
		v *= laterFactor
	}
	p.observed = true
	rounding, timing := roundingPercent/float64(done), wrong.Seconds()/took.Seconds()
	return Observation{Took: took, Share: float64(done) / 100, Variance: v + rounding*rounding + timing*timing, Gang: gang, run: p}
}
