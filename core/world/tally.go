package world

import (
	"slices"
	"strings"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// State is the state of a job.
type State string

// The states of a job.
const (
	// Open jobs have no outcome yet.
	Open State = "open"
	// Refused jobs can never run on the site.
	Refused   State = "refused"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// submittedJob is a submitted job with its state.
type submittedJob struct {
	Job
	submittedAt, endedAt unit.Instant
	// startedAt is when the job's first run began; 0 if none has begun.
	startedAt unit.Instant
	// begunAt is when workers had started a task of the job. Of a gang, they must
	// have started all members of one run.
	begunAt unit.Instant
	// acceptedAt and cancelledAt are when callers learned that the job was
	// accepted or cancelled, cancelSentAt is when they sent the cancellation; each
	// is 0 before.
	acceptedAt, cancelSentAt, cancelledAt unit.Instant
	// heard is what the last owner that heard of the job's beginning has heard.
	// recordedAt is since when the store must show that the job has begun or
	// ended; 0 if it needn't.
	heard      heard
	recordedAt unit.Instant
	state      State
	// doneTasks counts the tasks that have ended with success.
	doneTasks int
	histories map[job.TaskID]*taskHistory
	// preempted counts the runs that the owners stopped to make room for other
	// jobs, and preemptions the times at which runs of each step were. wasted is
	// the part of Tally.Wasted that is from the job's runs.
	preempted   int
	preemptions map[stepKey]preemptions
	wasted      float64
}

// stepKey identifies one step of a round of a job.
type stepKey struct{ round, step int }

// preemptions counts the times at which runs of a step were preempted.
type preemptions struct {
	times int
	last  unit.Instant
}

// preemptionReason is how the reason begins that core/dispatch notes for runs
// that it stops to make room for a job.
const preemptionReason = "makes room for job "

// countPreemption counts a stop that an owner noted, if it makes room for
// another job. Runs that are stopped by one scheduling pass count as one time.
func (w *World) countPreemption(n dispatch.Note) {
	s := w.jobs[n.Task.Job]
	if n.Event != dispatch.EventTaskStop || !strings.HasPrefix(n.Why, preemptionReason) || s == nil {
		return
	}
	w.tally.Preempted++
	s.preempted++
	if s.preemptions == nil {
		s.preemptions = map[stepKey]preemptions{}
	}
	key := stepKey{n.Task.Round, n.Task.Step}
	if p := s.preemptions[key]; p.last != w.now {
		s.preemptions[key] = preemptions{times: p.times + 1, last: w.now}
	}
}

// mostPreemptions returns the highest number of times at which runs of any one
// step were preempted.
func (s *submittedJob) mostPreemptions() int {
	most := 0
	for _, p := range s.preemptions {
		most = max(most, p.times)
	}
	return most
}

// noteStart records that a run of the job has begun.
func (s *submittedJob) noteStart(now unit.Instant) {
	if s.startedAt == 0 {
		s.startedAt = now
	}
}

// noteBegun records that workers have begun the job.
func (s *submittedJob) noteBegun(now unit.Instant) {
	if s.begunAt == 0 {
		s.begunAt = now
	}
}

// recordOutcome records the outcome of a job and checks it.
func (w *World) recordOutcome(s *submittedJob, outcome State) {
	s.state, s.endedAt = outcome, w.now
	w.checkFinish(s, outcome)
}

// Outcome describes one job and its result.
type Outcome struct {
	Name     id.Job
	Kind     string
	Customer id.Customer
	State    State
	// At is the time of the submission since the beginning of the simulation.
	// StartDelay is the time from the submission to the start of the first run,
	// and CompletionTime that from the submission to the outcome; each is 0
	// while there is none.
	At, StartDelay, CompletionTime time.Duration
	// Chain is the work of the longest chain of dependent steps, on workers of
	// speed 1.
	Chain time.Duration
	// Work is the total work of the tasks in core-seconds, where an accelerator
	// counts for coresPerAccelerator cores.
	Work float64
	// FailProbability is the probability that a run fails.
	FailProbability float64
	// CrashesWorkers is set if the job's first task crashes each worker that
	// starts it.
	CrashesWorkers bool
	// Preempted counts the runs that were stopped to make room for other jobs.
	// MostPreemptions is the highest number of times at which runs of any one
	// step were stopped for that.
	Preempted, MostPreemptions int
	// Wasted is the part of Tally.Wasted that is from the job's runs.
	Wasted float64
}

// Outcomes returns the outcomes of the jobs in the order of their submission.
func (w *World) Outcomes() []Outcome {
	out := make([]Outcome, 0, len(w.submissions))
	for _, s := range w.submissions {
		o := Outcome{
			Name: s.Name, Kind: s.Kind, Customer: s.Spec.Customer, State: s.state, At: s.submittedAt.Sub(Begin),
			Work: s.totalWork(), Chain: s.longestChain(), FailProbability: s.FailProbability, CrashesWorkers: s.CrashAfter > 0,
			Preempted: s.preempted, MostPreemptions: s.mostPreemptions(), Wasted: s.wasted,
		}
		if s.startedAt != 0 {
			o.StartDelay = s.startedAt.Sub(s.submittedAt)
		}
		if s.endedAt != 0 {
			o.CompletionTime = s.endedAt.Sub(s.submittedAt)
		}
		out = append(out, o)
	}
	return out
}

// totalWork returns the core-seconds of a job's tasks.
func (s *submittedJob) totalWork() float64 {
	total, at := 0.0, 0
	for range s.Spec.RoundCount() {
		for i := range s.Spec.Steps {
			step := &s.Spec.Steps[i]
			for range step.Count {
				total += coreWeight(step.Need) * s.RunTimes[at].Seconds()
				at++
			}
		}
	}
	return total
}

// longestChain returns the work of the longest chain of dependent steps in the
// first round. Each step counts with its longest task.
func (s *submittedJob) longestChain() time.Duration {
	ends := make([]time.Duration, len(s.Spec.Steps))
	at := 0
	for i := range s.Spec.Steps {
		step := &s.Spec.Steps[i]
		var depsEnd time.Duration
		for _, dep := range step.DependsOn {
			depsEnd = max(depsEnd, ends[dep])
		}
		ends[i] = depsEnd + slices.Max(s.RunTimes[at:at+step.Count])
		at += step.Count
	}
	return slices.Max(ends)
}

// Tally holds the counters of a World.
type Tally struct {
	// Starts counts the runs that workers started. The other fields count how
	// runs ended: Done with success, Failed by a failure, Stopped by an order,
	// Lapsed with the worker's lease, Broken with another member of the gang,
	// Alone because the gang was not complete in time, and Vanished with the
	// worker's incarnation.
	Starts, Done, Failed, Stopped, Lapsed, Broken, Alone, Vanished int
	// Preempted counts the runs that the owners stopped to make room for other
	// jobs.
	Preempted int
	// Crashes counts the incarnations of workers that tasks have crashed.
	Crashes int
	// Useful is the core-seconds of runs that ended with success, Wasted the
	// core-seconds of work that was neither completed nor saved in a
	// checkpoint. Accelerators count as in Outcome.Work.
	Useful, Wasted float64
	// Passes counts the owners' scheduling passes, Claims the changes of owner.
	Passes, Claims int
	// OwnerCPUTime is the processor time of the owners' work on whole cores,
	// OwnerBusyTime how long the owners' processors were busy, and LongestWait
	// the longest time for which a work item waited for the processor.
	OwnerCPUTime, OwnerBusyTime, LongestWait time.Duration
	// Questions counts the callers' questions about jobs to hosts that were up,
	// Refusals those that a host refused to answer.
	Questions, Refusals int
	Violations          int
}

// count adds the end of a run to the counters.
func (t *Tally) count(reason fleet.EndReason) {
	switch reason {
	case fleet.EndDone:
		t.Done++
	case fleet.EndFailed:
		t.Failed++
	case fleet.EndStopped:
		t.Stopped++
	case fleet.EndLeaseExpired:
		t.Lapsed++
	case fleet.EndGangBroken:
		t.Broken++
	case fleet.EndGangTimeout:
		t.Alone++
	}
}

// recordWait records how long a work item waited for the owner's processor.
func (t *Tally) recordWait(d time.Duration) { t.LongestWait = max(t.LongestWait, d) }

// Tally returns the counters.
func (w *World) Tally() Tally { return w.tally }

// CompletedTasks returns how many tasks of a job have ended with success.
func (w *World) CompletedTasks(name id.Job) int {
	if s := w.jobs[name]; s != nil {
		return s.doneTasks
	}
	return 0
}

// EventCount returns how often the owners noted an event.
func (w *World) EventCount(e dispatch.Event) int { return w.events[e] }

// Sample is a snapshot of the site.
type Sample struct {
	// At is the time since the beginning of the simulation.
	At time.Duration
	// Utilization is the share of the accelerators that runs hold, of those of
	// workers that are up.
	Utilization float64
	// Fragmentation is the share of the free accelerators that are on partly
	// used workers, where no task can use them that needs a whole worker. It is
	// 0 if none is free.
	Fragmentation float64
	// Waiting counts the tasks of open jobs that neither run nor are done.
	Waiting int
}

// Sample returns a snapshot of the site now.
func (w *World) Sample() Sample {
	total, free, stranded := 0, 0, 0
	for _, m := range w.machines {
		if !m.up {
			continue
		}
		left := m.Capacity.Accelerators - m.used.Accelerators
		total += m.Capacity.Accelerators
		free += left
		if len(m.runs) > 0 {
			stranded += left
		}
	}
	s := Sample{At: w.now.Sub(Begin), Waiting: w.openTasks() - w.running()}
	if total > 0 {
		s.Utilization = 1 - float64(free)/float64(total)
	}
	if free > 0 {
		s.Fragmentation = float64(stranded) / float64(free)
	}
	return s
}

// openTasks counts the tasks that are not done yet, of all open jobs.
func (w *World) openTasks() int {
	n := 0
	open := w.openJobs[:0]
	for _, s := range w.openJobs {
		if s.state != Open {
			continue
		}
		open = append(open, s)
		n += len(s.RunTimes) - s.doneTasks
	}
	w.openJobs = open
	return n
}

// running counts the current runs.
func (w *World) running() int {
	n := 0
	for _, m := range w.machines {
		n += len(m.runs)
	}
	return n
}

// scale returns d multiplied by a factor.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
