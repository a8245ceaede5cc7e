package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// renewPause is the pause before another renewal when the last one brought
	// nothing that could be waited for.
	renewPause = 500 * time.Millisecond
	// busyPause is how long a worker that refused a start is left alone; a
	// renewal that is sent at once tells meanwhile what it holds.
	busyPause = 500 * time.Millisecond
)

// addressee returns the worker that an order went to, or nil if it isn't known any more or the
// order was another owner's.
func (d *Dispatcher) addressee(t Target) *worker {
	if t.Epoch != d.epoch {
		return nil
	}
	return d.workers[t.Worker]
}

// run returns a run on the worker by its task and number, or nil.
func (w *worker) run(t job.Task, number job.Run) *run {
	r := w.runs[t]
	if r == nil || r.number != number {
		return nil
	}
	return r
}

// answered notes that a worker lives, and its clock.
func (d *Dispatcher) answered(now unit.Instant, w *worker, c fleet.Clock) {
	w.answered, w.refused = now, 0
	if c > 0 && c >= w.Clock {
		w.Clock, w.clockAt = c, now
	}
}

// judge takes in what a verdict says of the worker itself. It reports whether the
// worker answered under this epoch.
func (d *Dispatcher) judge(now unit.Instant, w *worker, v fleet.Verdict, c fleet.Clock) bool {
	switch v {
	case fleet.Unknown:
		return false
	case fleet.Unreachable:
		w.refused++
		return false
	case fleet.Replaced:
		d.note(Note{Event: EventWorkerReplaced, Worker: w.ID, Why: w.Address})
		d.loseAll(now, w, "another life at its address")
		w.listed = false
		return false
	case fleet.Fenced:
		if !d.fenced {
			d.note(Note{Event: EventOwnerFenced, Worker: w.ID, Why: "the worker has seen a later epoch"})
		}
		d.fenced = true
		return false
	default:
		d.answered(now, w, c)
		return true
	}
}

// Started takes in what became of an order to start.
func (d *Dispatcher) Started(now unit.Instant, res StartResult) {
	w := d.addressee(res.Start.Target)
	if w == nil {
		return
	}
	d.judge(now, w, res.Verdict, res.Clock)
	r := w.run(res.Start.Task, res.Start.Run)
	if r == nil {
		return
	}
	r.inFlight = false
	switch res.Verdict {
	case fleet.Carried:
		if r.apply(evStarted) && r.started == 0 {
			r.started = now
		}
	case fleet.Unknown:
		r.unanswered = true
	case fleet.Unreachable, fleet.Replaced, fleet.Fenced, fleet.Expired:
		// The order is repeated by resend, or the worker was given up above.
	case fleet.Stale:
		d.overtaken(now, r)
	case fleet.NoTicket:
		r.step.dropPermit(w)
		d.rejected(now, r, res.Verdict)
	case fleet.NoRoom, fleet.Busy, fleet.Invalid:
		w.pausedUntil = now.Add(busyPause)
		d.rejected(now, r, res.Verdict)
	}
}

// overtaken takes in that a worker has seen this run or a later one end. An earlier
// copy of the order was carried out, so the run has ended, perhaps with success: the
// next renewal lists its end, or else it is lost.
func (d *Dispatcher) overtaken(now unit.Instant, r *run) {
	d.noteRun(EventStartOvertaken, r, "", now.Sub(r.since))
	if r.apply(evStarted) {
		r.started = now
	}
	r.worker.nextHold = min(r.worker.nextHold, now)
}

// rejected takes back a run that its worker did not start.
func (d *Dispatcher) rejected(now unit.Instant, r *run, v fleet.Verdict) {
	if r.state == runRunning {
		return // an older answer that was overtaken
	}
	r.worker.nextHold = min(r.worker.nextHold, now)
	d.noteRun(EventStartRejected, r, v.String(), now.Sub(r.since))
	if r.unanswered {
		// An earlier copy of the order may still be carried out; a stop prevents it.
		d.stopRun(now, r, "refused, while a copy of its order may be on its way")
		return
	}
	if r.apply(evRejected) {
		d.lose(now, r, v.String())
	}
}

// Stopped takes in what became of an order to stop. The room is free only when the
// worker lists the end, or no longer lists the run.
func (d *Dispatcher) Stopped(now unit.Instant, res StopResult) {
	w := d.addressee(res.Stop.Target)
	if w == nil {
		return
	}
	ok := d.judge(now, w, res.Verdict, res.Clock)
	r := w.run(res.Stop.Task, res.Stop.Run)
	if r == nil {
		return
	}
	r.inFlight = false
	if ok && r.stopDone == 0 {
		r.stopDone = now
		// One look that doesn't wait tells whether the run was ever there.
		w.nextHold = min(w.nextHold, now.Add(d.config.StopTime))
	}
}

