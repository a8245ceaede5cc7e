package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// clockDrift is how much faster than a worker's clock ours may run: theirs
	// may be 2 % slow by the platform's word.
	clockDrift = 1.0 / 0.98
	// lapseSlack is added to each lease's end for the way of an order, a few
	// milliseconds, and for late timers.
	lapseSlack = 200 * time.Millisecond
	// assuredFor is how long an owner grants leases after it last knew that nobody else was the owner: a read of
	// the jobs is 1 s old at most, or 2.6 s after one that was lost. The next owner waits as much longer.
	assuredFor = 3 * time.Second
)

// grants reports whether leases may be extended.
func (d *Dispatcher) grants(now unit.Instant) bool {
	return d.assured == 0 || now.Sub(d.assured) <= assuredFor
}

// noteGrants notes when leases are no longer extended, and when they are again.
func (d *Dispatcher) noteGrants(now unit.Instant) {
	d.noteWithheld(&d.withholds, !d.grants(now), EventLeasesWithheld, EventLeasesGranted, age(now, d.assured))
}

// noteWithheld notes a change of whether something is withheld, with the age of what that rests on.
func (d *Dispatcher) noteWithheld(was *bool, is bool, begins, ends Event, age time.Duration) {
	if *was == is {
		return
	}
	*was = is
	event := ends
	if is {
		event = begins
	}
	d.note(Note{Event: event, Age: age})
}

// age returns how long ago something was known; 0 if it never was.
func age(now, known unit.Instant) time.Duration {
	if known == 0 {
		return 0
	}
	return now.Sub(known)
}

// lease returns the end of a lease granted now.
func (d *Dispatcher) lease(now unit.Instant, w *worker) fleet.Clock {
	return w.clock(now) + fleet.Clock(d.config.MaxLease)
}

// lapse returns when every lease on the worker has surely run out: those that may have been granted, and those of orders
// under way.
func (w *worker) lapse() unit.Instant {
	last := max(w.grantedUntil, w.renewalLapse)
	for _, r := range w.runs {
		last = max(last, r.startLapse, r.strayLapse)
	}
	return last
}

// grantedBy takes in what became of an order that was to grant a lease until a time. One that was surely not sent has
// granted none: without that, what was placed on a worker that has crashed waits until a lease lapses that nobody holds.
func (w *worker) grantedBy(until unit.Instant, v fleet.Verdict) {
	if v != fleet.Unreachable {
		w.grantedUntil = max(w.grantedUntil, until)
	}
}

// lapseOf returns when a lease that is granted at most now has surely run out.
func (d *Dispatcher) lapseOf(now unit.Instant) unit.Instant {
	return now.Add(scale(d.config.MaxLease, clockDrift)).Add(lapseSlack)
}

// clock returns a reading that the worker's clock has surely reached.
func (w *worker) clock(now unit.Instant) fleet.Clock {
	passed := float64(now.Sub(w.clockAt)) / clockDrift
	return w.Clock + fleet.Clock(passed)
}
