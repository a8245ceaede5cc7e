package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// clockDrift is the largest ratio of the speed of the owner's clock to that
	// of a worker's clock: the platform lets workers' clocks be 2 % slow.
	clockDrift = 1.0 / 0.98
	// leaseExpiryMargin is added to the end of each lease: an order takes a few
	// milliseconds to reach the worker, and timers fire late.
	leaseExpiryMargin = 200 * time.Millisecond
	// soleOwnerValidity is how long an owner grants leases after the latest
	// time for which it knows that no other host was the owner. It learns this
	// time from its reads of the jobs; the newest read is 1 s old at most, or
	// 2.6 s after a failed one. For runs of an earlier owner, the next owner
	// assumes leases that were granted up to soleOwnerValidity after it took
	// them over.
	soleOwnerValidity = 3 * time.Second
)

// mayGrantLeases reports whether leases may be granted and extended.
func (d *Dispatcher) mayGrantLeases(now unit.Instant) bool {
	return d.soleOwnerAt == 0 || now.Sub(d.soleOwnerAt) <= soleOwnerValidity
}

// noteLeasesWithheld logs when leases are no longer extended, and when they are
// again.
func (d *Dispatcher) noteLeasesWithheld(now unit.Instant) {
	d.noteWithheld(&d.leasesWithheld, !d.mayGrantLeases(now), Note{Event: EventLeasesWithheld, Age: age(now, d.soleOwnerAt)}, EventLeasesGranted)
}

// noteWithheld logs when leases or starts begin to be withheld and when that
// ends, with the age of the information that this depends on.
func (d *Dispatcher) noteWithheld(was *bool, is bool, begins Note, ends Event) {
	if *was == is {
		return
	}
	*was = is
	if !is {
		begins.Event = ends
	}
	d.note(begins)
}

// age returns the time from known until now; 0 if known is 0, which means
// never.
func age(now, known unit.Instant) time.Duration {
	if known == 0 {
		return 0
	}
	return now.Sub(known)
}

// lease returns the end of a lease granted now, by the worker's clock.
func (d *Dispatcher) lease(now unit.Instant, w *worker) fleet.ClockReading {
	return w.clock(now) + fleet.ClockReading(d.config.MaxLease)
}

// leaseExpiry returns when every lease on the worker has expired for certain:
// those that may have been granted, and those of orders in flight.
func (w *worker) leaseExpiry() unit.Instant {
	last := max(w.formerLeaseExpiry, w.grantedLeaseExpiry, w.renewalLeaseExpiry)
	for _, r := range w.runs {
		last = max(last, r.startLeaseExpiry, r.lateStartLeaseExpiry)
	}
	return last
}

// recordGrant handles the verdict of an order that grants a lease until a time.
// An order that was certainly not sent has granted no lease. Without this
// exception, the tasks of a crashed worker would wait for the expiry of a lease
// that was never granted.
func (w *worker) recordGrant(until unit.Instant, v fleet.Verdict) {
	if v != fleet.Unreachable {
		w.grantedLeaseExpiry = max(w.grantedLeaseExpiry, until)
	}
}

// maxLeaseExpiry returns when a lease that is granted now, or earlier, has
// expired for certain.
func (d *Dispatcher) maxLeaseExpiry(now unit.Instant) unit.Instant {
	return now.Add(scale(d.config.MaxLease, clockDrift)).Add(leaseExpiryMargin)
}

// clock returns a lower bound of the worker's clock: its last known reading
// plus the time since then, on a clock that is slow by clockDrift.
func (w *worker) clock(now unit.Instant) fleet.ClockReading {
	passed := float64(now.Sub(w.clockAt)) / clockDrift
	return w.Clock + fleet.ClockReading(passed)
}
