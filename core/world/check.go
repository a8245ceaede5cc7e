package world

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// maxViolations bounds how many violations are kept. The first ones are the
// most informative.
const maxViolations = 100

// A task may be given up once it has crashed minCrashes workers. After
// maxCrashes it may be started at most startsAfterCrashes more times. The
// platform's specification sets these numbers.
const (
	minCrashes         = 2
	maxCrashes         = 3
	startsAfterCrashes = 2
)

// taskHistory is the history of one task.
type taskHistory struct {
	// liveRuns counts the runs on workers that are up.
	liveRuns int
	// done is set once a run has ended with success. acknowledged is set once
	// the owner has acknowledged that end to the worker.
	done, acknowledged bool
	// failures counts all failures of the task. ackedFailures counts those that
	// the owner has acknowledged.
	ackedFailures, failures int
	lastStart               unit.Instant
	// crashes counts the incarnations of workers that the task has crashed.
	// startsAfter counts the starts of the task since crashes reached
	// maxCrashes.
	crashes, startsAfter int
}

// recordViolation records an invariant that did not hold.
func (w *World) recordViolation(description string) {
	w.tally.Violations++
	if len(w.violations) < maxViolations {
		w.violations = append(w.violations, fmt.Sprintf("%s: %s", w.now.Sub(Begin).Round(time.Millisecond), description))
	}
}

// Violations returns the first invariants that did not hold, each with the
// virtual time since the beginning of the simulation.
func (w *World) Violations() []string { return w.violations }

// historyOf returns the history of a task.
func (s *submittedJob) historyOf(t job.TaskID) *taskHistory {
	h := s.histories[t]
	if h == nil {
		h = &taskHistory{}
		s.histories[t] = h
	}
	return h
}

// checkStart checks the invariants of a run that a worker starts.
func (w *World) checkStart(s *submittedJob, o dispatch.Start) {
	h := s.historyOf(o.Task)
	step := &s.Spec.Steps[o.Task.Step]
	switch {
	case s.state == Refused:
		w.recordViolation(fmt.Sprintf("%s was started though it was refused", o.Task))
	case h.liveRuns > 0:
		w.recordViolation(fmt.Sprintf("%s runs twice", o.Task))
	case h.acknowledged && !step.LongRunning:
		w.recordViolation(fmt.Sprintf("%s was started again after its end was noted", o.Task))
	case h.ackedFailures >= s.Spec.MaxAttempts && !step.LongRunning:
		w.recordViolation(fmt.Sprintf("%s was started after %d failures", o.Task, h.ackedFailures))
	case h.crashes >= maxCrashes && h.startsAfter >= startsAfterCrashes:
		w.recordViolation(fmt.Sprintf("%s was started %d times more after it had crashed %d workers", o.Task, h.startsAfter+1, maxCrashes))
	case !s.dependenciesDone(o.Task):
		w.recordViolation(fmt.Sprintf("%s was started before a step that it depends on was done", o.Task))
	}
	if h.crashes >= maxCrashes {
		h.startsAfter++
	}
}

// startedWithin is how long after the acknowledgement of a job's cancelling a start of
// its tasks may still be ordered. The platform's specification sets it.
const startedWithin = 3 * time.Second

// checkCancelled checks that a job whose start is ordered wasn't cancelled before.
func (w *World) checkCancelled(o dispatch.Start) {
	s := w.jobs[o.Task.Job]
	if s != nil && before(s.cancelledAt, w.now.Add(-startedWithin)) {
		w.recordViolation(fmt.Sprintf("%s is started %s after its cancelling was acknowledged", o.Task, w.now.Sub(s.cancelledAt)))
	}
}

// dependenciesDone reports whether all steps that a task depends on are done.
func (s *submittedJob) dependenciesDone(t job.TaskID) bool {
	for _, dep := range s.Spec.Steps[t.Step].DependsOn {
		if !s.stepDone(t.Round, dep) {
			return false
		}
	}
	return true
}

// stepDone reports whether all tasks of a step have ended with success.
func (s *submittedJob) stepDone(round, step int) bool {
	for i := range s.Spec.Steps[step].Count {
		h := s.histories[job.TaskID{Job: s.Name, Round: round, Step: step, Index: i}]
		if h == nil || !h.done {
			return false
		}
	}
	return true
}

// checkAcknowledged checks the invariants of an end that the owner has
// acknowledged.
func (w *World) checkAcknowledged(e listedEnd) {
	if e.leaseLapsed && (e.Reason != fleet.EndDone || !w.setup.StrictSuccesses) {
		return
	}
	h := e.job.historyOf(e.Task)
	switch e.Reason {
	case fleet.EndFailed:
		h.ackedFailures++
	case fleet.EndDone:
		h.acknowledged = true
		if h.lastStart > e.endedAt && !e.job.Spec.Steps[e.Task.Step].LongRunning {
			w.recordViolation(fmt.Sprintf("%s was started again after an end that was noted later", e.Task))
		}
	case fleet.EndStopped, fleet.EndLeaseExpired, fleet.EndGangBroken, fleet.EndGangTimeout:
	}
}

// checkFinish checks the recorded outcome of a job. A failed job must have a
// task or gang that has used up its attempts, or a task that crashes workers.
// In a completed job, all steps must be done.
func (w *World) checkFinish(s *submittedJob, outcome State) {
	if outcome == Failed && !s.outOfAttempts() && !s.crashesWorkers() {
		w.recordViolation(fmt.Sprintf("%s is shown as failed, but has attempts left", s.Name))
	}
	if outcome != Completed {
		return
	}
	for round := range s.Spec.RoundCount() {
		for step := range s.Spec.Steps {
			if !s.stepDone(round, step) {
				w.recordViolation(fmt.Sprintf("%s is shown as completed, but step %d is not", s.Name, step))
			}
		}
	}
}

// outOfAttempts reports whether some task, or some gang, has used up its
// attempts.
func (s *submittedJob) outOfAttempts() bool {
	for round := range s.Spec.RoundCount() {
		for step := range s.Spec.Steps {
			if s.mostFailures(round, step) >= s.Spec.MaxAttempts {
				return true
			}
		}
	}
	return false
}

// crashesWorkers reports whether some task has crashed so many workers that its
// job may be given up.
func (s *submittedJob) crashesWorkers() bool {
	for _, h := range s.histories {
		if h.crashes >= minCrashes {
			return true
		}
	}
	return false
}

// mostFailures returns the highest number of failures of any one task of a
// step. A gang fails as a whole, so for a gang mostFailures returns the sum of
// its members' failures.
func (s *submittedJob) mostFailures(round, step int) int {
	highest, sum := 0, 0
	for i := range s.Spec.Steps[step].Count {
		h := s.histories[job.TaskID{Job: s.Name, Round: round, Step: step, Index: i}]
		if h == nil {
			continue
		}
		highest = max(highest, h.failures)
		sum += h.failures
	}
	if s.Spec.Steps[step].Gang {
		return sum
	}
	return highest
}
