package dispatch

import (
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// noteViolation logs that an invariant didn't hold for a run.
func (d *Dispatcher) noteViolation(now unit.Instant, r *run, violation string) {
	d.noteRun(EventViolated, r, violation, now.Sub(r.knownSince))
}

// checkStart checks the invariants that must hold when a start order is sent.
// It returns the one that is violated, or an empty string.
func (d *Dispatcher) checkStart(r *run) string {
	s := r.step
	if s == nil || s.runs[r.task.Index] != r {
		return "another run of the task is under way"
	}
	js := s.job
	if js.progress.Outcome != job.Open || js.cancelled {
		return "the job has ended"
	}
	t := &js.progress.Tasks[s.base+r.task.Index]
	if t.Phase != job.Placed || t.Run != r.number || t.Worker != r.worker.ID {
		return "the record of the task has another placement"
	}
	if t.Failures >= js.spec.MaxAttempts && !s.step.LongRunning {
		return "the task has no attempts left"
	}
	if s.pastCrashLimit(r.task.Index) {
		return "the task has reached its limit of crashed workers"
	}
	if !js.ready(s) {
		return "a step that it depends on has not ended"
	}
	if r.worker.evacuated {
		return whyEvacuated
	}
	return checkGang(s, r)
}

// checkGang checks that a gang starts as a whole and under one run number. It
// returns what is violated, or an empty string.
func checkGang(s *stepState, r *run) string {
	if !s.step.Gang {
		return ""
	}
	if len(s.runs) != s.step.Count {
		return "not all members of the gang are placed"
	}
	for _, m := range s.runs {
		if m.number != r.number {
			return "the gang's runs have different numbers"
		}
	}
	return ""
}

// noteGuaranteeAtRisk logs, once for each job, that urgent work within its
// customer's guarantee still waits Config.StopTime after its job became known,
// although every run that may be stopped for it was considered.
func (d *Dispatcher) noteGuaranteeAtRisk(now unit.Instant, c candidate) {
	js := c.step.job
	if !c.withinGuarantee || js.guaranteeAtRisk || now.Sub(js.knownSince) < d.config.StopTime {
		return
	}
	js.guaranteeAtRisk = true
	d.noteJob(EventGuaranteeAtRisk, now, js, "no room can be freed for urgent work", 0)
}
