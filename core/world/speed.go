package world

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

// speedChange is a period in which the runs on a worker work at another speed.
type speedChange struct {
	from, to unit.Instant
	// factor multiplies the speed. It is 0 while the runs make no progress.
	factor float64
}

// changeSpeed multiplies the speed of all runs on the worker, runs in progress
// included, for a while. Changes that overlap multiply.
func (m *machine) changeSpeed(duration time.Duration, factor float64) {
	now := m.world.now
	m.speedChanges = append(m.speedChanges, speedChange{from: now, to: now.Add(duration), factor: factor})
	for _, r := range slices.Clone(m.runs) {
		r.rescheduleEnd()
	}
}

// fasterThanUsual reports whether some speed change in force makes the worker
// faster.
func (m *machine) fasterThanUsual() bool {
	now := m.world.now
	return slices.ContainsFunc(m.speedChanges, func(c speedChange) bool { return c.factor > 1 && now < c.to })
}

// speedFactor returns the factor of the speed at a time, and the next time
// after it at which the factor may change; 0 if there is none.
func (m *machine) speedFactor(at unit.Instant) (factor float64, until unit.Instant) {
	factor = 1
	for _, c := range m.speedChanges {
		next := c.from
		if at >= c.from {
			next = c.to
		}
		if at >= c.to {
			continue
		}
		if at >= c.from {
			factor *= c.factor
		}
		if until == 0 || next < until {
			until = next
		}
	}
	return factor, until
}

// workTime returns for how long, at their usual speed, the runs on the worker
// have to work to do what they do within a period.
func (m *machine) workTime(from, to unit.Instant) time.Duration {
	total := time.Duration(0)
	for from < to {
		factor, until := m.speedFactor(from)
		if until == 0 || until > to {
			until = to
		}
		total += scaleExactly(until.Sub(from), factor)
		from = until
	}
	return total
}

// timeFor returns how long the runs on the worker take from now on for what
// takes d at their usual speed.
func (m *machine) timeFor(d time.Duration) time.Duration {
	from := m.world.now
	for at := from; ; {
		factor, until := m.speedFactor(at)
		if until == 0 {
			return at.Sub(from) + d
		}
		if done := scaleExactly(until.Sub(at), factor); done < d {
			d, at = d-done, until
			continue
		}
		// scaleExactly rounds down. One nanosecond more lets the work be done
		// when the time has passed.
		return at.Sub(from) + min(until.Sub(at), scaleExactly(d, 1/factor)+1)
	}
}

// scaleExactly is scale without a rounding error for a factor of 1.
func scaleExactly(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return scale(d, factor)
}