// Renewed takes in a worker's answer to a renewal.
func (d *Dispatcher) Renewed(now unit.Instant, res RenewResult) {
	w := d.addressee(res.Renew.Target)
	if w == nil {
		return
	}
	w.holding = false
	w.nextHold = now.Add(renewPause)
	if !d.judge(now, w, res.Verdict, res.Report.Clock) || res.Verdict != fleet.Carried {
		return
	}
	w.told = max(w.told, res.Renew.Told)
	ended := map[job.Task]bool{}
	for _, e := range res.Report.Ended {
		ended[e.Task] = true
		if e.Seq > w.seen {
			w.seen, d.acks = e.Seq, true
			d.end(now, w, e)
		}
	}
	d.compare(now, w, res, ended)
	w.endTrial(now)
	d.pace(now, w)
	w.synced = res.Sent
	if w.seen == w.durable {
		w.nextHold = now
	}
}

// end takes in that a run has ended.
func (d *Dispatcher) end(now unit.Instant, w *worker, e fleet.End) {
	r := w.run(e.Task, e.Run)
	n := Note{Event: EventTaskEnded, Job: e.Task.Job, Task: e.Task, Worker: w.ID, Run: e.Run, Why: e.How.String()}
	if r == nil {
		n.Event = EventUnknownEnd
		d.note(n)
		return
	}
	n.Age = now.Sub(r.since)
	d.note(n)
	if e.Checkpoint != "" {
		r.checkpoint = e.Checkpoint
	}
	r.apply(evEnded)
	s := r.step
	if s == nil || s.job.progress.Outcome != job.Open {
		d.release(r)
		return
	}
	d.countFailures(now, w, e)
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
	js := s.job
	if s.step.LongRunning {
		d.lose(now, r, "ended")
		return
	}
	tasks := s.together(r.task.Index)
	for i := range tasks {
		t := &tasks[i]
		if t.Phase != job.Done {
			t.Phase, t.Worker, t.Checkpoint = job.Done, "", ""
			s.done++
		}
	}
	d.mark(js)
	if s.done == s.step.Count && !s.counted {
		s.counted = true
		js.open--
		s.dropClaim()
	}
	d.release(r)
	if js.open == 0 {
		d.finish(now, js, job.Completed, "all tasks are done")
	}
}

// failed takes in a failure, which uses up one attempt of the task or its gang.
func (d *Dispatcher) failed(now unit.Instant, r *run) {
	s := r.step
	js := s.job
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
	if worst >= js.spec.MaxAttempts && !s.step.LongRunning {
		d.finish(now, js, job.Failed, "out of attempts")
	}
}

// compare takes in what a worker says that it runs.
func (d *Dispatcher) compare(now unit.Instant, w *worker, res RenewResult, ended map[job.Task]bool) {
	listed := map[job.Task]bool{}
	for _, x := range res.Report.Running {
		listed[x.Task] = true
		r := w.runs[x.Task]
		if r == nil && !ended[x.Task] {
			r = d.discover(now, w, x)
		}
		if r == nil || r.number != x.Run {
			continue
		}
		r.checkpoint, r.percent, r.load, r.reported = x.Checkpoint, x.Percent, x.Load, now
		if r.apply(evStarted) && r.started == 0 {
			r.started = now
		}
	}
	for _, r := range w.sorted() {
		if listed[r.task] || ended[r.task] {
			continue
		}
		vanished := r.state == runRunning && res.Sent > r.started
		neverThere := r.state == runStopping && r.stopDone != 0 && res.Sent > r.stopDone
		if vanished || neverThere {
			d.noteRun(EventTaskVanished, r, string(r.state), now.Sub(res.Sent))
			r.apply(evLost)
			d.lose(now, r, "not listed by its worker")
		}
	}
}

// discover takes in a run that no record tells of, and stops it.
func (d *Dispatcher) discover(now unit.Instant, w *worker, x fleet.Running) *run {
	r := &run{task: x.Task, number: x.Run, state: runRunning, worker: w, since: now, started: now}
	if js := d.jobs[x.Task.Job]; js != nil {
		if _, ok := js.spec.Index(x.Task); ok {
			r.need = js.spec.Steps[x.Task.Step].Reserved()
		}
	}
	w.runs[r.task] = r
	w.used = w.used.Add(r.need)
	d.stop(now, r, "no placement is known for it")
	return r
}
