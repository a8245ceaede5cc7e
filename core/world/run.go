package world

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// quickFailTime is the longest run time on a worker on which all runs fail.
const quickFailTime = 50 * time.Millisecond

// run is one run on a worker.
type run struct {
	machine *machine
	job     *submittedJob
	step    *job.Step
	task    job.TaskID
	number  job.RunNumber
	need    job.Resources
	// gang is nil for a task outside gangs.
	gang *gang
	// savedWork is the work in the checkpoint from which the run resumes.
	// totalWork is the work of the whole task. Both are measured as run times
	// on a worker of speed 1.
	savedWork, totalWork time.Duration
	// speed is the work done per second from when the run began to work.
	speed float64
	// workStart is when the run began to work; 0 while its gang is incomplete.
	workStart unit.Instant
	// endReason is how the run ends, and endAfter when it does: how long after
	// workStart at the worker's usual speed. endAfter is 0 while no end is
	// scheduled. The end of a member of a gang that ends with success is that of
	// its own work.
	endReason fleet.EndReason
	endAfter  time.Duration
	// stopping is set once the run was ordered to stop. ended is set once it
	// has released its resources.
	stopping, ended bool
}

// addRun starts a run on the worker.
func (m *machine) addRun(s *submittedJob, o dispatch.Start, need job.Resources) {
	w := m.world
	at, _ := s.Spec.Index(o.Task)
	r := &run{machine: m, job: s, step: &s.Spec.Steps[o.Task.Step], task: o.Task, number: o.Run, need: need, totalWork: s.runTime(at)}
	if r.step.Checkpointing && o.Checkpoint != "" {
		if d, err := time.ParseDuration(o.Checkpoint); err == nil {
			r.savedWork = d
		}
	}
	m.runs = append(m.runs, r)
	m.used = m.used.Add(need)
	h := s.historyOf(o.Task)
	h.liveRuns++
	h.lastStart = w.now
	s.noteStart(w.now)
	w.tally.Starts++
	if s.CrashAfter > 0 && at == 0 {
		w.Schedule(s.CrashAfter, r.crash)
	}
	if r.step.Gang {
		w.joinGang(r)
		return
	}
	s.noteBegun(w.now)
	r.startWork(w.now)
}

// runTime returns the run time of the task at a position in RunTimes, on a
// worker of speed 1.
func (s *submittedJob) runTime(at int) time.Duration {
	if slices.Contains(s.Tails, at) {
		return scale(s.RunTimes[at], s.TailFactor)
	}
	return s.RunTimes[at]
}

// startWork starts the work of the run, and schedules its end unless the task
// is long-running or a member of a gang.
func (r *run) startWork(now unit.Instant) {
	r.workStart, r.speed = now, r.machine.Speed
	if now < r.machine.slowUntil {
		r.speed /= r.machine.slowBy
	}
	if slowdown := r.machine.world.setup.CrossRackSlowdown; slowdown > 0 && r.crossesRacks() {
		r.speed /= slowdown
	}
	if r.step.LongRunning {
		return
	}
	if r.gang == nil {
		r.scheduleEnd(r.remaining())
		r.rescheduleEnd()
	}
}

// crossesRacks reports whether the run is slower because it is outside the rack
// of its data, or its gang asks for one rack and spans several.
func (r *run) crossesRacks() bool {
	if r.step.DataRack != "" && !r.machine.hasLabel(r.step.DataRack) {
		return true
	}
	return r.step.SameRack && r.gang != nil && r.gang.spansRacks()
}

// remaining returns the run time from startWork to the end of the task, at the
// worker's usual speed.
func (r *run) remaining() time.Duration {
	return r.restoreTime() + scale(r.totalWork-r.savedWork, 1/r.speed)
}

// restoreTime returns how long the run takes to resume from its checkpoint.
func (r *run) restoreTime() time.Duration {
	if r.savedWork == 0 {
		return 0
	}
	return r.machine.world.setup.Times.RestoreTime
}

// scheduleEnd schedules the end of the run, which has just begun to work:
// success after the given time, or a failure at an earlier time.
func (r *run) scheduleEnd(after time.Duration) {
	w := r.machine.world
	r.endReason, r.endAfter = fleet.EndDone, r.remaining()
	if w.draw("fail", r.task, r.number) < r.job.FailProbability {
		after = scale(after, w.draw("when", r.task, r.number))
		r.endReason, r.endAfter = fleet.EndFailed, after
	}
	if w.now < r.machine.failsUntil {
		after = min(after, quickFailTime)
		r.endReason, r.endAfter = fleet.EndFailed, after
	}
	w.Schedule(after, r.endWhenDue)
}

// rescheduleEnd schedules the end of the run, or of its gang, again if the
// worker is faster than usual, because the end may then be due earlier. A run
// on a slower worker is deferred when its end was due.
func (r *run) rescheduleEnd() {
	if r.endAfter == 0 || r.ended || !r.machine.fasterThanUsual() {
		return
	}
	if delay := r.untilEnd(); delay > 0 {
		r.machine.world.Schedule(delay, r.endWhenDue)
	}
}

