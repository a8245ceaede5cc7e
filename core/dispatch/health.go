package dispatch

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// suspendAfterFailures is how many runs of different jobs must fail in a
	// row before a worker is suspended, and suspensionTime how long it then
	// gets no tasks. Healthy workers fail a run now and then, too.
	suspendAfterFailures = 3
	suspensionTime       = 5 * time.Second
	// immediateFailureTime is the time after a run's start within which a
	// failure is blamed on its worker: a faulty worker fails everything at its
	// start, while on a healthy one a run works for a while before it fails.
	// One such failure is enough to suspend the worker, since each further
	// failure costs a whole gang.
	immediateFailureTime = 200 * time.Millisecond
	// maxBlamedWorkers limits how many workers are suspended for immediate
	// failures of one job; beyond it, the job is assumed to be at fault. With
	// fewer than 50 workers the limit is one plus maxBlamedShare of them,
	// because the platform lets up to a seventh of the workers fail everything
	// they start.
	maxBlamedWorkers = 8
	maxBlamedShare   = 1.0 / 7
	// probationTime is how long the first run after a suspension must work
	// before the worker is considered healthy.
	probationTime = 2 * time.Second
	// maxSuspendedShare is the share of a service's workers that may be
	// suspended at the same time, at least one. Otherwise a job that fails
	// everywhere would leave no workers for the others. It is above the share
	// that can be bad: the platform lets a seventh of the workers fail
	// everything they start.
	maxSuspendedShare = 1.0 / 3
	// failurePenalty is added to the score of a placement (see the function
	// leftover; the lowest score wins) for each failure in a row on its worker.
	// It outweighs all other parts of the score, so that other workers are
	// preferred.
	failurePenalty = 10
	// avoidAfterFailure is how long a task isn't placed again where it has just
	// failed, if there are other workers. It is less than the 3 s after which a
	// waiting job counts as lost while there is room.
	avoidAfterFailure = 2 * time.Second
)

// failure records where and when a run of a task failed.
type failure struct {
	worker *worker
	at     unit.Instant
}

// noteFailure records that a run of a task of the step has failed on a worker.
func (s *stepState) noteFailure(now unit.Instant, index int, w *worker) {
	if s.lastFailures == nil {
		s.lastFailures = map[int]failure{}
	}
	s.lastFailures[s.failureKey(index)] = failure{worker: w, at: now}
}

// failureKey returns the key of a task in lastFailures: the members of a gang
// share one, since a gang fails as a whole.
func (s *stepState) failureKey(index int) int {
	if s.step.Gang {
		return 0
	}
	return index
}

