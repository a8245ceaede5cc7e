package dispatch

import (
	"fmt"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// Callers see a job as running, and it no longer counts as waiting, once a worker
// is known to have begun a task of it. That a task was placed doesn't show this:
// its worker may never begin it, as when it leaves the start order unanswered or
// ends.

// maxSignAge is how old the sign of a member of a gang may be that shows the
// member to be on its worker. A worker reports its runs more often. The limit is
// below the time for which a member waits for the others: without it a member would
// count that has left meanwhile.
const maxSignAge = renewWait + 500*time.Millisecond

// sign shows that a worker has a run, or had it.
type sign struct {
	worker id.Worker
	task   job.TaskID
	run    job.RunNumber
	// at is a time at which the worker may have had the run, at the latest.
	at unit.Instant
	// worked is set if the run has worked, and not only waited for its gang.
	worked bool
	why    string
}

// noteSign records a sign, also of a run that was given up meanwhile. A gang has
// begun once a member has worked or the workers have all members, since none of
// them works before.
func (d *Dispatcher) noteSign(now unit.Instant, x sign) {
	s := d.stepOfTask(x.task)
	if s == nil || s.job.begun {
		return
	}
	if r := s.runs[x.task.Index]; r != nil && r.number == x.run && r.worker.ID == x.worker {
		r.signAt = max(r.signAt, x.at)
	}
	if s.step.Gang && !x.worked && !s.gangPresent(now) {
		return
	}
	d.noteBegun(now, s.job, x)
}

// gangPresent reports whether the workers have all members of a gang.
func (s *stepState) gangPresent(now unit.Instant) bool {
	present := 0
	for _, r := range s.runs {
		if r.signAt != 0 && now.Sub(r.signAt) <= maxSignAge {
			present++
		}
	}
	return present == s.step.Count
}

// noteStarted records that a worker has carried out a start order. The answer may
// have been on its way for long.
func (d *Dispatcher) noteStarted(now unit.Instant, x Start) {
	at := now
	if s := d.stepOfTask(x.Task); s != nil && s.runs[x.Task.Index] != nil {
		at = s.runs[x.Task.Index].startSentAt
	}
	d.noteSign(now, sign{worker: x.Worker, task: x.Task, run: x.Run, at: at, why: "its worker has carried out the start order"})
}

// noteReported records that a worker lists a run.
func (d *Dispatcher) noteReported(now unit.Instant, w *worker, x fleet.Running) {
	d.noteSign(now, sign{worker: w.ID, task: x.Task, run: x.Run, at: now, worked: x.Percent > 0, why: "its worker reports a run"})
}

// noteEnded records the end of a run that a worker reports. A member of a gang may
// end before the others have come, also by a failure.
func (d *Dispatcher) noteEnded(now unit.Instant, w *worker, e fleet.End) {
	d.noteSign(now, sign{worker: w.ID, task: e.Task, run: e.Run, worked: e.Reason == fleet.EndDone, why: "its worker reports the end of a run"})
}

// begunBefore reports whether the progress of a job shows that it has begun under
// an earlier owner. A member of a gang may fail without work.
func (js *jobState) begunBefore() bool {
	return slices.ContainsFunc(js.steps, func(s *stepState) bool {
		if len(js.progress.Tasks) < s.base+s.step.Count {
			return false
		}
		tasks := js.progress.Tasks[s.base : s.base+s.step.Count]
		return slices.ContainsFunc(tasks, func(t job.TaskState) bool { return t.Phase == job.Done || t.Failures > 0 && !s.step.Gang })
	})
}

// noteBegun records that a job has begun.
func (d *Dispatcher) noteBegun(now unit.Instant, js *jobState, x sign) {
	if js.begun || js.progress.Outcome != job.Open {
		return
	}
	js.begun = true
	d.begun = append(d.begun, js)
	d.note(Note{Event: EventJobBegun, Job: js.id, Task: x.task, Worker: x.worker, Run: x.run, Why: x.why, Age: now.Sub(js.spec.Accepted)})
}

// recordBegun adds the summaries of the jobs that have begun since the last
// batch. Their progress needs no new record.
func (d *Dispatcher) recordBegun(b *Batch) error {
	for _, js := range d.begun {
		if err := d.recordSummary(b, js); err != nil {
			return fmt.Errorf("dispatch: job %s: %w", js.id, err)
		}
	}
	d.begun = nil
	return nil
}
