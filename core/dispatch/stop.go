package dispatch

import (
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// CancelJob ends a job for good. What runs of it is stopped.
func (d *Dispatcher) CancelJob(now unit.Instant, name id.Job) {
	js := d.jobs[name]
	if js == nil || js.cancelled || js.progress.Outcome != job.Open {
		return
	}
	js.cancelled = true
	d.finish(now, js, job.Cancelled, "cancelled")
}

// finish sets the outcome of an open job and stops what still runs.
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
		// What still runs of a completed job is a gang that has ended as a whole;
		// its workers list the other members' ends by themselves.
		d.stopAll(now, js, why)
	}
	if !js.busy() {
		js.dropTasks()
	}
	d.mark(js)
	d.noteJob(EventJobEnded, now, js, why, js.spec.LongestChain())
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

// stop takes a run back: at once if its order has not left, else by an order.
func (d *Dispatcher) stop(now unit.Instant, r *run, why string) {
	if r.state == runStopping || r.state == runGone {
		return
	}
	r.why = why
	ordered := r.state == runOrdered
	if !r.apply(evStop) {
		return
	}
	if ordered {
		d.putBack(r)
		d.release(r)
		return
	}
	d.noteRun(EventTaskStop, r, why, now.Sub(r.since))
	d.orderStop(now, r)
}

// putBack makes the task of a run wait again, unless it is done or was placed anew.
func (d *Dispatcher) putBack(r *run) {
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
		d.mark(js)
	}
}

// keepCheckpoint notes a checkpoint for a task, or for all members of a gang: they
// have to be started with the same one.
func (d *Dispatcher) keepCheckpoint(s *stepState, index int, checkpoint string) {
	tasks := s.together(index)
	for i := range tasks {
		tasks[i].Checkpoint = checkpoint
	}
}

// lose gives up one run, and with it its gang.
func (d *Dispatcher) lose(now unit.Instant, r *run, why string) {
	d.putBack(r)
	d.release(r)
	if r.step != nil && r.step.step.Gang && r.step.done < r.step.step.Count {
		d.stopStep(now, r.step, "gang member lost: "+why)
	}
}

// stopRun stops a run, and with it its gang.
func (d *Dispatcher) stopRun(now unit.Instant, r *run, why string) {
	if r.step != nil && r.step.step.Gang {
		d.stopStep(now, r.step, why)
		return
	}
	d.stop(now, r, why)
}
