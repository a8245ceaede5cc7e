package dispatch

import (
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/speed"
	"curlewsill.org/curlewsill/core/unit"
)

// whyReported is the reason logged when a counted crash is retracted because
// the worker reports the run after all.
const whyReported = "its worker reports the run"

// runEnded processes the end of a run that a worker reports in an answer.
func (d *Dispatcher) runEnded(now unit.Instant, w *worker, e fleet.End, res RenewResult) {
	r := w.run(e.Task, e.Run)
	d.noteEnded(now, w, e)
	n := Note{Event: EventTaskEnded, Job: e.Task.Job, Task: e.Task, Worker: w.ID, Run: e.Run, Why: e.Reason.String()}
	if r == nil {
		n.Event = EventUnknownEnd
		d.note(n)
		d.retractCrash(w.ID, e.Task, e.Run, whyReported)
		if d.startedAgain(w, e) {
			d.withhold(w, e)
		}
		d.successAfterLoss(now, e)
		return
	}
	n.Age = now.Sub(r.knownSince)
	d.note(n)
	d.inheritedFound(r)
	d.endRun(now, r, e, &res)
}

// endRun processes the end of a run that is known. answer is the worker's answer that
// lists it; nil if another host has read the end.
func (d *Dispatcher) endRun(now unit.Instant, r *run, e fleet.End, answer *RenewResult) {
	r.startOpenUntil = 0
	if e.Checkpoint != "" {
		r.checkpoint = e.Checkpoint
	}
	r.apply(evEnded)
	s := r.step
	if s == nil {
		d.release(r)
		d.successAfterLoss(now, e)
		return
	}
	if s.job.progress.Outcome != job.Open {
		d.release(r)
		return
	}
	d.countFailures(now, r, e)
	if answer != nil {
		d.observeEnd(now, r, e, *answer)
	}
	switch e.Reason {
	case fleet.EndDone:
		d.runSucceeded(now, r)
	case fleet.EndFailed:
		d.runFailed(now, r)
	case fleet.EndStopped, fleet.EndLeaseExpired, fleet.EndGangBroken, fleet.EndGangTimeout:
		d.loseWithGang(now, r, e.Reason.String())
	}
}

// runSucceeded processes the success of a run. One member's success counts for
// its whole gang.
func (d *Dispatcher) runSucceeded(now unit.Instant, r *run) {
	s := r.step
	if s.step.LongRunning {
		d.loseWithGang(now, r, "ended")
		return
	}
	d.markDone(s, r.task.Index)
	d.release(r)
	d.complete(now, s.job)
}

// successAfterLoss processes the success of a run that was given up before: the
// task is done, and its newer run is stopped. Without this, the work would be
// done twice.
func (d *Dispatcher) successAfterLoss(now unit.Instant, e fleet.End) {
	s := d.stepOfTask(e.Task)
	if e.Reason != fleet.EndDone || s == nil || s.job.progress.Outcome != job.Open {
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
		d.stopWithGang(now, r, "an earlier run of its task was done")
	}
	d.complete(now, js)
}

// markDone marks a task as done, and with it its gang.
func (d *Dispatcher) markDone(s *stepState, index int) {
	tasks := s.startGroup(index)
	for i := range tasks {
		t := &tasks[i]
		if t.Phase != job.Done {
			t.Phase, t.Worker, t.Checkpoint = job.Done, "", ""
			s.done++
		}
	}
	s.dropCrashes(index)
	d.markChanged(s.job)
	if s.done == s.step.Count && !s.doneCounted {
		s.doneCounted = true
		s.job.open--
		s.dropClaim()
		s.baseline = speed.Baseline{}
	}
}

// complete ends a job that has no open steps.
func (d *Dispatcher) complete(now unit.Instant, js *jobState) {
	if js.open == 0 {
		d.finish(now, js, job.Completed, "all tasks are done")
	}
}

// runFailed processes the failure of a run, which uses up one attempt of its
// task or gang.
func (d *Dispatcher) runFailed(now unit.Instant, r *run) {
	s := r.step
	js := s.job
	if js.progress.Tasks[s.base+r.task.Index].Phase == job.Done {
		d.release(r) // an earlier run succeeded, so there is nothing to retry
		return
	}
	s.noteFailure(now, r.task.Index, r.worker)
	if s.step.Gang {
		if s.failedRun >= r.number {
			d.loseWithGang(now, r, "failed")
			return
		}
		s.failedRun = r.number
	}
	worst := 0
	tasks := s.startGroup(r.task.Index)
	for i := range tasks {
		tasks[i].Failures++
		worst = max(worst, tasks[i].Failures)
	}
	d.markChanged(js)
	d.loseWithGang(now, r, "failed")
	r.rememberFailedWorker()
	if worst >= js.spec.MaxAttempts && !s.step.LongRunning {
		d.finish(now, js, job.Failed, "out of attempts")
	}
}

