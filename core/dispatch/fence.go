package dispatch

import (
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
)

// A worker may begin again under its name, and its next life takes orders that were meant for the one before, as long as it has seen no higher
// fence. So the fence is raised with each life that becomes known, and with each renewal that is lost while an order to change something may be
// on its way: the first renewal that the next life gets keeps it from carrying out any order that left before, and what it had carried out until
// then is in its lists.

// raiseFence raises the fence under which orders to a worker leave. An owner that can't raise it any more gives way to the next epoch.
func (d *Dispatcher) raiseFence(w *worker) {
	if !fleet.TellsStart(w.ID) {
		return
	}
	if d.raise == id.MostRaises {
		d.note(Note{Event: EventOwnerFenced, Worker: w.ID, Why: "the fence can't be raised any more"})
		d.fenced = true
		return
	}
	d.raise++
	w.raise, w.exposed = d.raise, false
}

// raiseAfterLoss raises the fence after a renewal that got no answer, if an order that must not reach the next life may have left under the
// present one. A raise for each lost renewal uses the owner's raises up within minutes while a large failure domain is out of reach.
func (d *Dispatcher) raiseAfterLoss(w *worker) {
	if w.exposed {
		d.raiseFence(w)
	}
}

// raisedSince reports whether this owner has raised the fence at an order's addressee, or for another life under its name, after the order left.
func (d *Dispatcher) raisedSince(t Target) bool {
	name := fleet.NameOf(t.Worker)
	for _, w := range d.order {
		if w.name == name && t.Fence.Below(d.fence(w)) {
			return true
		}
	}
	return false
}

// fence returns the present fence of orders to a worker.
func (d *Dispatcher) fence(w *worker) fleet.Fence { return fleet.Fence{Epoch: d.epoch, Raise: w.raise} }
