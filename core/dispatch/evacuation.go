package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// The operator may evacuate a failure domain: no task may start there until the
// evacuation is lifted. Tasks that already run there continue.
//
// The deadline for an evacuation to take effect, Config.EvacuationLimit after
// the operator's write, is met by three checks against the newest records that
// the host has read: when a task is placed, when the record of its placement is
// in the store, and when its order is sent. All of them fail if the operator's
// records were last read longer ago than Config.MaxEvacuationAge. So an owner
// that reads late, was frozen or has just taken over starts nothing.

// maxStartLatency bounds the time from the last check of an order until it
// reaches its worker: workers answer within a few milliseconds, and the
// platform's client gives up on an order after 0.8 s.
const maxStartLatency = time.Second

// MaxEvacuationAge returns the maximum age of the owner's knowledge of
// evacuations when an order to start is sent.
func (c Config) MaxEvacuationAge() time.Duration { return max(0, c.EvacuationLimit-maxStartLatency) }

// ConfirmEvacuations sets the time as of which the owner knows all evacuations
// that the operator has asked for.
func (d *Dispatcher) ConfirmEvacuations(at unit.Instant) {
	d.evacuationsKnownAt = max(d.evacuationsKnownAt, at)
}

// StartRules determine which orders to start may be sent.
type StartRules struct {
	// Evacuated holds the failure domains where no task may start.
	Evacuated []id.Domain
	// ValidUntil is when the rules expire, because the operator's records may
	// have changed or another host may be the owner; after that no order to
	// start may be sent.
	ValidUntil unit.Instant
}

// StartRules returns the current rules. They also apply to orders that are
// already decided and wait to be sent.
func (d *Dispatcher) StartRules() StartRules {
	until := d.evacuationsValidUntil()
	if d.soleOwnerAt != 0 {
		until = min(until, d.soleOwnerAt.Add(soleOwnerValidity))
	}
	return StartRules{Evacuated: d.evacuated, ValidUntil: until}
}

// evacuationsValidUntil returns until when the knowledge of evacuations is recent
// enough for orders to start.
func (d *Dispatcher) evacuationsValidUntil() unit.Instant {
	switch {
	case d.config.EvacuationLimit == 0:
		return math.MaxInt64
	case d.evacuationsKnownAt == 0:
		return 0
	}
	return d.evacuationsKnownAt.Add(d.config.MaxEvacuationAge())
}

// DenialReason returns why a start order may not be sent to a worker of a
// failure domain, or an empty string if it may be sent.
func (r StartRules) DenialReason(now unit.Instant, domain id.Domain) string {
	switch {
	case now > r.ValidUntil:
		return "the operator's records were read too long ago, or another host may be the owner"
	case slices.Contains(r.Evacuated, domain):
		return whyEvacuated
	}
	return ""
}

// mayStart reports whether tasks may be placed and ordered to start.
func (d *Dispatcher) mayStart(now unit.Instant) bool {
	return d.mayGrantLeases(now) && d.knowsEvacuations(now) && d.knowsCancels(now)
}

// knowsEvacuations reports whether the knowledge of evacuations is recent
// enough for orders to start.
func (d *Dispatcher) knowsEvacuations(now unit.Instant) bool { return now <= d.evacuationsValidUntil() }

// noteStartsWithheld logs when starts are withheld because the operator's records
// or the jobs were not read recently, and when they resume.
func (d *Dispatcher) noteStartsWithheld(now unit.Instant) {
	starts := Note{Event: EventStartsWithheld, Why: "evacuations", Age: age(now, d.evacuationsKnownAt)}
	d.noteWithheld(&d.startsWithheld, !d.knowsEvacuations(now), starts, EventStartsResumed)
	starts.Why, starts.Age = "cancellations", age(now, d.jobsKnownAt)
	d.noteWithheld(&d.cancelsUnknown, !d.knowsCancels(now), starts, EventStartsResumed)
}

// SetEvacuated sets the evacuated failure domains; all others are open.
func (d *Dispatcher) SetEvacuated(domains []id.Domain) {
	before := d.evacuated
	d.evacuated = slices.Clone(domains)
	for _, w := range d.workersByID {
		w.evacuated = slices.Contains(domains, w.Domain)
	}
	for _, x := range domains {
		if !slices.Contains(before, x) {
			d.noteDomain(EventDomainEvacuated, x)
		}
	}
	for _, x := range before {
		if !slices.Contains(domains, x) {
			d.noteDomain(EventDomainOpened, x)
		}
	}
}

// noteDomain logs a change of a failure domain, with the numbers of workers and
// runs that it has.
func (d *Dispatcher) noteDomain(ev Event, name id.Domain) {
	workers, runs := 0, 0
	for _, w := range d.workersByID {
		if w.Domain == name && w.listed {
			workers++
			runs += len(w.runs)
		}
	}
	d.note(Note{Event: ev, Why: fmt.Sprintf("domain %s: %d workers, %d runs there", name, workers, runs)})
}

// whyEvacuated is the reason logged when a run isn't started, or its order
// isn't repeated, because of an evacuation.
const whyEvacuated = "its failure domain is evacuated"

// blockedByEvacuation reports whether a run, or a member of its gang, hasn't
// started yet and can't start because its failure domain is evacuated. One such
// member blocks its whole gang, since the others would wait for it. A run that
// has started continues.
func (r *run) blockedByEvacuation() bool {
	return r.anyMember(func(m *run) bool { return m.startedAt == 0 && m.worker.evacuated })
}