// rememberFailedWorker keeps the worker in the record of a task that waits
// again. If the next owner finds a waiting task of a gang that names a worker,
// it treats the last run of the gang as already counted as failed. Without
// this, it would count the failures of two members in the same run of a gang as
// two failures.
func (r *run) rememberFailedWorker() {
	t := &r.step.job.progress.Tasks[r.step.base+r.task.Index]
	if t.Phase == job.Waiting {
		t.Worker = r.worker.ID
	}
}

// reconcile compares the runs that a worker reports with those that are placed
// on it. It stops reported runs that nothing has placed there, updates the
// others, and handles the placed runs that the report lists neither as running
// nor as ended.
func (d *Dispatcher) reconcile(now unit.Instant, w *worker, res RenewResult, ended map[job.TaskID]bool) {
	listed := map[job.TaskID]bool{}
	for _, x := range res.Report.Running {
		listed[x.Task] = true
		d.noteReported(now, w, x)
		r := w.runs.get(x.Task)
		if r == nil && !ended[x.Task] {
			r = d.stopUnknownRun(now, w, x)
		}
		if r == nil || r.number != x.Run {
			continue
		}
		if r.state == runStopping && r.stopConfirmedAt != 0 && now.Sub(r.stopConfirmedAt) > stopResendFactor*d.config.StopTime {
			r.stopConfirmedAt = 0 // it should have ended long ago: resend repeats the order to stop
		}
		d.inheritedFound(r)
		r.recordProgress(now, x.Percent)
		r.checkpoint, r.percent, r.load, r.reportedAt, r.missingAt = x.Checkpoint, x.Percent, x.Load, now, 0
		if r.apply(evStarted) && r.startedAt == 0 {
			r.startedAt = now
		}
		if res.prompt(now) {
			d.observeProgress(now, r, x.Percent)
		}
		d.confirmStart(r)
		d.clearSuspicion(r)
	}
	for _, r := range w.sorted() {
		if listed[r.task] || ended[r.task] || res.Report.MoreEnds {
			continue // its end may be among those in the next answer
		}
		if r.inheritedFrom != "" && r.state != runStopping && !r.startExpired(res.Sent) {
			d.inheritedMissing(now, r, res.Sent)
			continue
		}
		if d.mustBeReported(r, res.Sent) {
			d.recordMissing(now, r, res.Sent)
		}
	}
}

// mustBeReported reports whether a run counts as missing if the answer to a
// renewal sent at the given time doesn't list it. That is so if the run can't
// start on the worker after that time: the worker had already confirmed its
// start or its stop, or every copy of its start order is by then too late to be
// accepted. A run whose start order is open never counts as missing: even if it
// can't start on this incarnation any more, it may start on the next one. One whose
// record confirms its start has started before this owner learned of it.
func (d *Dispatcher) mustBeReported(r *run, sent unit.Instant) bool {
	if r.mayStillStart(sent) {
		return false
	}
	if r.startExpired(sent) || r.fromEarlierOwner && r.startConfirmed() && sent > r.knownSince {
		return true
	}
	started := r.startedAt != 0 && sent > r.startedAt
	stopped := r.state == runStopping && r.stopConfirmedAt != 0 && sent > r.stopConfirmedAt
	late := r.state != runOrdered && r.startSentAt != 0 && sent > d.maxLeaseExpiry(r.startSentAt.Add(soleOwnerValidity))
	return started || stopped || late
}

// recordMissing processes an answer that lists a run neither as running nor as
// ended. A worker that collects the two lists one after the other may miss a
// run that ends in between. The first such answer is therefore only noted. The
// run is given up when another answer, requested after the first one arrived,
// doesn't list it either. Otherwise a task could be started again after it was
// done.
func (d *Dispatcher) recordMissing(now unit.Instant, r *run, sent unit.Instant) {
	if r.missingAt == 0 || sent <= r.missingAt {
		r.missingAt = max(r.missingAt, now)
		return
	}
	d.noteRun(EventTaskVanished, r, string(r.state), now.Sub(sent))
	if r.startExpired(now) && r.startOrders > 0 {
		d.countUnansweredStart(now, r)
	}
	r.apply(evLost)
	d.loseWithGang(now, r, "not listed by its worker")
}

// stopUnknownRun adds a run that a worker reports but no record mentions, and
// stops it. Its task isn't started again until that run has ended.
func (d *Dispatcher) stopUnknownRun(now unit.Instant, w *worker, x fleet.Running) *run {
	r := &run{task: x.Task, number: x.Run, state: runRunning, worker: w, knownSince: now, startedAt: now, fromEarlierOwner: true}
	d.retractCrash(w.ID, x.Task, x.Run, whyReported)
	if s := d.stepOfTask(x.Task); s != nil {
		r.need = s.step.Reserved()
		if s.runs[x.Task.Index] == nil {
			r.step = s
		}
	}
	d.occupy(r)
	w.grantedLeaseExpiry = max(w.grantedLeaseExpiry, d.maxLeaseExpiry(now.Add(soleOwnerValidity))) // a lease is valid there, perhaps from a delayed order
	d.stop(now, r, "no placement is known for it")
	return r
}
