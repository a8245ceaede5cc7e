// Package job defines a job of many tasks: its specification and its progress.
//
// A job is a list of steps, and a step is a number of identical tasks. A job
// may be repeated at a fixed interval; each repetition is a round with tasks
// of its own. The entry host that accepts a job writes its Spec once. Only the
// owner, the host that schedules, writes its Progress.
package job

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// MilliCPU is an amount of CPU in thousandths of a core.
type MilliCPU int64

// Resources is what a task requires of a worker, or the capacity of a worker.
type Resources struct {
	_            struct{} `cbor:",toarray"`
	CPU          MilliCPU
	Memory       unit.Bytes
	Accelerators int
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Fits reports whether r fits into the resources that are free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Step is a number of identical tasks of a job.
type Step struct {
	_ struct{} `cbor:",toarray"`
	// Count is the number of tasks, at least 1.
	Count int
	Need  Resources
	// Estimate is the customer's estimate of one task's run time.
	Estimate time.Duration
	// DependsOn holds the indexes of the earlier steps that must be completed
	// before this one starts.
	DependsOn []int
	// Checkpointing tasks can resume from a checkpoint.
	Checkpointing bool
	// Gang tasks run all at the same time or not at all.
	Gang bool
	// SameRack requests that all tasks run in one rack; they are slow if they
	// are spread over several.
	SameRack bool
	// Label is the label that a worker must have; empty if every worker is
	// suitable.
	Label string
	// DataRack is the rack that stores the tasks' data; empty for no preference.
	DataRack string
	// MaxPerWorker is the largest number of the step's tasks on one worker; 0
	// for no limit.
	MaxPerWorker int
	// AllowDuplicates permits several copies of a task to run at the same time.
	AllowDuplicates bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// MaxUnavailable is the largest number of tasks of a long-running step that may
	// be unavailable at a time; 0 for no limit.
	MaxUnavailable int
	// Image names the program that the tasks run.
	Image string
	// TargetLatency is the tail latency that tasks which serve requests are to
	// stay below; 0 for tasks that serve no requests.
	TargetLatency time.Duration
	// UsesIdleCPU marks tasks that use only CPU time which other tasks leave idle.
	UsesIdleCPU bool
}

// Reserved returns the resources that a task of the step reserves on a worker.
// A step with UsesIdleCPU set reserves no CPU.
func (s *Step) Reserved() Resources {
	if !s.UsesIdleCPU {
		return s.Need
	}
	r := s.Need
	r.CPU = 0
	return r
}

// Advice says whether the advice service must approve a step's placements, and
// how long the service takes to answer. The zero value requires no approval.
type Advice struct {
	_      struct{} `cbor:",toarray"`
	Needed bool
	// BaseTime is the fixed part of the service's response time. TimePerWorker
	// is added for each worker that a request asks about.
	BaseTime, TimePerWorker time.Duration
}

// ResponseTime returns the service's response time for a request about n workers.
func (a Advice) ResponseTime(n int) time.Duration {
	return a.BaseTime + time.Duration(n)*a.TimePerWorker
}

// Spec is the specification of a job as it was accepted.
type Spec struct {
	_        struct{} `cbor:",toarray"`
	Customer id.Customer
	// Queue and the policy fields are copied from the configuration when the
	// job is accepted.
	Queue       id.Queue
	Service     id.Service
	Priority    int
	MaxAttempts int
	// DeadlineFactor and DeadlineExtra set the time in which the job should be
	// completed: DeadlineFactor times the result of CriticalPath, plus DeadlineExtra.
	DeadlineFactor float64
	DeadlineExtra  time.Duration
	Advice         Advice
	// Payload is the payload of every task.
	Payload string
	Steps   []Step
	// FirstDue is when round 0 is due, and Interval is the time between two rounds.
	// Both are used only if Rounds is above 0.
	FirstDue unit.Instant
	Interval time.Duration
	Rounds   int
	// Accepted is when an entry host accepted the job.
	Accepted unit.Instant
}

// RoundCount returns the number of rounds: 1 for a job that is not repeated.
func (s *Spec) RoundCount() int { return max(1, s.Rounds) }

// TasksPerRound returns the number of tasks of one round.
func (s *Spec) TasksPerRound() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// CriticalPath returns the estimated run time of the longest chain of
// dependent steps, the critical path of a round.
func (s *Spec) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for i := range s.Steps {
		var before time.Duration
		for _, dep := range s.Steps[i].DependsOn {
			if dep >= 0 && dep < i {
				before = max(before, ends[dep])
			}
		}
		ends[i] = before + s.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Due returns the earliest time at which a round may start.
func (s *Spec) Due(round int) unit.Instant {
	if s.Rounds == 0 {
		return s.Accepted
	}
	return s.FirstDue.Add(time.Duration(round) * s.Interval)
}

// Index returns the position of a task in Progress.Tasks, or false if the job
// has no such task.
func (s *Spec) Index(t TaskID) (int, bool) {
	if t.Round < 0 || t.Round >= s.RoundCount() || t.Step < 0 || t.Step >= len(s.Steps) ||
		t.Index < 0 || t.Index >= s.Steps[t.Step].Count {
		return 0, false
	}
	pos := t.Round * s.TasksPerRound()
	for i := range t.Step {
		pos += s.Steps[i].Count
	}
	return pos + t.Index, true
}

// TaskID identifies one task.
type TaskID struct {
	Job   id.Job
	Round int
	Step  int
	Index int
}

// String returns the task's name for logs.
func (t TaskID) String() string { return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Round, t.Step, t.Index) }

// StepID identifies one step of one round of a job.
type StepID struct {
	Job   id.Job
	Round int
	Step  int
}

// String returns the step's name for logs.
func (s StepID) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Round, s.Step) }

