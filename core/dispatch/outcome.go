package dispatch

import (
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// toldAfterAll is why a crash isn't held against a run.
const toldAfterAll = "its worker tells of the run"

// end takes in that a run has ended.
func (d *Dispatcher) end(now unit.Instant, w *worker, e fleet.End) {
	r := w.run(e.Task, e.Run)
	n := Note{Event: EventTaskEnded, Job: e.Task.Job, Task: e.Task, Worker: w.ID, Run: e.Run, Why: e.How.String()}
	if r == nil {
		n.Event = EventUnknownEnd
		d.note(n)
		d.retractCrash(w.ID, e.Task, e.Run, toldAfterAll)
		d.lateSuccess(now, e)
		return
	}
	n.Age = now.Sub(r.since)
	d.note(n)
	d.inheritedFound(r)
	if e.Checkpoint != "" {
		r.checkpoint = e.Checkpoint
	}
	r.apply(evEnded)
	s := r.step
	if s == nil || s.job.progress.Outcome != job.Open {
		d.release(r)
		return
	}
	d.countFailures(now, r, e)
	switch e.How {
	case fleet.EndDone:
		d.done(now, r)
	case fleet.EndFailed:
		d.failed(now, r)
	case fleet.EndStopped, fleet.EndLapsed, fleet.EndBroken, fleet.EndAlone:
		d.lose(now, r, e.How.String())
	}
}

// done takes in a success. One member's success stands for its whole gang.
func (d *Dispatcher) done(now unit.Instant, r *run) {
	s := r.step
	if s.step.LongRunning {
		d.lose(now, r, "ended")
		return
	}
	d.markDone(s, r.task.Index)
	d.release(r)
	d.complete(now, s.job)
}

// lateSuccess takes in a success of a run that was given up: the task is done, and what runs of it elsewhere is
// stopped. Without it the work is done once more.
func (d *Dispatcher) lateSuccess(now unit.Instant, e fleet.End) {
	s := d.stepOfTask(e.Task)
	if e.How != fleet.EndDone || s == nil || s.job.progress.Outcome != job.Open {
		return
	}
	js := s.job
	if s.step.LongRunning || len(js.progress.Tasks) == 0 {
		return
	}
	t := js.progress.Tasks[s.base+e.Task.Index]
	if t.Phase == job.Done || e.Run > t.Run {
		return
	}
	d.markDone(s, e.Task.Index)
	if r := s.runs[e.Task.Index]; r != nil {
		d.stopRun(now, r, "an earlier run of its task was done")
	}
	d.complete(now, js)
}

// markDone notes that a task is done, and with it its gang.
func (d *Dispatcher) markDone(s *stepState, index int) {
	tasks := s.together(index)
	for i := range tasks {
		t := &tasks[i]
		if t.Phase != job.Done {
			t.Phase, t.Worker, t.Checkpoint = job.Done, "", ""
			s.done++
		}
	}
	s.dropCrashes(index)
	d.mark(s.job)
	if s.done == s.step.Count && !s.counted {
		s.counted = true
		s.job.open--
		s.dropClaim()
	}
}

// complete ends a job of which no step is open.
func (d *Dispatcher) complete(now unit.Instant, js *jobState) {
	if js.open == 0 {
		d.finish(now, js, job.Completed, "all tasks are done")
	}
}

// failed takes in a failure, which uses up one attempt of the task or its gang.
func (d *Dispatcher) failed(now unit.Instant, r *run) {
	s := r.step
	js := s.job
	if js.progress.Tasks[s.base+r.task.Index].Phase == job.Done {
		d.release(r) // an earlier run was done: nothing is to be tried again
		return
	}
	s.noteFailure(now, r.task.Index, r.worker)
	if s.step.Gang {
		if s.failedRun >= r.number {
			d.lose(now, r, "failed")
			return
		}
		s.failedRun = r.number
	}
	worst := 0
	tasks := s.together(r.task.Index)
	for i := range tasks {
		tasks[i].Failed++
		worst = max(worst, tasks[i].Failed)
	}
	d.mark(js)
	d.lose(now, r, "failed")
	r.keepFailure()
	if worst >= js.spec.MaxAttempts && !s.step.LongRunning {
		d.finish(now, js, job.Failed, "out of attempts")
	}
}

// keepFailure notes in the task's record that its last run has failed and was counted. Without it the next owner
// counted another member's failure in the same run of a gang again.
func (r *run) keepFailure() {
	t := &r.step.job.progress.Tasks[r.step.base+r.task.Index]
	if t.Phase == job.Waiting {
		t.Worker = r.worker.ID
	}
}

// compare takes in what a worker says that it runs.
func (d *Dispatcher) compare(now unit.Instant, w *worker, res RenewResult, ended map[job.Task]bool) {
	listed := map[job.Task]bool{}
	for _, x := range res.Report.Running {
		listed[x.Task] = true
		r := w.runs.get(x.Task)
		if r == nil && !ended[x.Task] {
			r = d.discover(now, w, x)
		}
		if r == nil || r.number != x.Run {
			continue
		}
		if r.state == runStopping && r.stopDone != 0 && now.Sub(r.stopDone) > stopPatience*d.config.StopTime {
			r.stopDone = 0 // it should have ended long ago: resend orders it again
		}
		d.inheritedFound(r)
		r.progressed(now, x.Percent)
		r.checkpoint, r.percent, r.load, r.reported, r.missed = x.Checkpoint, x.Percent, x.Load, now, 0
		if r.apply(evStarted) && r.started == 0 {
			r.started = now
		}
		d.clearSuspicion(r)
	}
	for _, r := range w.sorted() {
		if listed[r.task] || ended[r.task] || res.Report.MoreEnds {
			continue // its end may be among those that the next answer tells
		}
		if r.inherited != "" && r.state != runStopping {
			d.inheritedMissing(now, r, res.Sent)
			continue
		}
		if d.overdue(r, res.Sent) {
			d.miss(now, r, res.Sent)
		}
	}
}

// overdue reports whether an answer to a renewal that left at a time would tell of a run that is there or may come: the
// worker had confirmed its start or its stop, or each copy of its order to start is refused as late by then.
func (d *Dispatcher) overdue(r *run, sent unit.Instant) bool {
	started := r.started != 0 && sent > r.started
	stopped := r.state == runStopping && r.stopDone != 0 && sent > r.stopDone
	late := r.state != runOrdered && r.asked != 0 && sent > d.lapseOf(r.asked.Add(assuredFor))
	return started || stopped || late
}

// miss takes in that a run is in neither list of an answer. A worker that takes the two one after the other may miss a
// run that ends between them, so that only the second answer in a row counts: else a task
// may be started again after it was done.
func (d *Dispatcher) miss(now unit.Instant, r *run, sent unit.Instant) {
	if r.missed == 0 || sent <= r.missed {
		r.missed = max(r.missed, now)
		return
	}
	d.noteRun(EventTaskVanished, r, string(r.state), now.Sub(sent))
	r.apply(evLost)
	d.lose(now, r, "not listed by its worker")
}

// discover takes in a run that no record tells of, and stops it. Until it has ended its task isn't started again.
func (d *Dispatcher) discover(now unit.Instant, w *worker, x fleet.Running) *run {
	r := &run{task: x.Task, number: x.Run, state: runRunning, worker: w, since: now, started: now, resumed: true}
	d.retractCrash(w.ID, x.Task, x.Run, toldAfterAll)
	if s := d.stepOfTask(x.Task); s != nil {
		r.need = s.step.Reserved()
		if s.runs[x.Task.Index] == nil {
			r.step = s
		}
	}
	d.occupy(r)
	w.grantedUntil = max(w.grantedUntil, d.lapseOf(now.Add(assuredFor))) // some lease holds, perhaps of an order that was late
	d.stop(now, r, "no placement is known for it")
	return r
}
