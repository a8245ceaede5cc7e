package dispatch

import (
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
)

// A worker may restart under its name. Its next incarnation then carries out
// orders that were meant for the previous one, unless it has seen a higher
// fence. The fence is therefore raised (gets a higher revision) for each new
// incarnation, and for each lost renewal while an order that changes something
// may still be in flight. The first renewal that the next incarnation answers
// then makes it reject every order sent before, and its report lists what it
// carried out until then.

// raiseFence raises the fence of orders to a worker. An owner that has used up
// all fence revisions counts as fenced, so that another owner with a higher
// epoch replaces it.
func (d *Dispatcher) raiseFence(w *worker) {
	if !fleet.HasStart(w.ID) {
		return
	}
	if d.lastFenceRevision == id.MaxFenceRevision {
		d.note(Note{Event: EventOwnerFenced, Worker: w.ID, Why: "the fence can't be raised any more"})
		d.fenced = true
		return
	}
	d.lastFenceRevision++
	w.fenceRevision, w.changeSent = d.lastFenceRevision, false
}

// raiseAfterLoss raises the fence after a renewal that got no answer. It does
// so only if an order that must not reach the next incarnation may have been
// sent under the present fence; see worker.changeSent. Raising it for each lost
// renewal would use up the owner's raises within minutes while a large failure
// domain is unreachable.
func (d *Dispatcher) raiseAfterLoss(w *worker) {
	if w.changeSent {
		d.raiseFence(w)
	}
}

// raisedSince reports whether this owner has raised the fence since it sent an
// order. It considers the target of the order and all other incarnations under
// the target's name.
func (d *Dispatcher) raisedSince(t Target) bool {
	name := fleet.NameOf(t.Worker)
	for _, w := range d.workersByID {
		if w.name == name && t.Fence.Below(d.fence(w)) {
			return true
		}
	}
	return false
}

// fence returns the present fence of orders to a worker.
func (d *Dispatcher) fence(w *worker) fleet.Fence {
	return fleet.Fence{Epoch: d.epoch, Revision: w.fenceRevision}
}
