package dispatch

import (
	"fmt"
	"slices"
	"time"

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
	// start. Tasks that crash workers did so within 10 ms on the users' sites. The longer, the more often a crash of another cause falls
	// into it.
	settledAfter = 300 * time.Millisecond
	// commonCause is within which time of each other crashes of workers are taken to have one cause, if they come long after the starts
	// of what runs there: a rack that loses power takes all its workers.
	commonCause = 10 * time.Second
	// soundAfter is the same for a run after which nothing is held against its task any more, so that workers that crash of
	// other causes, hours apart, don't end a long-running task.
	soundAfter = 30 * time.Second
)

// crashed reports whether a worker's life seems to have ended without a word and by no order of ours. One whose leases have lapsed
// and that the list still shows is taken to be cut off.
func (w *worker) crashed(now unit.Instant, e evidence) bool {
	return !w.Draining && !w.held && (e != leaseLapsed || !w.listed && now > w.lapse())
}

// mayHaveBegun reports whether an order to start the run may have reached its worker.
func (r *run) mayHaveBegun() bool {
	return r.state != runOrdered && (r.started != 0 || r.unanswered || r.inFlight || r.resumed)
}

// workedFor returns how long after the run's start its worker has answered; 0 if it hasn't.
func (r *run) workedFor() time.Duration {
	if r.started == 0 {
		return 0
	}
	return max(0, r.worker.answered.Sub(r.started))
}

// lifeEnd is a crash of a worker.
type lifeEnd struct {
	at unit.Instant
	// under holds what may have begun there.
	under []crashKey
}

// crashKey names what crashes are counted for: a task, or a gang by its first task.
type crashKey struct {
	step  *stepState
	index int
}

// noteLifeEnd remembers a crash of a worker, and drops those that are too old to tell of a common cause.
func (d *Dispatcher) noteLifeEnd(now unit.Instant, w *worker) {
	e := lifeEnd{at: now}
	for _, r := range w.runs {
		if r.step != nil && r.mayHaveBegun() {
			e.under = append(e.under, r.crashKey())
		}
	}
	d.lifeEnds = slices.DeleteFunc(d.lifeEnds, func(o lifeEnd) bool { return now.Sub(o.at) > commonCause })
	d.lifeEnds = append(d.lifeEnds, e)
}

// othersCrashed reports whether workers crashed lately on which what a run belongs to wasn't.
func (d *Dispatcher) othersCrashed(now unit.Instant, r *run) bool {
	for _, e := range d.lifeEnds {
		if now.Sub(e.at) <= commonCause && !slices.Contains(e.under, r.crashKey()) {
			return true
		}
	}
	return false
}

// countCrashes counts the end of a worker's life under all that may have begun there. It is called before the runs are given up,
// and returns the steps of which a count has risen.
func (d *Dispatcher) countCrashes(now unit.Instant, w *worker) []*stepState {
	d.noteLifeEnd(now, w)
	var out []*stepState
	for _, r := range w.runs {
		if d.countCrash(now, r) {
			out = append(out, r.step)
		}
	}
	return out
}

// countCrash counts the end of a worker's life under a run, once, and reports whether it did.
func (d *Dispatcher) countCrash(now unit.Instant, r *run) bool {
	s := r.step
	if s == nil || !r.mayHaveBegun() || s.job.progress.Outcome != job.Open || len(s.job.progress.Tasks) == 0 {
		return false
	}
	if s.job.progress.Tasks[s.base+r.task.Index].Phase == job.Done {
		return false
	}
	atOnce := r.workedFor() < settledAfter
	if !atOnce && d.othersCrashed(now, r) {
		return false
	}
	c := s.addCrashCount(r.task.Index)
	if c.Run >= r.number {
		return false // another member of the gang was there
	}
	c.Run, c.Worker = r.number, r.worker.ID
	c.All++
	c.AtOnce++
	if !atOnce {
		c.AtOnce = 0
	}
	s.noteFailure(now, r.task.Index, r.worker)
	d.mark(s.job)
	d.noteRun(EventCrashCounted, r, fmt.Sprintf("%d of %d at once, %d of %d in all", c.AtOnce, mostAtOnce, c.All, mostCrashes), r.workedFor())
	return true
}

