package dispatch

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// failStreak is how many runs of different jobs fail in a row before a worker
	// is suspected, and failPause how long it then gets no tasks. Sound workers fail a
	// run now and then, too.
	failStreak = 3
	failPause  = 5 * time.Second
	// atOnce is within which time after its start a run fails on a worker that fails all that
	// it starts; on a sound one it works for a while before. One such failure is enough to suspend
	// the worker: each further one costs a gang.
	atOnce = 200 * time.Millisecond
	// blameMost is how many workers are suspended for failures at once of one job: beyond, the
	// job is taken to be at fault. Of fewer than 50 workers it is badShare of them and one: the platform
	// lets so many fail all they start.
	blameMost = 8
	badShare  = 1.0 / 7
	// trialTime is how long the first run after a suspension must go on before the worker
	// is taken for sound.
	trialTime = 2 * time.Second
	// mostSuspended is the part of a service's workers that may be suspended at a time, one at least: a
	// job that fails everywhere would leave none, and hold all others up. The platform lets a seventh of the workers fail all they start.
	mostSuspended = 1.0 / 3
	// suspicionWeight is added for each failure in a row on a worker; it outweighs all
	// else by which workers are compared, so that others are taken first.
	suspicionWeight = 10
	// avoidAfterFailure is how long a task isn't placed again where it has just
	// failed, if there are other workers. It is less than the 3 s after which a
	// waiting job counts as lost while there is room.
	avoidAfterFailure = 2 * time.Second
)

// failure is where and when a run of a task has failed.
type failure struct {
	worker *worker
	at     unit.Instant
}

// noteFailure remembers that a run of a task of the step has failed on a worker.
func (s *stepState) noteFailure(now unit.Instant, index int, w *worker) {
	if s.failures == nil {
		s.failures = map[int]failure{}
	}
	s.failures[s.failureKey(index)] = failure{worker: w, at: now}
}

// failureKey returns where failures of a task are kept: a gang fails as a whole.
func (s *stepState) failureKey(index int) int {
	if s.step.Gang {
		return 0
	}
	return index
}

// elsewhere leaves out the workers on which one of the waiting tasks has just failed, if
// there are others: a worker that fails all it starts has the most room.
func (c *candidate) elsewhere(now unit.Instant, workers []*worker) []*worker {
	if len(c.step.failures) == 0 {
		return workers
	}
	failed := map[*worker]bool{}
	for _, i := range c.waiting {
		if f, ok := c.step.failures[c.step.failureKey(i)]; ok && now.Sub(f.at) < avoidAfterFailure {
			failed[f.worker] = true
		}
	}
	if len(failed) == 0 {
		return workers
	}
	out := workers[:0:0]
	for _, w := range workers {
		if !failed[w] {
			out = append(out, w)
		}
	}
	if len(out) == 0 {
		return workers
	}
	return out
}

// countFailures counts the failed runs of different jobs in a row on a worker, and suspends
// it when there are too many, or when one fails at once.
func (d *Dispatcher) countFailures(now unit.Instant, r *run, e fleet.End) {
	w := r.worker
	switch e.How {
	case fleet.EndDone:
		w.streak, w.lastFailed = 0, ""
	case fleet.EndFailed:
		d.countFailure(w, e.Task.Job)
		if d.policy.SuspendAtOnce && r.failedAtOnce(now) && r.step.job.blames(w.ID, d.mostBlamed(w.Service)) {
			w.streak = failStreak
		}
		d.suspendFailing(now, w, "a task failed at once, or tasks of several jobs in a row")
	case fleet.EndStopped, fleet.EndLapsed, fleet.EndBroken, fleet.EndAlone:
	}
}

// countIgnored counts a run whose orders to start its worker ignored like one that failed there.
func (d *Dispatcher) countIgnored(now unit.Instant, r *run) {
	if r.step != nil {
		r.step.noteFailure(now, r.task.Index, r.worker)
	}
	d.countFailure(r.worker, r.task.Job)
	d.suspendFailing(now, r.worker, "it leaves orders to start unanswered")
}

// countFailure counts a run that failed on a worker, once for each job in a row.
func (d *Dispatcher) countFailure(w *worker, j id.Job) {
	if d.policy.SuspendFailing && w.lastFailed != j {
		w.streak++
		w.lastFailed = j
	}
}

// suspendFailing keeps new tasks away from a worker for a while if too many runs failed there in a row.
func (d *Dispatcher) suspendFailing(now unit.Instant, w *worker, why string) {
	if w.streak < failStreak {
		return
	}
	if !d.maySuspend(w) {
		w.streak = failStreak - 1
		return
	}
	w.pause(now, failPause)
	d.note(Note{Event: EventWorkerSuspended, Worker: w.ID, Why: why, Age: failPause})
}

// pause keeps new tasks away from a worker for a while. One look tells at once what it holds.
func (w *worker) pause(now unit.Instant, length time.Duration) {
	w.pausedAt, w.pausedUntil = now, now.Add(length)
}

// maySuspend reports whether enough other workers of the same service aren't suspended.
func (d *Dispatcher) maySuspend(w *worker) bool {
	listed, suspended := 0, 0
	for _, o := range d.order {
		if o.Service != w.Service || !o.listed {
			continue
		}
		listed++
		if o != w && o.onTrial() {
			suspended++
		}
	}
	return suspended < max(1, int(mostSuspended*float64(listed)))
}

// failedAtOnce reports whether a run that has just failed had hardly begun.
func (r *run) failedAtOnce(now unit.Instant) bool {
	if r.resumed {
		return false
	}
	began := r.started
	if began == 0 {
		began = r.since
	}
	return now.Sub(began) <= atOnce
}

// mostBlamed returns how many workers of a service may be suspended for one job.
func (d *Dispatcher) mostBlamed(name id.Service) int {
	return min(blameMost, 1+int(badShare*float64(d.listed(name))))
}

// listed returns how many workers of a service the list has.
func (d *Dispatcher) listed(name id.Service) int {
	n := 0
	for _, w := range d.order {
		if w.Service == name && w.listed {
			n++
		}
	}
	return n
}

// blames notes that a run of the job failed at once on a worker, and reports whether the worker
// is at fault, as far as the job's failures elsewhere tell: on more than most workers it is the job.
func (js *jobState) blames(w id.Worker, most int) bool {
	if !slices.Contains(js.blamed, w) {
		js.blamed = append(js.blamed, w)
	}
	return len(js.blamed) <= most
}

// onTrial reports whether a worker was suspended and has done nothing with success since.
// It gets one run at a time until then.
func (w *worker) onTrial() bool { return w.streak >= failStreak }

// endTrial ends a worker's trial if the run that it was given goes on for a while and has made progress: a
// long-running task never ends with success.
func (w *worker) endTrial(now unit.Instant) {
	if !w.onTrial() {
		return
	}
	for _, r := range w.runs {
		if r.state == runRunning && now.Sub(r.started) >= trialTime && r.percent > 0 {
			w.streak, w.lastFailed = 0, ""
		}
	}
}

// suspicion is added to the leftover of a placement on a worker whose last runs failed.
func (w *worker) suspicion() float64 { return suspicionWeight * float64(min(w.streak, failStreak)) }
