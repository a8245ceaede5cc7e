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

// A worker that crashes lists no end of what ran there, so that a task that crashes each worker that starts it uses up
// no attempt. Its crashes are counted instead, in the record of its job.

const (
	// mostAtOnce is how many workers in a row a task may crash soon after its starts before its job is given up. The
	// platform allows two more starts after the third crash, and to give up after the second. A task that only ran beside such a one
	// gets there if workers crash of other causes soon after its next two starts as well, which it makes by itself.
	mostAtOnce = 3
	// mostCrashes is the same for crashes at any time after its starts: the third and two more.
	mostCrashes = 5
	// settledAfter is how long after a run's start its worker must have answered for a crash not to count as one soon after the
	// start. Most tasks that crash workers do so at once. The longer, the more often a crash of another cause falls into it.
	settledAfter = 300 * time.Millisecond
	// repeatedFrom is the count of crashes from which one more under a task doesn't speak for a cause in common: without it tasks that crash workers
	// a while after their starts excuse each other for good.
	repeatedFrom = 2
	// soundAfter is how long after a run's start its worker must have answered for nothing to be held against the task any more,
	// so that workers that crash of other causes, hours apart, don't end a long-running task.
	soundAfter = 30 * time.Second
)

// crashed reports whether a worker's life, of whose end evidence has come, seems to have ended without a word and by no order of ours. Each later answer
// of its successor in its place tells of the same end. One whose leases have lapsed and that the list still shows is taken to be cut off.
func (w *worker) crashed(now unit.Instant, e evidence) bool {
	announced := w.Draining && !w.endedEarly(now)
	return !w.replaced && !announced && !w.held && (e != leaseLapsed || !w.listed)
}

// endedEarly reports whether a worker that has said that it leaves was over before it meant to: that is known by now, or it had stopped answering.
// Without this, tasks that crash workers which are leaving are started again for as long as there are such workers.
func (w *worker) endedEarly(now unit.Instant) bool {
	return w.staysAt(now) || w.lostAt != 0 && w.staysAt(w.lostAt)
}

// staysAt reports whether a worker that has said that it leaves should surely still be there at a time. It tells by its own clock how long it stays at
// least; that shows at most what its last answer told and what has passed since that was asked for.
func (w *worker) staysAt(at unit.Instant) bool {
	if w.synced == 0 || w.toldClock == 0 {
		return false
	}
	return w.toldClock+fleet.Clock(at.Sub(w.synced)) < w.leavesAt
}

// refused takes in that an order to start was refused by whoever got it, or that nobody got it. Unless an earlier copy of it may have been carried
// out, the run hasn't begun: a worker that has crashed meanwhile did so without it.
func (d *Dispatcher) refused(s Start) {
	w := d.addressee(s.Target)
	if w == nil || s.Unsure {
		return
	}
	if r := w.run(s.Task, s.Run); r != nil {
		r.inFlight = false
		return
	}
	d.retractCrash(w.ID, s.Task, s.Run, "the order to start it was refused")
}

// mayHaveBegun reports whether an order to start the run may have reached its worker.
func (r *run) mayHaveBegun() bool {
	return r.state != runOrdered && (r.started != 0 || r.unanswered || r.inFlight || r.resumed)
}

// blamable reports whether a crash of its worker can be the run's doing, as far as its job goes.
func (r *run) blamable() bool {
	if r.step == nil || !r.mayHaveBegun() {
		return false
	}
	p := &r.step.job.progress
	return p.Outcome == job.Open && len(p.Tasks) > 0 && p.Tasks[r.step.base+r.task.Index].Phase != job.Done
}

// justBegun reports whether a run may have begun a moment before its worker crashed, which makes it the likely cause.
func (r *run) justBegun() bool { return r.blamable() && r.workedFor() < settledAfter }

// hasCrashed reports whether workers crashed under earlier runs of the task so often that it may be the cause.
func (r *run) hasCrashed() bool {
	return r.blamable() && r.step.anyCrashes(r.task.Index, func(c job.CrashCount) bool { return c.All >= repeatedFrom })
}

// workedFor returns how long after the run's start its worker has answered; 0 if it hasn't.
func (r *run) workedFor() time.Duration {
	if r.started == 0 {
		return 0
	}
	return max(0, r.worker.answered.Sub(r.started))
}

// countCrashes counts the end of a worker's life under all that may have begun there. It is called before the runs are given up.
func (d *Dispatcher) countCrashes(now unit.Instant, w *worker) {
	e := &lifeEnd{
		at: now, service: w.Service,
		explained: slices.ContainsFunc(w.runs, (*run).justBegun), repeated: slices.ContainsFunc(w.runs, (*run).hasCrashed),
	}
	for _, r := range w.runs {
		if d.countCrash(now, r) {
			e.counted = append(e.counted, r)
		}
	}
	d.lifeEnds = slices.DeleteFunc(d.lifeEnds, func(o *lifeEnd) bool { return now.Sub(o.at) > commonCause })
	d.lifeEnds = append(d.lifeEnds, e)
	d.excuseMass(w.Service)
}

