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

// A worker that crashes reports no task ends, so a task that crashes every
// worker it starts on would never use up its attempts. Crashes are therefore
// counted separately, per task, in the job's progress record.

const (
	// maxEarlyCrashes is how many workers in a row may crash soon after starts
	// of a task before its job fails. The platform allows two more starts after
	// the third crash, and allows the job to be failed after the second. A task
	// that merely ran beside the cause is isolated from other tasks in its next
	// two runs, so it reaches this count only if workers crash for other
	// reasons soon after both starts.
	maxEarlyCrashes = 3
	// maxCrashes is the limit for crashes at any time after a start: the third
	// crash plus the two more starts that the platform allows.
	maxCrashes = 5
	// earlyCrashTime is how long after a run's start its worker must have
	// answered so that a later crash does not count as one soon after the
	// start. Most tasks that crash workers do so immediately. A longer time
	// would attribute more unrelated crashes to the task.
	earlyCrashTime = 300 * time.Millisecond
	// minRepeatedCrashes is the number of crashes under a task from which
	// another crash under it is no evidence of a common cause. Without this
	// bound, tasks that crash workers some time after their starts would excuse
	// each other indefinitely.
	minRepeatedCrashes = 2
	// crashResetAfter is how long after a run's start its worker must have
	// answered for the crash counts of its task to be reset, so that unrelated
	// worker crashes, hours apart, don't fail a long-running task.
	crashResetAfter = 30 * time.Second
)

// crashed reports whether an incarnation of a worker, for whose end there is
// evidence e, seems to have ended without an announcement and without an order
// to take its machine down. Every later answer of its successor is evidence of
// the same end, so a worker that is already replaced doesn't count again. A
// worker whose leases have expired but that is still listed is assumed to be
// cut off from the network.
func (w *worker) crashed(now unit.Instant, e evidence) bool {
	announced := w.Draining && !w.endedEarly(now)
	return !w.replaced && !announced && !w.awaitingUpkeep && (e != leaseLapsed || !w.listed)
}

// endedEarly reports whether a draining worker ended before its announced time:
// its end is known before that time, or it had stopped answering by then.
// Without this, tasks that crash draining workers would be restarted for as
// long as there are such workers.
func (w *worker) endedEarly(now unit.Instant) bool {
	return w.mustBeUpAt(now) || w.firstLossAt != 0 && w.mustBeUpAt(w.firstLossAt)
}

// mustBeUpAt reports whether a draining worker must still be up at a time. The
// worker announces the earliest time of its end, as a reading of its own clock.
// The function compares that reading with an upper bound of the clock: the
// reading in the worker's last answer, plus the time since the answered renewal
// was sent.
func (w *worker) mustBeUpAt(at unit.Instant) bool {
	if w.syncedAsOf == 0 || w.syncedClock == 0 {
		return false
	}
	return w.syncedClock+fleet.ClockReading(at.Sub(w.syncedAsOf)) < w.drainEndClock
}

// startRefused handles the result that a start order was refused by its
// receiver, or that it reached nobody. Unless an earlier copy of the order may
// have been carried out, the run hasn't begun, so a crash of its worker in the
// meantime isn't counted against it.
func (d *Dispatcher) startRefused(s Start) {
	w := d.targetWorker(s.Target)
	if w == nil || s.MayHaveStarted {
		return
	}
	if r := w.run(s.Task, s.Run); r != nil {
		r.inFlight = false
		return
	}
	d.retractCrash(w.ID, s.Task, s.Run, "the order to start it was refused")
}

// mayHaveStarted reports whether an order to start the run may have reached its
// worker.
func (r *run) mayHaveStarted() bool {
	return r.state != runOrdered && (r.startedAt != 0 || r.startUnanswered || r.inFlight || r.fromEarlierOwner)
}