// retractCrash takes back that a worker had crashed under a run: it tells of the run.
func (d *Dispatcher) retractCrash(w *worker, t job.Task, number job.Run) {
	js := d.jobs[t.Job]
	if js == nil {
		return
	}
	s := js.stepOf(t)
	if s == nil {
		return
	}
	c := s.crashCount(t.Index)
	if c == nil || c.Run != number || c.Worker != w.ID {
		return
	}
	c.All--
	c.AtOnce = max(0, c.AtOnce-1)
	if c.All <= 0 {
		s.dropCrashes(t.Index)
	}
	delete(s.failures, s.failureKey(t.Index))
	d.mark(js)
	d.note(Note{Event: EventCrashRetracted, Job: t.Job, Task: t, Worker: w.ID, Run: number, Why: "its worker tells of the run"})
}

// giveUpCrashing ends the job of a step if one of its tasks has crashed as many workers as it may. It can't be done, and each
// further start costs a worker for some seconds, with all that runs there.
func (d *Dispatcher) giveUpCrashing(now unit.Instant, s *stepState) {
	for i := range s.job.progress.Crashes {
		if c := &s.job.progress.Crashes[i]; spent(c) {
			d.finish(now, s.job, job.Failed, fmt.Sprintf("%d workers in a row crashed under one of its tasks", c.All))
			return
		}
	}
}

// spent reports whether a task with such a count is not to be started again.
func spent(c *job.CrashCount) bool { return c.AtOnce >= mostAtOnce || c.All >= mostCrashes }

// clearSuspicion takes in that a worker tells of a run: one that has gone on for a while doesn't need its worker for itself any more,
// and speaks for its task.
func (d *Dispatcher) clearSuspicion(r *run) {
	if r.step == nil || r.workedFor() < settledAfter {
		return
	}
	c := r.step.crashCount(r.task.Index)
	if c == nil {
		return
	}
	if c.AtOnce > 0 {
		c.AtOnce = 0
		d.mark(r.step.job)
	}
	if r.workedFor() >= soundAfter {
		r.step.dropCrashes(r.task.Index)
		d.mark(r.step.job)
	}
	if c.All < isolateFrom {
		r.dropShield()
	}
}

// crashKey returns what crashes under a run count for.
func (r *run) crashKey() crashKey { return crashKey{r.step, r.step.failureKey(r.task.Index)} }

// crashPosition returns the position under which crashes of a task are counted: a gang starts and crashes as a whole.
func (s *stepState) crashPosition(index int) int { return s.base + s.failureKey(index) }

// crashCount returns the count of a task, or nil if no worker has crashed under it. It may be changed until another one is added.
func (s *stepState) crashCount(index int) *job.CrashCount {
	all := s.job.progress.Crashes
	key := s.crashPosition(index)
	for i := range all {
		if all[i].Task == key {
			return &all[i]
		}
	}
	return nil
}

// addCrashCount is crashCount for a task that may have no count yet.
func (s *stepState) addCrashCount(index int) *job.CrashCount {
	if c := s.crashCount(index); c != nil {
		return c
	}
	p := &s.job.progress
	p.Crashes = append(p.Crashes, job.CrashCount{Task: s.crashPosition(index)})
	return &p.Crashes[len(p.Crashes)-1]
}

// dropCrashes forgets the count of a task. The caller marks the job.
func (s *stepState) dropCrashes(index int) {
	key := s.crashPosition(index)
	p := &s.job.progress
	p.Crashes = slices.DeleteFunc(p.Crashes, func(c job.CrashCount) bool { return c.Task == key })
}
