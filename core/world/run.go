package world

import (
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// failsAtOnce is after which time a run fails on a worker that fails all it starts.
const quickFailTime = 50 * time.Millisecond

// run is one run on a worker.
type run struct {
	machine *machine
	job     *submittedJob
	step    *job.Step
	task    job.Task
	number  job.Run
	need    job.Resources
	// gang is nil for a task that is no member of one.
	gang *gang
	// saved is the work that an earlier run had saved, whole the work of the task, both as time
	// on a worker of speed 1.
	savedWork, totalWork time.Duration
	// speed is how much of that is done in a second, from when the run began to work.
	speed float64
	// began is when it began to work; 0 while its gang isn't whole.
	workStart unit.Instant
	// due is when it ends if it never stands still.
	dueAt unit.Instant
	// stopping is set once it was ordered to stop, gone once it takes no room any more.
	stopping, ended bool
}

// begins takes a run into the worker.
func (m *machine) addRun(s *submittedJob, o dispatch.Start, need job.Resources) {
	w := m.world
	at, _ := s.Spec.Index(o.Task)
	r := &run{machine: m, job: s, step: &s.Spec.Steps[o.Task.Step], task: o.Task, number: o.Run, need: need, totalWork: s.Takes[at]}
	if r.step.Checkpointing && o.Checkpoint != "" {
		if d, err := time.ParseDuration(o.Checkpoint); err == nil {
			r.savedWork = d
		}
	}
	m.runs = append(m.runs, r)
	m.used = m.used.Add(need)
	l := s.historyOf(o.Task)
	l.liveRuns++
	l.lastStart = w.now
	s.noteStart(w.now)
	w.tally.Starts++
	if s.CrashAfter > 0 && at == 0 {
		w.Plan(s.CrashAfter, r.crash)
	}
	if r.step.Gang {
		w.joinGang(r)
		return
	}
	r.startWork(w.now)
}

// work lets the run begin to work.
func (r *run) startWork(now unit.Instant) {
	r.workStart, r.speed = now, r.machine.Speed
	if now < r.machine.slowUntil {
		r.speed /= r.machine.slowBy
	}
	if far := r.machine.world.setup.Far; far > 0 && r.crossesRacks() {
		r.speed /= far
	}
	if r.step.LongRunning {
		return
	}
	if r.gang == nil {
		r.scheduleEnd(r.remaining())
	}
}

// far reports whether the run is where it is slow.
func (r *run) crossesRacks() bool {
	if r.step.DataRack != "" && !r.machine.hasLabel(r.step.DataRack) {
		return true
	}
	return r.step.SameRack && r.gang != nil && r.gang.spansRacks()
}

// left returns how long the rest of the task takes from its beginning on.
func (r *run) remaining() time.Duration {
	return r.restoreTime() + scale(r.totalWork-r.savedWork, 1/r.speed)
}

// restore returns how long the run takes to go on from its checkpoint.
func (r *run) restoreTime() time.Duration {
	if r.savedWork == 0 {
		return 0
	}
	return r.machine.world.setup.Times.Restore
}

// plan lets the run end after a time, or fail before.
func (r *run) scheduleEnd(after time.Duration) {
	w := r.machine.world
	how := fleet.EndDone
	if w.draw("fail", r.task, r.number) < r.job.FailShare {
		how, after = fleet.EndFailed, scale(after, w.draw("when", r.task, r.number))
	}
	if w.now < r.machine.failsUntil {
		how, after = fleet.EndFailed, min(after, quickFailTime)
	}
	r.dueAt = w.now.Add(after)
	w.Plan(after, func() { r.endWhenDue(how) })
}

// end ends the run as planned, or puts that off by the time in which it stood still. A gang ends when all of it is done.
func (r *run) endWhenDue(how fleet.How) {
	if r.ended {
		return
	}
	all := []*run{r}
	if how == fleet.EndDone && r.gang != nil {
		all = r.gang.members
	}
	now, owed := r.machine.world.now, time.Duration(0)
	for _, m := range all {
		owed = max(owed, m.dueAt.Add(m.machine.stalledTime(m.workStart, now)).Sub(now))
	}
	switch {
	case owed > 0:
		r.machine.world.Plan(owed, func() { r.endWhenDue(how) })
	case how == fleet.EndDone && r.gang != nil:
		r.gang.finishAll()
	default:
		r.finish(how)
	}
}

// worked returns the work that the run has done, what an earlier one had saved included.
func (r *run) workDone() time.Duration {
	if r.workStart == 0 {
		return r.savedWork
	}
	still := r.machine.stalledTime(r.workStart, r.machine.world.now)
	worked := max(0, r.machine.world.now.Sub(r.workStart)-still-r.restoreTime())
	return min(r.totalWork, r.savedWork+scale(worked, r.speed))
}

// checkpoint returns the newest checkpoint; empty if there is none.
func (r *run) checkpoint() string {
	every := r.machine.world.setup.SaveEvery
	if !r.step.Checkpointing || every == 0 {
		return ""
	}
	return r.workDone().Truncate(every).String()
}

// percent returns how much of the task is done.
func (r *run) percent() int {
	if r.totalWork == 0 {
		return 0
	}
	return int(100 * r.workDone() / r.totalWork)
}

// finish ends the run and lists its end.
func (r *run) finish(how fleet.How) {
	m, w := r.machine, r.machine.world
	r.release(how == fleet.EndDone)
	l := r.job.historyOf(r.task)
	switch {
	case how == fleet.EndFailed:
		l.failures++
	case how == fleet.EndDone && !l.done:
		l.done = true
		r.job.doneTasks++
	}
	w.tally.count(how)
	e := fleet.End{Task: r.task, Run: r.number, How: how}
	if how != fleet.EndDone {
		e.Checkpoint = r.checkpoint()
	}
	m.seq++
	e.Seq = m.seq
	m.ends = append(m.ends, listedEnd{End: e, job: r.job, at: w.now})
	if m.answerHeld != nil {
		m.answerHeld()
	}
	if r.gang != nil && how != fleet.EndDone {
		r.gang.breakUp()
	}
}

// stop ends the run when the time that a stop takes is over. It works on until then.
func (r *run) stop() {
	w := r.machine.world
	switch {
	case r.stopping:
	case w.setup.Times.Stop == 0:
		r.finish(fleet.EndStopped)
	default:
		r.stopping = true
		w.Plan(w.setup.Times.Stop, func() {
			if !r.ended {
				r.finish(fleet.EndStopped)
			}
		})
	}
}

// vanish ends the run without a word.
func (r *run) vanish() {
	r.release(false)
	r.machine.world.tally.Vanished++
	if r.gang != nil {
		r.gang.breakUp()
	}
}

// crash ends the life of the run's worker, if the run is still there.
func (r *run) crash() {
	if r.ended {
		return
	}
	r.job.historyOf(r.task).crashes++
	r.machine.world.tally.Crashes++
	next := newID
	if r.job.Reborn {
		next = sameID
	}
	r.machine.endIncarnation(r.machine.world.setup.Times.Restart, next)
}

// leave frees the run's room and counts the work that is lost.
func (r *run) release(done bool) {
	m, w := r.machine, r.machine.world
	for i, o := range m.runs {
		if o == r {
			m.runs = append(m.runs[:i:i], m.runs[i+1:]...)
			break
		}
	}
	r.ended = true
	m.used = m.used.Sub(r.need)
	r.job.historyOf(r.task).liveRuns--
	cores := coreWeight(r.need)
	if done {
		w.tally.Useful += cores * scale(r.totalWork-r.savedWork, 1/r.speed).Seconds()
		return
	}
	kept := time.Duration(0)
	if every := w.setup.SaveEvery; r.step.Checkpointing && every > 0 {
		kept = r.workDone().Truncate(every)
	}
	if r.workStart != 0 {
		w.tally.Wasted += cores * scale(r.workDone()-max(kept, r.savedWork), 1/r.speed).Seconds()
	}
}

// acceleratorCores is how many cores an accelerator counts for, by the platform's prices.
const coresPerAccelerator = 8

// coresOf returns the weight of resources in cores.
func coreWeight(r job.Resources) float64 {
	return float64(r.CPU)/1000 + coresPerAccelerator*float64(r.Accelerators)
}
