package world

import (
	"fmt"
	"maps"
	"slices"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// evacuation is the state of an evacuated failure domain, in which nothing may
// start.
type evacuation struct {
	// since is when the domain was evacuated. until is when the evacuation is
	// revoked.
	since, until unit.Instant
}

// evacuate evacuates the failure domains that a fault affects, at least one. If
// a domain is evacuated already, its evacuation is extended.
func (w *World) evacuate(f Fault) {
	domains := w.domains()
	chosen := w.chosen(f, len(domains))
	if len(chosen) == 0 {
		chosen = []int{int(w.draw("evacuate", w.now) * float64(len(domains)))}
	}
	for _, i := range chosen {
		d := domains[i]
		e, evacuated := w.evacuations[d]
		if !evacuated {
			e.since = w.now
		}
		e.until = max(e.until, w.now.Add(f.Duration))
		w.evacuations[d] = e
		w.Schedule(f.Duration, func() {
			if w.now >= w.evacuations[d].until {
				delete(w.evacuations, d)
			}
		})
	}
}

// domains returns the sorted failure domains of the site.
func (w *World) domains() []id.Domain {
	all := map[id.Domain]bool{}
	for _, m := range w.machines {
		all[m.Domain] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// checkDomain checks that a run may start in its worker's failure domain. Late
// orders are exempt, because no owner can recall an order that it has sent.
func (w *World) checkDomain(m *machine, o dispatch.Start) {
	e, evacuated := w.evacuations[m.Domain]
	if evacuated && !w.lateOrders.executing && w.now > e.since.Add(w.setup.EvacuationBound) {
		w.recordViolation(fmt.Sprintf("%s was started in %s, which was evacuated %s before", o.Task, m.Domain, w.now.Sub(e.since)))
	}
}

// pollOperator makes the owner read the operator's records periodically. While
// the store is unavailable, the owner gets no update.
func (o *owner) pollOperator() {
	w := o.world
	if o.ended || w.setup.EvacuationBound == 0 {
		return
	}
	readAt, storeUp := w.now, w.now >= w.store.upAt
	domains := slices.Sorted(maps.Keys(w.evacuations))
	w.Schedule(w.setup.Times.ReadDelay, func() {
		if !storeUp {
			return
		}
		o.enqueueEvent(func(o *owner) {
			o.dispatcher.SetEvacuated(domains)
			o.dispatcher.ConfirmEvacuations(readAt)
		})
	})
	w.Schedule(w.setup.Times.OperatorPoll, o.pollOperator)
}
