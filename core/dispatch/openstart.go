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

// openOrderMargin is added to maxOrderDelay for the transit time of an order.
const openOrderMargin = 200 * time.Millisecond

// maxClockDifference is the largest difference between the times of day of two
// hosts that are compared.
const maxClockDifference = 5 * time.Second

// markStartOpen records that the run's start order got no answer until now. The
// order left before now, since its result is known.
func (r *run) markStartOpen(now unit.Instant) {
	if fleet.HasStart(r.worker.ID) {
		r.startOpenUntil = now.Add(maxOrderDelay + openOrderMargin)
	}
}

// startOpen reports whether an unanswered start order of the run may be carried
// out after a time.
func (r *run) startOpen(at unit.Instant) bool { return at <= r.startOpenUntil }

// mayStillStart is startOpen, or true while a start order is in flight to a
// worker that may restart under its name.
func (r *run) mayStillStart(at unit.Instant) bool {
	return r.startOpen(at) || r.startInFlight && fleet.HasStart(r.worker.ID)
}

// startExpired reports whether the run's start order got no answer and is, at
// the given time, too late to be carried out.
func (r *run) startExpired(at unit.Instant) bool { return r.startOpenUntil != 0 && !r.startOpen(at) }

// record returns the task's record if it is that of the run, or nil.
func (r *run) record() *job.TaskState {
	if r.step == nil || len(r.step.job.progress.Tasks) == 0 {
		return nil
	}
	t := &r.step.job.progress.Tasks[r.step.base+r.task.Index]
	if t.Phase != job.Placed || t.Run != r.number {
		return nil
	}
	return t
}

// startConfirmed reports whether the task's record confirms the start of the
// run. Such a run isn't ordered to start again: the next owner would take that
// order for answered.
func (r *run) startConfirmed() bool {
	t := r.record()
	return t != nil && t.StartConfirmed
}

// mayRepeatStart reports whether the run's start order may be sent again: no such
// order is known to be open or answered, and the run isn't inherited.
func (r *run) mayRepeatStart() bool {
	return r.inheritedFrom == "" && r.startOpenUntil == 0 && !r.startConfirmed()
}

// confirmStart records that no start order of the run is open, and keeps that
// in the task's record for the next owner.
func (d *Dispatcher) confirmStart(r *run) {
	r.startOpenUntil = 0
	t := r.record()
	if t != nil && !t.StartConfirmed && fleet.HasStart(r.worker.ID) {
		t.StartConfirmed, t.StartOpenUntil = true, 0
		d.markChanged(r.step.job)
	}
}

// recordStartResult records whether a start order is open, now that its result is
// known. The run may have passed to the next incarnation under the worker's name
// since the order was sent.
func (d *Dispatcher) recordStartResult(now unit.Instant, res StartResult) {
	s := d.stepOfTask(res.Start.Task)
	if s == nil || res.Start.Fence.Epoch != d.epoch {
		return
	}
	r := s.runs[res.Start.Task.Index]
	if r == nil || r.number != res.Start.Run || r.worker.name != fleet.NameOf(res.Start.Worker) {
		return
	}
	r.startInFlight = false
	switch res.Verdict {
	case fleet.Unknown:
		if r.markStartOpen(now); r.startOpen(now) {
			d.noteRun(EventStartOpen, r, "", r.startOpenUntil.Sub(now))
		}
	case fleet.CarriedOut, fleet.Stale:
		d.confirmStart(r)
	case fleet.Unreachable, fleet.Replaced, fleet.Fenced, fleet.LeaseExpired, fleet.NoTicket, fleet.NoRoom, fleet.Busy, fleet.Invalid:
		r.startOpenUntil = 0
	}
}

// loseKeptRuns gives up the runs that were kept on a replaced worker because their
// start orders were open, once these can't be carried out any more.
func (d *Dispatcher) loseKeptRuns(now unit.Instant, w *worker) {
	if !w.replaced || !fleet.HasStart(w.ID) {
		return
	}
	for _, r := range w.sorted() {
		if !r.mayStillStart(now) {
			d.noteRun(EventTaskLost, r, "its worker was replaced, and its start order can't be carried out any more", w.silentFor(now))
			r.apply(evLost)
			d.loseWithGang(now, r, "its worker was replaced")
		}
	}
}

// recordOpenStarts keeps in the tasks' records until when the open start orders to
// a worker may be carried out. An owner that has just taken over limits its own
// estimate by what an earlier one has recorded: no order to start these runs has
// been sent since. Otherwise tasks would wait for as long as owners change.
func (d *Dispatcher) recordOpenStarts(now unit.Instant, w *worker) {
	for _, r := range w.runs {
		if r.startOpenRecorded || !r.startOpen(now) {
			continue
		}
		t := r.record()
		if t == nil {
			continue
		}
		r.startOpenRecorded = true
		if t.StartOpenUntil != 0 {
			r.startOpenUntil = min(r.startOpenUntil, now.Add(t.StartOpenUntil.Sub(d.wallTime)+maxClockDifference))
			continue
		}
		t.StartOpenUntil = d.wallTime.Add(r.startOpenUntil.Sub(now))
		d.markChanged(r.step.job)
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