// mayCauseCrash reports whether the run may be the cause of a crash of its
// worker: it may have begun, and its task is not done.
func (r *run) mayCauseCrash() bool {
	if r.step == nil || !r.mayHaveStarted() {
		return false
	}
	p := &r.step.job.progress
	return p.Outcome == job.Open && len(p.Tasks) > 0 && p.Tasks[r.step.base+r.task.Index].Phase != job.Done
}

// likelyCrashCause reports whether a run may have begun only shortly before its
// worker crashed, which makes it the likely cause.
func (r *run) likelyCrashCause() bool {
	return r.mayCauseCrash() && r.confirmedRuntime() < earlyCrashTime
}

// crashedRepeatedly reports whether workers crashed under earlier runs of the
// task so often that the task is a possible cause.
func (r *run) crashedRepeatedly() bool {
	return r.mayCauseCrash() && r.step.anyCrashCount(r.task.Index, func(c job.CrashCount) bool { return c.Total >= minRepeatedCrashes })
}

// confirmedRuntime returns how long after the run's start its worker last
// answered; 0 if it hasn't answered since, or if the start isn't confirmed.
func (r *run) confirmedRuntime() time.Duration {
	if r.startedAt == 0 {
		return 0
	}
	return max(0, r.worker.lastAnswerAt.Sub(r.startedAt))
}

// countCrashes counts the crash of a worker for those of its runs that are about
// to be given up and may have begun there.
func (d *Dispatcher) countCrashes(now unit.Instant, w *worker, runs runSet) {
	e := &incarnationEnd{
		at: now, service: w.Service,
		explained: slices.ContainsFunc(runs, (*run).likelyCrashCause), repeatedCrash: slices.ContainsFunc(runs, (*run).crashedRepeatedly),
	}
	for _, r := range runs {
		if d.countCrash(now, r) && !d.excuseNotBegun(r) {
			e.counted = append(e.counted, r)
		}
	}
	d.incarnationEnds = slices.DeleteFunc(d.incarnationEnds, func(o *incarnationEnd) bool { return now.Sub(o.at) > commonCause })
	d.incarnationEnds = append(d.incarnationEnds, e)
	d.excuseCommonCause(w.Service)
}

// countCrash counts the crash of a worker for one of its runs, at most once per
// run, and reports whether it did.
func (d *Dispatcher) countCrash(now unit.Instant, r *run) bool {
	if !r.mayCauseCrash() {
		return false
	}
	s := r.step
	c := s.addCrashCount(r.task.Index)
	if c.Run >= r.number {
		return false // the previous owner has counted it
	}
	c.Run, c.Worker = r.number, r.worker.ID
	c.Total++
	c.Early++
	if r.confirmedRuntime() >= earlyCrashTime {
		c.Early = 0
	}
	s.noteFailure(now, r.task.Index, r.worker)
	d.markChanged(s.job)
	d.noteRun(EventCrashCounted, r, fmt.Sprintf("%d of %d at once, %d of %d in all", c.Early, maxEarlyCrashes, c.Total, maxCrashes), r.confirmedRuntime())
	return true
}

// retractCrash takes back the counted crash of a worker under a run; why is the
// evidence against it, for the log.
func (d *Dispatcher) retractCrash(w id.Worker, t job.TaskID, number job.RunNumber, why string) {
	s := d.stepOfTask(t)
	if s == nil {
		return
	}
	c := s.crashCount(t.Index)
	if c == nil || c.Run != number || c.Worker != w {
		return
	}
	c.Worker = ""
	c.Total--
	c.Early = max(0, c.Early-1)
	if c.Total <= 0 && c.Excused == 0 {
		s.dropCrash(s.base + t.Index)
	}
	delete(s.lastFailures, s.failureKey(t.Index))
	d.markChanged(s.job)
	d.note(Note{Event: EventCrashRetracted, Job: t.Job, Task: t, Worker: w, Run: number, Why: why})
}