// countCrash counts the end of a worker's life under a run, once, and reports whether it did.
func (d *Dispatcher) countCrash(now unit.Instant, r *run) bool {
	if !r.blamable() {
		return false
	}
	s := r.step
	c := s.addCrashCount(r.task.Index)
	if c.Run >= r.number {
		return false // the owner before has counted it
	}
	c.Run, c.Worker = r.number, r.worker.ID
	c.All++
	c.AtOnce++
	if r.workedFor() >= settledAfter {
		c.AtOnce = 0
	}
	s.noteFailure(now, r.task.Index, r.worker)
	d.mark(s.job)
	d.noteRun(EventCrashCounted, r, fmt.Sprintf("%d of %d at once, %d of %d in all", c.AtOnce, mostAtOnce, c.All, mostCrashes), r.workedFor())
	return true
}

// retractCrash takes back that a worker had crashed under a run; why says what speaks against it.
func (d *Dispatcher) retractCrash(w id.Worker, t job.Task, number job.Run, why string) {
	s := d.stepOfTask(t)
	if s == nil {
		return
	}
	c := s.crashCount(t.Index)
	if c == nil || c.Run != number || c.Worker != w {
		return
	}
	c.Worker = ""
	c.All--
	c.AtOnce = max(0, c.AtOnce-1)
	if c.All <= 0 {
		s.dropCrash(s.base + t.Index)
	}
	delete(s.failures, s.failureKey(t.Index))
	d.mark(s.job)
	d.note(Note{Event: EventCrashRetracted, Job: t.Job, Task: t, Worker: w, Run: number, Why: why})
}

// giveUpSpent ends the jobs of which a task has crashed as many workers as it may. They can't be done, and each further start
// costs a worker for some seconds, with all that runs there. It waits until the last crash would have shown to be one of many.
func (d *Dispatcher) giveUpSpent(now unit.Instant) {
	for _, js := range slices.Clone(d.open) {
		if all, ok := js.spentTask(now); ok {
			d.finish(now, js, job.Failed, fmt.Sprintf("%d workers in a row crashed under one of its tasks", all))
		}
	}
}

// spentTask reports whether a task of the job is to be given up, and after how many crashes.
func (js *jobState) spentTask(now unit.Instant) (int, bool) {
	if len(js.progress.Crashes) == 0 {
		return 0, false
	}
	for _, s := range js.steps {
		for i := range s.step.Count {
			if c := s.crashCount(i); c != nil && tooMany(*c) && s.waitedSinceCrash(now, i) >= commonCause {
				return c.All, true
			}
		}
	}
	return 0, false
}

// spent reports whether a task, or a member of its gang, has crashed so many workers that it is not to be started again.
func (s *stepState) spent(index int) bool {
	return s.anyCrashes(index, tooMany)
}

// crashedSoon reports whether the newest crash under a task came soon after its start, crashedOften whether so many did in all that it keeps its worker.
func crashedSoon(c job.CrashCount) bool  { return c.AtOnce > 0 }
func crashedOften(c job.CrashCount) bool { return c.All >= isolateFrom }

// tooMany reports whether a task has crashed as many workers as it may.
func tooMany(c job.CrashCount) bool { return c.AtOnce >= mostAtOnce || c.All >= mostCrashes }

// clearSuspicion takes in that a worker tells of a run: one that has gone on for a while doesn't need its worker for itself any more,
// and speaks for its task; that of a gang does so when all members have.
func (d *Dispatcher) clearSuspicion(r *run) {
	if r.step == nil {
		return
	}
	if !r.step.anyCrashes(r.task.Index, func(job.CrashCount) bool { return true }) {
		return
	}
	worked := r.step.workedFor(r)
	if worked < settledAfter {
		return
	}
	if r.step.anyCrashes(r.task.Index, crashedSoon) {
		r.step.clearAtOnce(r.task.Index)
		d.mark(r.step.job)
	}
	if !r.step.anyCrashes(r.task.Index, crashedOften) || worked >= soundAfter {
		r.step.dropShields(r)
	}
	if worked >= soundAfter {
		r.step.dropCrashes(r.task.Index)
		d.mark(r.step.job)
	}
}

// workedFor returns for how long a run has worked, or its whole gang together. Members that wait for others, or are stopped, prove nothing.
func (s *stepState) workedFor(r *run) time.Duration {
	if !s.step.Gang {
		return r.workedFor()
	}
	if len(s.runs) < s.step.Count {
		return 0
	}
	least := r.workedFor()
	for _, m := range s.runs {
		if m.state != runRunning {
			return 0
		}
		least = min(least, m.workedFor())
	}
	return least
}

// dropShields gives back what is kept free beside a run, or beside its whole gang.
func (s *stepState) dropShields(r *run) {
	if !s.step.Gang {
		r.dropShield()
		return
	}
	for _, m := range s.runs {
		m.dropShield()
	}
}
