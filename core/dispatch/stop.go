package dispatch

import (
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// CancelJob cancels a job and stops its runs.
func (d *Dispatcher) CancelJob(now unit.Instant, name id.Job) {
	js := d.jobs[name]
	if js == nil || js.cancelled || js.progress.Outcome != job.Open {
		return
	}
	js.cancelled = true
	d.finish(now, js, job.Cancelled, "cancelled")
}

// finish sets the outcome of an open job and stops its remaining runs.
func (d *Dispatcher) finish(now unit.Instant, js *jobState, o job.Outcome, why string) {
	if js.progress.Outcome != job.Open {
		return
	}
	js.progress.Outcome, js.progress.Ended = o, now
	d.removeOpen(js)
	for _, s := range js.steps {
		s.dropClaim()
	}
	if o != job.Completed {
		// The remaining runs of a completed job belong to a gang that has ended
		// as a whole; its workers list the other members' ends without a stop.
		d.stopAll(now, js, why)
	}
	if !js.hasRuns() {
		js.dropTasks()
	}
	d.markChanged(js)
	d.noteJob(EventJobEnded, now, js, why, js.spec.CriticalPath())
}

// stopAll stops all runs of a job.
func (d *Dispatcher) stopAll(now unit.Instant, js *jobState, why string) {
	for _, s := range js.steps {
		d.stopStep(now, s, why)
	}
}

// stopStep stops all runs of a step.
func (d *Dispatcher) stopStep(now unit.Instant, s *stepState, why string) {
	for i := range s.step.Count {
		if r := s.runs[i]; r != nil {
			d.stop(now, r, why)
		}
	}
}

// stop stops a run. It releases the run at once if its start order hasn't been
// sent, and sends a stop order otherwise.
func (d *Dispatcher) stop(now unit.Instant, r *run, why string) {
	if r.state == runStopping || r.state == runGone {
		return
	}
	r.stopReason = why
	ordered := r.state == runOrdered
	if !r.apply(evStop) {
		return
	}
	if ordered {
		d.requeue(r)
		d.release(r)
		return
	}
	d.noteRun(EventTaskStop, r, why, now.Sub(r.knownSince))
	d.orderStop(now, r)
}

// requeue makes the task of a run wait again, unless it is done or was placed
// again.
func (d *Dispatcher) requeue(r *run) {
	if r.step == nil {
		return
	}
	js := r.step.job
	if len(js.progress.Tasks) == 0 {
		return
	}
	t := &js.progress.Tasks[r.step.base+r.task.Index]
	if t.Phase == job.Placed && t.Run == r.number {
		t.Phase, t.Worker = job.Waiting, ""
		if r.checkpoint != "" {
			d.keepCheckpoint(r.step, r.task.Index, r.checkpoint)
		}
		d.markChanged(js)
	}
}

// keepCheckpoint sets the checkpoint of a task, or of all members of a gang,
// which have to start from the same one.
func (d *Dispatcher) keepCheckpoint(s *stepState, index int, checkpoint string) {
	tasks := s.startGroup(index)
	for i := range tasks {
		tasks[i].Checkpoint = checkpoint
	}
}

// loseWithGang gives up a run and stops the rest of its gang.
func (d *Dispatcher) loseWithGang(now unit.Instant, r *run, why string) {
	if r.state == runGone && r.startOpen(now) {
		d.noteViolation(now, r, "given up while an order to start it may still be carried out")
	}
	d.requeue(r)
	d.release(r)
	if r.step != nil && r.step.step.Gang && r.step.done < r.step.step.Count {
		d.stopStep(now, r.step, "gang member lost: "+why)
	}
}

// stopWithGang stops a run together with its gang.
func (d *Dispatcher) stopWithGang(now unit.Instant, r *run, why string) {
	if r.step != nil && r.step.step.Gang {
		d.stopStep(now, r.step, why)
		return
	}
	d.stop(now, r, why)
}
