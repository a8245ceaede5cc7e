package world

import (
	"fmt"
	"maps"
	"slices"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// evacuation is a failure domain that the operator has evacuated, in which nothing may start.
type evacuation struct {
	// since is when it was evacuated, until when that is taken back.
	since, until unit.Instant
}

// evacuate evacuates the failure domains that a fault concerns. One that is evacuated already stays so for longer.
func (w *World) evacuate(f Fault) {
	domains := w.domains()
	chosen := w.chosen(f, len(domains))
	if len(chosen) == 0 {
		chosen = []int{int(w.draw("evacuate", w.now) * float64(len(domains)))}
	}
	for _, i := range chosen {
		d := domains[i]
		e, known := w.evacuations[d]
		if !known {
			e.since = w.now
		}
		e.until = max(e.until, w.now.Add(f.Lasts))
		w.evacuations[d] = e
		w.Plan(f.Lasts, func() {
			if w.now >= w.evacuations[d].until {
				delete(w.evacuations, d)
			}
		})
	}
}

// domains returns the failure domains of the site in order.
func (w *World) domains() []id.Domain {
	all := map[id.Domain]bool{}
	for _, m := range w.machines {
		all[m.Domain] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// checkDomain checks that a run may begin where its worker is. Late orders are left out: no owner can take them back.
func (w *World) checkDomain(m *machine, o dispatch.Start) {
	e, evacuated := w.evacuations[m.Domain]
	if evacuated && !w.lateOrders.carrying && w.now > e.since.Add(w.setup.Evacuation) {
		w.recordViolation(fmt.Sprintf("%s was started in %s, which was evacuated %s before", o.Task, m.Domain, w.now.Sub(e.since)))
	}
}

// readOperator lets the owner read what the operator has written, again and again. While the store is away, it hears nothing.
func (o *owner) pollOperator() {
	w := o.world
	if o.ended || w.setup.Evacuation == 0 {
		return
	}
	left, up := w.now, w.now >= w.store.upAt
	domains := slices.Sorted(maps.Keys(w.evacuations))
	w.Plan(w.setup.Times.Read, func() {
		if !up {
			return
		}
		o.enqueueEvent(func(o *owner) {
			o.core.Evacuate(domains)
			o.core.Inform(left)
		})
	})
	w.Plan(w.setup.Times.Poll, o.pollOperator)
}