// untilEnd returns how long from now the end of the run is due. A member of a
// gang ends with success when the work of all members is done.
func (r *run) untilEnd() time.Duration {
	members := []*run{r}
	if r.endReason == fleet.EndDone && r.gang != nil {
		members = r.gang.members
	}
	now, delay := r.machine.world.now, time.Duration(0)
	for _, m := range members {
		if left := m.endAfter - m.machine.workTime(m.workStart, now); left > 0 {
			delay = max(delay, m.machine.timeFor(left))
		}
	}
	return delay
}

// endWhenDue ends the run, or its gang, if its end is due, and schedules the
// end again otherwise.
func (r *run) endWhenDue() {
	if r.ended {
		return
	}
	switch delay := r.untilEnd(); {
	case delay > 0:
		r.machine.world.Schedule(delay, r.endWhenDue)
	case r.endReason == fleet.EndDone && r.gang != nil:
		r.gang.finishAll()
	default:
		r.finish(r.endReason)
	}
}

// workDone returns the work that the run has done, including what it resumed
// from.
func (r *run) workDone() time.Duration {
	if r.workStart == 0 {
		return r.savedWork
	}
	worked := max(0, r.machine.workTime(r.workStart, r.machine.world.now)-r.restoreTime())
	return min(r.totalWork, r.savedWork+scale(worked, r.speed))
}

// checkpoint returns the newest checkpoint, or "" if there is none.
func (r *run) checkpoint() string {
	every := r.machine.world.setup.CheckpointInterval
	if !r.step.Checkpointing || every == 0 {
		return ""
	}
	return r.workDone().Truncate(every).String()
}

// percent returns the progress of the task.
func (r *run) percent() int {
	if r.totalWork == 0 {
		return 0
	}
	return int(100 * r.workDone() / r.totalWork)
}

// finish ends the run and adds its end to the ends that the worker reports.
func (r *run) finish(reason fleet.EndReason) {
	m, w := r.machine, r.machine.world
	r.release(reason == fleet.EndDone)
	h := r.job.historyOf(r.task)
	switch {
	case reason == fleet.EndFailed:
		h.failures++
	case reason == fleet.EndDone && !h.done:
		h.done = true
		r.job.doneTasks++
	}
	w.tally.count(reason)
	e := fleet.End{Task: r.task, Run: r.number, Reason: reason}
	if reason != fleet.EndDone {
		e.Checkpoint = r.checkpoint()
	}
	m.lastSeq++
	e.Seq = m.lastSeq
	m.ends = append(m.ends, listedEnd{End: e, job: r.job, endedAt: w.now})
	if m.answerHeld != nil {
		m.answerHeld()
	}
	if r.gang != nil && reason != fleet.EndDone {
		r.gang.breakUp()
	}
}

// stop ends the run after the time that a stop takes. Until then, the run
// continues to work.
func (r *run) stop() {
	w := r.machine.world
	switch {
	case r.stopping:
	case w.setup.Times.StopTime == 0:
		r.finish(fleet.EndStopped)
	default:
		r.stopping = true
		w.Schedule(w.setup.Times.StopTime, func() {
			if !r.ended {
				r.finish(fleet.EndStopped)
			}
		})
	}
}

// vanish ends the run without reporting its end, as when the worker crashes.
func (r *run) vanish() {
	r.release(false)
	r.machine.world.tally.Vanished++
	if r.gang != nil {
		r.gang.breakUp()
	}
}

// crash ends the incarnation of the run's worker unless the run has ended.
func (r *run) crash() {
	if r.ended {
		return
	}
	r.job.historyOf(r.task).crashes++
	r.machine.world.tally.Crashes++
	next := newID
	if r.job.SameName {
		next = sameID
	}
	r.machine.endIncarnation(r.machine.world.setup.Times.RestartDelay, next)
}

// release releases the run's resources and adds its work to the useful or the
// wasted work in the Tally.
func (r *run) release(done bool) {
	m, w := r.machine, r.machine.world
	for i, other := range m.runs {
		if other == r {
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
	keptWork := time.Duration(0)
	if every := w.setup.CheckpointInterval; r.step.Checkpointing && every > 0 {
		keptWork = r.workDone().Truncate(every)
	}
	if r.workStart != 0 {
		wasted := cores * scale(r.workDone()-max(keptWork, r.savedWork), 1/r.speed).Seconds()
		w.tally.Wasted += wasted
		r.job.wasted += wasted
	}
}

// coresPerAccelerator is the number of cores that an accelerator counts for, by
// the platform's prices.
const coresPerAccelerator = 8

// coreWeight returns the weight of resources in cores.
func coreWeight(r job.Resources) float64 {
	return float64(r.CPU)/1000 + coresPerAccelerator*float64(r.Accelerators)
}
