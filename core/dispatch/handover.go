package dispatch

import (
	"slices"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/handover"
	"curlewsill.org/curlewsill/core/unit"
)

// whyFormerOwner is the reason logged for what the former owner has told.
const whyFormerOwner = "the former owner knows it"

// UnstoredEnds returns the ends that workers have reported and the store may lack.
func (d *Dispatcher) UnstoredEnds() handover.Message {
	m := handover.Message{Epoch: d.epoch}
	for _, w := range d.workersByID {
		if len(w.unstoredEnds) > 0 {
			m.Workers = append(m.Workers, handover.Worker{ID: w.ID, Ends: slices.Clone(w.unstoredEnds)})
		}
	}
	return m
}

// Handover returns what the next owner can't read from the store. It is to be called
// when the ownership has ended, after which no order of this owner may be sent.
func (d *Dispatcher) Handover(now unit.Instant) handover.Message {
	m := handover.Message{Epoch: d.epoch, Final: true}
	for _, w := range d.workersByID {
		if len(w.runs) == 0 && len(w.unstoredEnds) == 0 {
			continue
		}
		x := handover.Worker{ID: w.ID, Lease: max(0, w.leaseExpiry().Sub(now)), Ends: slices.Clone(w.unstoredEnds)}
		for _, r := range w.runs {
			x.Runs = append(x.Runs, r.handover(now))
		}
		m.Workers = append(m.Workers, x)
	}
	return m
}

// handover returns what the next owner can't read from the store about a run.
func (r *run) handover(now unit.Instant) handover.Run {
	x := handover.Run{Task: r.task, Run: r.number, Checkpoint: r.checkpoint, Unsent: r.state == runOrdered}
	if r.startInFlight {
		x.OpenFor = maxOrderDelay + openOrderMargin
	}
	x.OpenFor = max(x.OpenFor, r.startOpenUntil.Sub(now))
	return x
}

// InheritHandover uses what an earlier owner has told, at the time madeAt or before.
// direct is set if no other host was the owner since: otherwise that host may have
// granted leases and sent orders as well. InheritHandover returns how many ends were
// new.
func (d *Dispatcher) InheritHandover(now, madeAt unit.Instant, m handover.Message, direct bool) int {
	if m.Epoch >= d.epoch {
		return 0
	}
	ends := 0
	for _, x := range m.Workers {
		w := d.workers[x.ID]
		if w == nil {
			continue
		}
		if m.Final && direct {
			d.inheritOrders(now, madeAt, w, x)
		}
		for _, e := range x.Ends {
			if d.inheritEnd(now, w, e) {
				ends++
			}
		}
	}
	return ends
}

// inheritOrders uses what the former owner knows of its leases and orders.
func (d *Dispatcher) inheritOrders(now, madeAt unit.Instant, w *worker, x handover.Worker) {
	w.formerLeaseExpiry = min(w.formerLeaseExpiry, madeAt.Add(x.Lease))
	for _, known := range x.Runs {
		r := w.run(known.Task, known.Run)
		if r == nil || !r.fromEarlierOwner || r.startOrders > 0 {
			continue
		}
		if known.Checkpoint != "" && r.checkpoint == "" {
			r.checkpoint = known.Checkpoint
		}
		r.startOpenUntil = min(r.startOpenUntil, madeAt.Add(known.OpenFor))
		if known.Unsent && r.apply(evLost) {
			r.startOpenUntil = 0
			d.noteRun(EventTaskLost, r, "its start order was never sent", 0)
			d.loseWithGang(now, r, whyFormerOwner)
		}
	}
}

// inheritEnd processes an end that the former owner has read, unless the store has it
// already. The worker reports it again if it still lives, so its number doesn't count
// as seen. It reports whether the end was new.
func (d *Dispatcher) inheritEnd(now unit.Instant, w *worker, e fleet.End) bool {
	r := w.run(e.Task, e.Run)
	if r == nil || !r.fromEarlierOwner {
		return false
	}
	d.noteEnded(now, w, e)
	why := e.Reason.String() + ": " + whyFormerOwner
	d.note(Note{Event: EventTaskEnded, Job: e.Task.Job, Task: e.Task, Worker: w.ID, Run: e.Run, Why: why, Age: now.Sub(r.knownSince)})
	d.endRun(now, r, e, nil)
	return true
}

// keepUnstored keeps an end that a worker has reported until its record is in the
// store.
func (w *worker) keepUnstored(e fleet.End) { w.unstoredEnds = append(w.unstoredEnds, e) }

// dropStored drops the ends up to a sequence number, whose records are in the store.
func (w *worker) dropStored(seq uint64) {
	w.unstoredEnds = slices.DeleteFunc(w.unstoredEnds, func(e fleet.End) bool { return e.Seq <= seq })
}
