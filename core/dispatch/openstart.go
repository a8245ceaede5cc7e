package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// A start order that got no answer may be carried out up to maxOrderDelay after
// it was sent. A worker that restarts under its name meanwhile carries it out as
// its next incarnation, which knows nothing of earlier runs of the task. A start
// order is therefore open until it is answered, until the worker reports the
// run, or until it is too late to be carried out. At most one order to start a
// task is open at a time: an unanswered one isn't repeated, and its run isn't
// given up while the order is open, so that the task isn't placed again.

// openStartMargin is added to maxOrderDelay for the transit time of an order.
const openStartMargin = 200 * time.Millisecond

// openStart records that the run's start order got no answer until now. The
// order left before now, since its result is known.
func (r *run) openStart(now unit.Instant) {
	if fleet.HasStart(r.worker.ID) {
		r.startOpenUntil = now.Add(maxOrderDelay + openStartMargin)
	}
}

// startOpen reports whether an unanswered start order of the run may be carried
// out after a time.
func (r *run) startOpen(at unit.Instant) bool { return at <= r.startOpenUntil }

// mayStillStart is startOpen, or true while a start order is in flight to a
// worker that may restart under its name.
func (r *run) mayStillStart(at unit.Instant) bool {
	return r.startOpen(at) || r.startLeaseExpiry != 0 && fleet.HasStart(r.worker.ID)
}

// startExpired reports whether the run's start order got no answer and is, at
// the given time, too late to be carried out.
func (r *run) startExpired(at unit.Instant) bool { return r.startOpenUntil != 0 && !r.startOpen(at) }

// confirmStart records that no start order of the run is open, and keeps that
// in the task's record for the next owner.
func (d *Dispatcher) confirmStart(r *run) {
	r.startOpenUntil = 0
	if r.step == nil || !fleet.HasStart(r.worker.ID) || len(r.step.job.progress.Tasks) == 0 {
		return
	}
	t := &r.step.job.progress.Tasks[r.step.base+r.task.Index]
	if t.Phase == job.Placed && t.Run == r.number && !t.StartConfirmed {
		t.StartConfirmed = true
		d.markChanged(r.step.job)
	}
}

// movedStartAnswered handles the result of a start order whose run has passed
// to the next incarnation under the worker's name.
func (d *Dispatcher) movedStartAnswered(now unit.Instant, res StartResult) {
	s := d.stepOfTask(res.Start.Task)
	if s == nil || res.Start.Fence.Epoch != d.epoch {
		return
	}
	r := s.runs[res.Start.Task.Index]
	if r == nil || r.number != res.Start.Run || r.worker.name != fleet.NameOf(res.Start.Worker) {
		return
	}
	switch res.Verdict {
	case fleet.Unknown:
		r.openStart(now)
	case fleet.CarriedOut, fleet.Stale:
		d.confirmStart(r)
	case fleet.Unreachable, fleet.Replaced, fleet.Fenced, fleet.LeaseExpired, fleet.NoTicket, fleet.NoRoom, fleet.Busy, fleet.Invalid:
		r.startOpenUntil = 0
	}
}

// loseExpired gives up the runs of a replaced worker whose start orders were
// still open when it was replaced, once they can't be carried out any more.
func (d *Dispatcher) loseExpired(now unit.Instant, w *worker) {
	if !w.replaced {
		return
	}
	for _, r := range w.sorted() {
		if r.startExpired(now) && !r.mayStillStart(now) {
			d.noteRun(EventTaskLost, r, "its start order can't be carried out any more", w.silentFor(now))
			r.apply(evLost)
			d.loseWithGang(now, r, "its worker was replaced")
		}
	}
}

// firstOpenUntil returns when the first of the worker's open start orders
// becomes too late to be carried out; 0 if none is open. No renewal waits at the
// worker beyond that time, since the answer may free the run's task.
func (w *worker) firstOpenUntil(now unit.Instant) unit.Instant {
	first := unit.Instant(0)
	for _, r := range w.runs {
		if r.startOpen(now) && (first == 0 || r.startOpenUntil < first) {
			first = r.startOpenUntil
		}
	}
	return first
}
