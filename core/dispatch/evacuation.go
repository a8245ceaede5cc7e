package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// The operator may evacuate a failure domain: nothing may start there until that is taken back. What runs there goes on.
//
// The bound, Config.Evacuation after the operator's write, is met by three looks, each on the newest that the host has read: as a task is
// placed, as its record is in the store, and as its order leaves. None passes if what the operator has asked for is known as of longer ago than
// Config.NewsAge, so that an owner that reads late, was frozen or has just begun starts nothing.

// startWay is how long an order takes at most from its last look to its worker: workers answer within a few milliseconds, and the
// platform's client gives an order up after 0.8 s.
const startWay = time.Second

// NewsAge returns how old the owner's knowledge of evacuations may be when an order to start leaves.
func (c Config) NewsAge() time.Duration { return max(0, c.Evacuation-startWay) }

// Inform notes as of when all that the operator has asked for is known to the owner.
func (d *Dispatcher) Inform(at unit.Instant) { d.informed = max(d.informed, at) }

// StartRules say which orders to start may leave.
type StartRules struct {
	// Evacuated holds the failure domains where nothing may start.
	Evacuated []id.Domain
	// Until is when this is too old to go by.
	Until unit.Instant
}

// StartRules returns the present rules. They hold for orders that wait for their turn after they were decided, too.
func (d *Dispatcher) StartRules() StartRules {
	until := unit.Instant(math.MaxInt64)
	switch {
	case d.config.Evacuation == 0:
	case d.informed == 0:
		until = 0
	default:
		until = d.informed.Add(d.config.NewsAge())
	}
	return StartRules{Evacuated: d.evacuated, Until: until}
}

// Forbid returns why an order to start may not leave for a failure domain, or an empty text.
func (r StartRules) Forbid(now unit.Instant, domain id.Domain) string {
	switch {
	case now > r.Until:
		return "the operator's records were read too long ago"
	case slices.Contains(r.Evacuated, domain):
		return whyEvacuated
	}
	return ""
}

// mayStart reports whether tasks may be placed and ordered to start.
func (d *Dispatcher) mayStart(now unit.Instant) bool { return d.grants(now) && d.knowsEvacuations(now) }

// knowsEvacuations reports whether what the operator has asked for is known well enough for orders to start.
func (d *Dispatcher) knowsEvacuations(now unit.Instant) bool { return now <= d.StartRules().Until }

// noteNews notes when nothing starts any more because the operator's records are not known, and when that is over.
func (d *Dispatcher) noteNews(now unit.Instant) {
	d.noteWithheld(&d.uninformed, !d.knowsEvacuations(now), EventStartsWithheld, EventStartsResumed, age(now, d.informed))
}

// Evacuate takes in which failure domains are evacuated; all others are open.
func (d *Dispatcher) Evacuate(domains []id.Domain) {
	before := d.evacuated
	d.evacuated = slices.Clone(domains)
	for _, w := range d.order {
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

// noteDomain notes what became of a domain, with how much of the site it is.
func (d *Dispatcher) noteDomain(ev Event, name id.Domain) {
	workers, runs := 0, 0
	for _, w := range d.order {
		if w.Domain == name && w.listed {
			workers++
			runs += len(w.runs)
		}
	}
	d.note(Note{Event: ev, Why: fmt.Sprintf("domain %s: %d workers, %d runs there", name, workers, runs)})
}

// whyEvacuated is why a run doesn't start, or why its order isn't repeated.
const whyEvacuated = "its failure domain is evacuated"

// shut reports whether a run, or a member of its gang, can't start any more because its domain is evacuated. The other members of the
// gang would wait for it. One that has started goes on.
func (r *run) shut() bool {
	return r.anyMember(func(m *run) bool { return m.started == 0 && m.worker.evacuated })
}