// withoutRecentFailures filters out the workers on which one of the waiting
// tasks has just failed, unless no others are left. Without this filter, tasks
// would return to a worker that fails everything it starts, since such a worker
// has the most room.
func (c *candidate) withoutRecentFailures(now unit.Instant, workers []*worker) []*worker {
	if len(c.step.lastFailures) == 0 {
		return workers
	}
	failed := map[*worker]bool{}
	for _, i := range c.waiting {
		if f, ok := c.step.lastFailures[c.step.failureKey(i)]; ok && now.Sub(f.at) < avoidAfterFailure {
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

// countFailures counts the consecutive failed runs of different jobs on a
// worker, and suspends the worker when there are too many, or when a run fails
// immediately after its start.
func (d *Dispatcher) countFailures(now unit.Instant, r *run, e fleet.End) {
	w := r.worker
	switch e.Reason {
	case fleet.EndDone:
		w.failureStreak, w.lastFailedJob = 0, ""
	case fleet.EndFailed:
		d.countFailure(w, e.Task.Job)
		if d.policy.SuspendAtOnce && r.failedImmediately(now) && r.step.job.blameWorker(w.ID, d.maxBlamed(w.Service)) {
			w.failureStreak = suspendAfterFailures
		}
		d.suspendFailing(now, w, "a task failed immediately, or tasks of several jobs failed in a row")
	case fleet.EndStopped, fleet.EndLeaseExpired, fleet.EndGangBroken, fleet.EndGangTimeout:
	}
}

// countUnansweredStart counts a run as failed because its worker answered none
// of its start orders.
func (d *Dispatcher) countUnansweredStart(now unit.Instant, r *run) {
	if r.step != nil {
		r.step.noteFailure(now, r.task.Index, r.worker)
	}
	if r.startOpenUntil != 0 && r.startSentAt.Sub(r.worker.startUnansweredAt) < startTimeout {
		return // the order was lost together with one that counts already
	}
	r.worker.startUnansweredAt = r.startSentAt
	d.countFailure(r.worker, r.task.Job)
	d.suspendFailing(now, r.worker, "it leaves orders to start unanswered")
}

// countFailure counts a failed run on a worker. Consecutive failures of the
// same job count once.
func (d *Dispatcher) countFailure(w *worker, j id.Job) {
	if d.policy.SuspendFailing && w.lastFailedJob != j {
		w.failureStreak++
		w.lastFailedJob = j
	}
}

// suspendFailing suspends a worker for a while if too many runs failed there in
// a row.
func (d *Dispatcher) suspendFailing(now unit.Instant, w *worker, why string) {
	if w.failureStreak < suspendAfterFailures {
		return
	}
	if !d.maySuspend(w) {
		w.failureStreak = suspendAfterFailures - 1
		return
	}
	w.suspend(now, suspensionTime)
	d.note(Note{Event: EventWorkerSuspended, Worker: w.ID, Why: why, Age: suspensionTime})
}

// suspend keeps new tasks away from a worker for a while.
func (w *worker) suspend(now unit.Instant, length time.Duration) {
	w.suspendedAt, w.suspendedUntil = now, now.Add(length)
}

// maySuspend reports whether a worker may be suspended without exceeding the
// share of its service's workers that may be suspended at the same time.
func (d *Dispatcher) maySuspend(w *worker) bool {
	listed, suspended := 0, 0
	for _, o := range d.workersByID {
		if o.Service != w.Service || !o.listed {
			continue
		}
		listed++
		if o != w && o.onProbation() {
			suspended++
		}
	}
	return suspended < max(1, int(maxSuspendedShare*float64(listed)))
}

// failedImmediately reports whether a run that has just failed did so
// immediately after its start.
func (r *run) failedImmediately(now unit.Instant) bool {
	if r.fromEarlierOwner {
		return false
	}
	began := r.startedAt
	if began == 0 {
		began = r.knownSince
	}
	return now.Sub(began) <= immediateFailureTime
}

// maxBlamed returns how many workers of a service may be suspended because of
// one job.
func (d *Dispatcher) maxBlamed(name id.Service) int {
	return min(maxBlamedWorkers, 1+int(maxBlamedShare*float64(d.countListed(name))))
}

// countListed returns how many workers of a service are on the platform's list.
func (d *Dispatcher) countListed(name id.Service) int {
	n := 0
	for _, w := range d.workersByID {
		if w.Service == name && w.listed {
			n++
		}
	}
	return n
}

// blameWorker records that a run of the job failed immediately on a worker. It
// reports whether the worker is assumed to be at fault. If the job failed this
// way on more than maxWorkers workers, the job itself is assumed to be at
// fault.
func (js *jobState) blameWorker(w id.Worker, maxWorkers int) bool {
	if !slices.Contains(js.failedImmediatelyOn, w) {
		js.failedImmediatelyOn = append(js.failedImmediatelyOn, w)
	}
	return len(js.failedImmediatelyOn) <= maxWorkers
}

// onProbation reports whether a worker was suspended and no run has succeeded
// there since. A worker on probation gets one run at a time.
func (w *worker) onProbation() bool { return w.failureStreak >= suspendAfterFailures }

// endProbation ends a worker's probation if a run there has worked for
// probationTime and made progress. A success ends the probation too, but a
// long-running task never ends with one.
func (w *worker) endProbation(now unit.Instant) {
	if !w.onProbation() {
		return
	}
	for _, r := range w.runs {
		if r.state == runRunning && now.Sub(r.startedAt) >= probationTime && r.percent > 0 {
			w.failureStreak, w.lastFailedJob = 0, ""
		}
	}
}

// failureStreakPenalty returns the penalty, in addition to the leftover, for a
// placement on a worker whose latest runs failed.
func (w *worker) failureStreakPenalty() float64 {
	return failurePenalty * float64(min(w.failureStreak, suspendAfterFailures))
}