// RunNumber is the number of a run of one task. Each start of the task begins a new
// run; the first one has the number 1.
type RunNumber int

// Phase is the scheduling phase of a task.
type Phase int

// The phases of a task.
const (
	// Waiting tasks have no run on any worker.
	Waiting Phase = iota
	// Placed tasks have been assigned to a worker and run there, or may run
	// there if the outcome of the start order is unknown.
	Placed
	// Done tasks have completed successfully.
	Done
)

// TaskState is the state of one task that the store keeps.
type TaskState struct {
	Phase Phase
	// Run is the newest run that was ordered, 0 for none; it never decreases.
	Run RunNumber
	// Failures is the number of runs that failed.
	Failures int
	// Worker is the worker of a placed task. For a waiting task it is the worker
	// on which the last run failed, or empty if that run ended otherwise.
	Worker id.Worker
	// Checkpoint is the newest known checkpoint; empty for none.
	Checkpoint string
	// StartConfirmed is set once no order to start Run can be carried out any
	// more, because the worker has answered one or has reported the run. It is
	// meaningful only for a placed task whose worker reports when it started.
	StartConfirmed bool
	// StartOpenUntil is the time of day until which an order to start Run that
	// got no answer may be carried out, as far as an owner has recorded it; 0 if
	// none has. It is meaningful as StartConfirmed is, and only without it.
	StartOpenUntil unit.Instant
}

// CrashCount counts the incarnations of workers that crashed, which means that
// they ended without notice, while they ran one task. Each member of a gang has
// a count of its own.
type CrashCount struct {
	_ struct{} `cbor:",toarray"`
	// Task is the position of the task in Progress.Tasks.
	Task int
	// Run is the newest run whose crash was counted, and Worker the incarnation
	// that crashed. They ensure that each crash is counted once, also if several
	// owners detect it or one owner detects it repeatedly.
	Run    RunNumber
	Worker id.Worker
	// Early is the number of consecutive crashes, counted back from the newest
	// one, that each happened soon after the start of the run. It is at most
	// Total.
	Early int
	// Total is the number of crashes since a run last worked for a long time.
	Total int
	// Excused is the number of crashes soon after a start that were not held
	// against the task, because they seemed to have another cause.
	Excused int `cbor:"-"`
}

// Outcome is how a job ended, or Open if it has not ended.
type Outcome int

// The outcomes of a job.
const (
	Open Outcome = iota
	Completed
	Failed
	Cancelled
)

// Progress is the state of one job that the store keeps.
type Progress struct {
	Outcome Outcome
	// Ended is when Outcome was reached.
	Ended unit.Instant
	// Tasks are ordered by round, step and index; empty if no task was ever
	// started or the job has ended.
	Tasks []TaskState
	// Crashes has an entry for each task with counted crashes, usually few or
	// none. It is empty if Tasks is.
	Crashes []CrashCount
}

// Started reports whether a start of any task of the job was ever ordered, or
// whether the job has ended.
func (p *Progress) Started() bool {
	for i := range p.Tasks {
		if p.Tasks[i].Run > 0 {
			return true
		}
	}
	return p.Outcome != Open
}
