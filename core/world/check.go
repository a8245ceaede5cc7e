package world

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// mostBroken bounds how many broken invariants are kept; the first tells most.
const maxViolations = 100

// A task that crashes workers may be given up after leastCrashes of them. After mostCrashes it may be started
// startsAfterCrashes times more; by the platform's pages.
const (
	minCrashes         = 2
	maxCrashes         = 3
	startsAfterCrashes = 2
)

// taskLedger is what has become of one task.
type taskHistory struct {
	// live counts its runs on workers that are up.
	liveRuns int
	// done is set once a run has ended with success, noted once the owner has told its worker
	// that it took note of that.
	done, acknowledged bool
	// failed counts the failures that the owner took note of, failures all.
	ackedFailures, failures int
	lastStart               unit.Instant
	// crashes counts the lives of workers that the task has ended, startsAfter its starts after mostCrashes of them.
	crashes, startsAfter int
}

// violated keeps what did not hold.
func (w *World) recordViolation(what string) {
	w.tally.Violations++
	if len(w.violations) < maxViolations {
		w.violations = append(w.violations, fmt.Sprintf("%s: %s", w.now.Sub(Begin).Round(time.Millisecond), what))
	}
}

// Violations returns the first invariants that did not hold, with the time since the beginning.
func (w *World) Violations() []string { return w.violations }

// ledgerOf returns the ledger of a task.
func (s *submittedJob) historyOf(t job.Task) *taskHistory {
	l := s.histories[t]
	if l == nil {
		l = &taskHistory{}
		s.histories[t] = l
	}
	return l
}

// checkStart checks what must hold when a worker begins a run.
func (w *World) checkStart(s *submittedJob, o dispatch.Start) {
	l := s.historyOf(o.Task)
	step := &s.Spec.Steps[o.Task.Step]
	switch {
	case s.state == Refused:
		w.recordViolation(fmt.Sprintf("%s was started though it was refused", o.Task))
	case l.liveRuns > 0:
		w.recordViolation(fmt.Sprintf("%s runs twice", o.Task))
	case l.acknowledged && !step.LongRunning:
		w.recordViolation(fmt.Sprintf("%s was started again after its end was noted", o.Task))
	case l.ackedFailures >= s.Spec.MaxAttempts && !step.LongRunning:
		w.recordViolation(fmt.Sprintf("%s was started after %d failures", o.Task, l.ackedFailures))
	case l.crashes >= maxCrashes && l.startsAfter >= startsAfterCrashes:
		w.recordViolation(fmt.Sprintf("%s was started %d times more after it had crashed %d workers", o.Task, l.startsAfter+1, maxCrashes))
	case !s.dependenciesDone(o.Task):
		w.recordViolation(fmt.Sprintf("%s was started before a step that it depends on was done", o.Task))
	}
	if l.crashes >= maxCrashes {
		l.startsAfter++
	}
}

// before reports whether all steps that a task depends on are done.
func (s *submittedJob) dependenciesDone(t job.Task) bool {
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
		l := s.histories[job.Task{Job: s.Name, Round: round, Step: step, Index: i}]
		if l == nil || !l.done {
			return false
		}
	}
	return true
}

// noted checks what must hold when the owner has taken note of an end.
func (w *World) checkAcknowledged(e listedEnd) {
	if e.leaseLapsed {
		return
	}
	l := e.job.historyOf(e.Task)
	switch e.How {
	case fleet.EndFailed:
		l.ackedFailures++
	case fleet.EndDone:
		l.acknowledged = true
		if l.lastStart > e.at && !e.job.Spec.Steps[e.Task.Step].LongRunning {
			w.recordViolation(fmt.Sprintf("%s was started again after an end that was noted later", e.Task))
		}
	case fleet.EndStopped, fleet.EndLapsed, fleet.EndBroken, fleet.EndAlone:
	}
}

// checkFinish checks that a job which is shown as completed or failed is so.
func (w *World) checkFinish(s *submittedJob, as State) {
	if as == Failed && !s.outOfAttempts() && !s.crashesWorkers() {
		w.recordViolation(fmt.Sprintf("%s is shown as failed, but has attempts left", s.Name))
	}
	if as != Completed {
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

// outOfAttempts reports whether some task, or gang, has failed as often as it may.
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

// crashesWorkers reports whether some task has crashed so many workers that it may be given up.
func (s *submittedJob) crashesWorkers() bool {
	for _, l := range s.histories {
		if l.crashes >= minCrashes {
			return true
		}
	}
	return false
}

// worst returns the failures of the task of a step that has failed most often. A gang fails as a
// whole, so those of its members are added up.
func (s *submittedJob) mostFailures(round, step int) int {
	most, sum := 0, 0
	for i := range s.Spec.Steps[step].Count {
		l := s.histories[job.Task{Job: s.Name, Round: round, Step: step, Index: i}]
		if l == nil {
			continue
		}
		most = max(most, l.failures)
		sum += l.failures
	}
	if s.Spec.Steps[step].Gang {
		return sum
	}
	return most
}
