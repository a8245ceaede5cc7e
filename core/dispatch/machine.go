package dispatch

import (
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// A wave of maintenance names machines. Which worker is the present incarnation
// of a machine is learned from the list of workers or from the platform's list
// of machines, and may be unknown for a while.

// MachinesRead is a read of the platform's whole list of machines.
type MachinesRead struct {
	// AsOf is when the first call of the read was sent.
	AsOf unit.Instant
	// Incarnations holds the present workers of the machines that have one.
	Incarnations []Incarnation
}

// NeedsMachineList reports whether a wave includes machines whose present
// incarnation isn't known, or whether the list may show that workers have ended.
func (d *Dispatcher) NeedsMachineList() bool {
	return d.wavesNeedMachines() || d.awaitsMachineList()
}

// wavesNeedMachines reports whether a wave includes machines whose present
// incarnation isn't known.
func (d *Dispatcher) wavesNeedMachines() bool {
	for _, x := range d.waves {
		for _, m := range x.plan.Unfinished() {
			if d.incarnationOn(m) == nil {
				return true
			}
		}
	}
	return false
}

// NoteMachines handles a read of the list of machines: it sets which workers are the
// present incarnations of machines, for workers whose entry in the list of workers
// names no machine, and gives up the runs of workers that the list shows to have ended.
func (d *Dispatcher) NoteMachines(now unit.Instant, read MachinesRead) {
	d.confirmMachines(now, read)
	for _, x := range read.Incarnations {
		w := d.listedByName(x.Worker)
		if w == nil || w.Machine == x.Machine {
			continue
		}
		w.Machine = x.Machine
		d.contest(now, w)
		d.noteMachineBack(w)
	}
}

// listedByName returns the incarnation under a name that the platform's list
// has, or nil.
func (d *Dispatcher) listedByName(name id.WorkerName) *worker {
	for _, w := range d.workersByID {
		if w.name == name && w.listed {
			return w
		}
	}
	return nil
}

// incarnationOn returns the worker that is the present incarnation of a
// machine, or nil. Several incarnations may be listed, since the list may still
// have the entry of an earlier one. The present one is the one that answered
// the latest renewal. A listed incarnation that has answered before but not
// recently also qualifies, if it has no rival.
func (d *Dispatcher) incarnationOn(m id.Machine) *worker {
	var present *worker
	for _, w := range d.workersByID {
		alone := w.lastAnswerAt != 0 && w.rivalSeenAt == 0
		if w.Machine == m && w.listed && (w.confirmed() || alone) && (present == nil || w.syncedAsOf > present.syncedAsOf) {
			present = w
		}
	}
	return present
}

// unconfirmIncarnations requests new answers from the incarnations of a machine
// that was taken down: one that answers now is the next incarnation, or the
// maintenance was done before. An entry in the list proves nothing.
func (d *Dispatcher) unconfirmIncarnations(now unit.Instant, m id.Machine) {
	for _, w := range d.workersByID {
		if w.Machine == m {
			w.syncedAsOf, w.syncRequestedAt, w.nextRenewal = 0, now, min(w.nextRenewal, now)
		}
	}
}

// noteMachineBack handles a worker's answer to a renewal. The worker's machine
// is back from maintenance if that renewal was sent after the owner learned
// that the machine was taken down.
func (d *Dispatcher) noteMachineBack(w *worker) {
	if w.Machine == "" || !w.confirmed() {
		return
	}
	for _, x := range d.waves {
		if at := x.carriedAt[w.Machine]; at != 0 && w.syncedAsOf > at {
			x.plan.MarkDone(w.Machine)
		}
	}
}
