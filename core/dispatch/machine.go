package dispatch

import (
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// A wave of maintenance names machines; which worker is the present life of one is told by the list, by the platform's list of machines, or by
// nobody for a while.

// MachinesWanted reports whether a wave has machines of which no present life is known.
func (d *Dispatcher) MachinesWanted() bool {
	for _, x := range d.waves {
		for _, m := range x.plan.Open() {
			if d.lifeOn(m) == nil {
				return true
			}
		}
	}
	return false
}

// SetLives takes in which workers are the present lives of machines, for workers whose
// entry in the list names none.
func (d *Dispatcher) SetLives(now unit.Instant, lives []Life) {
	for _, l := range lives {
		w := d.listedUnder(l.Worker)
		if w == nil || w.Machine == l.Machine {
			continue
		}
		w.Machine = l.Machine
		d.contest(now, w)
		d.back(w)
	}
}

// listedUnder returns the life that the platform's list shows under a name, or nil.
func (d *Dispatcher) listedUnder(name id.WorkerName) *worker {
	for _, w := range d.order {
		if w.name == name && w.listed {
			return w
		}
	}
	return nil
}

// lifeOn returns the worker that is the present life of a machine, or nil: of those that are listed the one
// that answered last. The entry of an earlier life may stand beside it. A life that doesn't answer any more, and
// has no rival, is the present one too.
func (d *Dispatcher) lifeOn(m id.Machine) *worker {
	var present *worker
	for _, w := range d.order {
		alone := w.answered != 0 && w.contested == 0
		if w.Machine == m && w.listed && (w.confirmed() || alone) && (present == nil || w.synced > present.synced) {
			present = w
		}
	}
	return present
}

// unconfirmLives makes the lives of a machine that was taken down be asked anew: one that answers now is its next life,
// or its maintenance was done before. An entry in the list proves nothing.
func (d *Dispatcher) unconfirmLives(now unit.Instant, m id.Machine) {
	for _, w := range d.order {
		if w.Machine == m {
			w.synced, w.askedAgain, w.nextHold = 0, now, min(w.nextHold, now)
		}
	}
}

// back takes in that a worker has answered: its machine is back if the renewal left after the machine was taken down.
func (d *Dispatcher) back(w *worker) {
	if w.Machine == "" || !w.confirmed() {
		return
	}
	for _, x := range d.waves {
		if at := x.carried[w.Machine]; at != 0 && w.synced > at {
			x.plan.Back(w.Machine)
		}
	}
}
