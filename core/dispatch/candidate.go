package dispatch

import (
	"cmp"
	"slices"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// lateFactor times a job's allowed time is the time after its due time from
// which its completion earns nothing.
const lateFactor = 3

// candidate is a step that has tasks which may start now.
type candidate struct {
	step *stepState
	// waiting holds the indexes of the tasks that wait for a worker.
	waiting []int
	// eligible holds the workers that accept new tasks and may run the step, as
	// far as is known, whether they have free capacity or not.
	eligible []*worker
	// withinGuarantee is set for urgent work within its customer's guarantee.
	withinGuarantee bool
	// late is set when it is too late for the job to earn anything (see
	// lateFactor).
	late bool
	// deadline is when the job should be completed.
	deadline unit.Instant
	// sortTime orders candidates of the same urgency. It is the deadline, or
	// when the step became due if the policy doesn't order by deadline.
	// Long-running tasks are ordered by how long they have waited in either
	// case.
	sortTime unit.Instant
}

// candidates returns the steps that have tasks to start, most urgent first.
func (d *Dispatcher) candidates(now unit.Instant) []candidate {
	var out []candidate
	used := d.urgentDemand()
	for _, js := range d.open {
		for _, s := range js.steps {
			if c, ok := d.candidate(now, s); ok {
				c.withinGuarantee = js.spec.Priority == 0 && used[js.spec.Customer] <= d.guaranteed[js.spec.Customer]
				out = append(out, c)
			}
		}
	}
	slices.SortStableFunc(out, d.compareCandidates)
	return out
}

// compareCandidates puts the more urgent priority first, then work within a
// guarantee, then work that can still earn something, then the earlier sort
// time.
func (d *Dispatcher) compareCandidates(a, b candidate) int {
	late := 0
	if d.policy.ByDeadline {
		late = compareBools(a.late, b.late)
	}
	return cmp.Or(
		cmp.Compare(a.step.job.spec.Priority, b.step.job.spec.Priority),
		-compareBools(a.withinGuarantee, b.withinGuarantee),
		late,
		cmp.Compare(a.sortTime, b.sortTime),
	)
}

// compareBools puts false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// urgentDemand returns how many accelerators each customer's open jobs of
// priority 0 ask for.
func (d *Dispatcher) urgentDemand() map[id.Customer]int {
	out := map[id.Customer]int{}
	for _, js := range d.open {
		if js.spec.Priority != 0 {
			continue
		}
		for i := range js.spec.Steps {
			out[js.spec.Customer] += js.spec.Steps[i].Count * js.spec.Steps[i].Need.Accelerators
		}
	}
	return out
}

// candidate returns a step with its tasks that may start, and false if there
// are none. Tasks that have reached the limit of crashes may not start. A gang
// may start only as a whole, when none of its members has a run.
func (d *Dispatcher) candidate(now unit.Instant, s *stepState) (candidate, bool) {
	js := s.job
	due, ok := d.due(now, s)
	if !ok || s.done+len(s.runs) >= s.step.Count || !js.ready(s) {
		return candidate{}, false
	}
	if s.step.Gang && len(s.runs) > 0 {
		return candidate{}, false
	}
	c := candidate{step: s}
	crashed := len(js.progress.Crashes) > 0
	if crashed && s.step.Gang && s.pastCrashLimit(0) {
		return candidate{}, false
	}
	for i := range s.step.Count {
		waits := s.runs[i] == nil && (len(js.progress.Tasks) == 0 || js.progress.Tasks[s.base+i].Phase == job.Waiting)
		if waits && (!crashed || s.step.Gang || !s.pastCrashLimit(i)) {
			c.waiting = append(c.waiting, i)
		}
	}
	if len(c.waiting) == 0 {
		return candidate{}, false
	}
	allowed := scale(js.spec.CriticalPath(), js.spec.DeadlineFactor) + js.spec.DeadlineExtra
	c.deadline = due.Add(allowed)
	c.late = now > due.Add(lateFactor*allowed)
	if s.step.LongRunning {
		// A long-running task earns for as long as it runs, whenever it begins:
		// the one that has waited longest goes first.
		c.late = false
		if s.waitingSince != 0 {
			c.deadline = s.waitingSince
		}
	}
	c.sortTime = c.deadline
	if !d.policy.ByDeadline && !s.step.LongRunning {
		c.sortTime = due
	}
	return c, true
}

// due returns when a step's round becomes due, on the monotonic clock, and
// whether that time has come. A job without rounds is due at once, even if its
// acceptance time is in the future: the clock of the host that accepted it may
// be ahead of this host's.
func (d *Dispatcher) due(now unit.Instant, s *stepState) (unit.Instant, bool) {
	spec := s.job.spec
	if spec.Rounds == 0 {
		return min(spec.Accepted, s.job.knownSince), true
	}
	ago := d.wallTime.Sub(spec.Due(s.round))
	return now.Add(-ago), ago >= 0
}

// ready reports whether all steps that s depends on are done in its round.
func (js *jobState) ready(s *stepState) bool {
	first := s.round * len(js.spec.Steps)
	for _, dep := range s.step.DependsOn {
		if dep >= 0 && dep < len(js.spec.Steps) {
			before := js.steps[first+dep]
			if before.done < before.step.Count {
				return false
			}
		}
	}
	return true
}