// failCrashedJobs fails the jobs that have a task at its limit of crashes. They
// can't be completed, and each further start costs a worker for some seconds,
// with everything that runs there. It waits for the duration commonCause,
// within which the last crash may still turn out to be one of many with a
// common cause.
func (d *Dispatcher) failCrashedJobs(now unit.Instant) {
	for _, js := range slices.Clone(d.open) {
		if crashes, ok := js.taskBeyondCrashLimit(now); ok {
			d.finish(now, js, job.Failed, fmt.Sprintf("%d workers in a row crashed under one of its tasks", crashes))
		}
	}
}

// taskBeyondCrashLimit reports whether a task of the job is to be given up, and
// after how many crashes.
func (js *jobState) taskBeyondCrashLimit(now unit.Instant) (int, bool) {
	if len(js.progress.Crashes) == 0 {
		return 0, false
	}
	for _, s := range js.steps {
		for i := range s.step.Count {
			if c := s.crashCount(i); c != nil && beyondCrashLimit(*c) && s.waitedSinceCrash(now, i) >= commonCause {
				return c.Total, true
			}
		}
	}
	return 0, false
}

// pastCrashLimit reports whether a task, or a member of its gang, has reached
// the limit of crashes, so that it is not to be started again.
func (s *stepState) pastCrashLimit(index int) bool {
	return s.anyCrashCount(index, beyondCrashLimit)
}

// lastCrashEarly reports whether the latest crash under a task came soon after
// its start.
func lastCrashEarly(c job.CrashCount) bool { return c.Early > 0 }

// needsOwnWorker reports whether so many workers have crashed under a task that
// its worker takes no other tasks while it runs.
func needsOwnWorker(c job.CrashCount) bool { return c.Total >= isolateAfterCrashes }

// oneCrashLeft reports whether one more crash may bring a task to its limit.
func oneCrashLeft(c job.CrashCount) bool {
	return c.Early >= maxEarlyCrashes-1 || c.Total >= maxCrashes-1
}

// beyondCrashLimit reports whether a task has reached its limit of crashes.
func beyondCrashLimit(c job.CrashCount) bool {
	return c.Early >= maxEarlyCrashes || c.Total >= maxCrashes
}

// clearSuspicion updates the crash counts of a task whose run a worker has just
// reported. Once the run has worked long enough, its worker may take other
// tasks again, and later the counts are reset. For a gang, all members must
// have worked that long.
func (d *Dispatcher) clearSuspicion(r *run) {
	if r.step == nil {
		return
	}
	if !r.step.anyCrashCount(r.task.Index, func(job.CrashCount) bool { return true }) {
		return
	}
	worked := r.step.confirmedRuntime(r)
	if worked < earlyCrashTime {
		return
	}
	if r.step.anyCrashCount(r.task.Index, lastCrashEarly) {
		r.step.resetEarlyCrashes(r.task.Index)
		d.markChanged(r.step.job)
	}
	if !r.step.anyCrashCount(r.task.Index, needsOwnWorker) || worked >= crashResetAfter {
		r.step.dropIsolationReserves(r)
	}
	if worked >= crashResetAfter {
		r.step.dropCrashes(r.task.Index)
		d.markChanged(r.step.job)
	}
}

// confirmedRuntime returns for how long a run, or its whole gang together, is
// known to have worked. It is 0 for a gang with members missing or stopping:
// members that only wait for others are no evidence that the task is harmless.
func (s *stepState) confirmedRuntime(r *run) time.Duration {
	if !s.step.Gang {
		return r.confirmedRuntime()
	}
	if len(s.runs) < s.step.Count {
		return 0
	}
	least := r.confirmedRuntime()
	for _, m := range s.runs {
		if m.state != runRunning {
			return 0
		}
		least = min(least, m.confirmedRuntime())
	}
	return least
}

// dropIsolationReserves releases the room that is kept free beside a run, or
// beside all members of its gang.
func (s *stepState) dropIsolationReserves(r *run) {
	if !s.step.Gang {
		r.dropIsolationReserve()
		return
	}
	for _, m := range s.runs {
		m.dropIsolationReserve()
	}
}
