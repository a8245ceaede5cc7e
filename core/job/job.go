// Package job defines a job of many tasks: what was asked for, and how far it is.
//
// A job is a list of steps; a step is a number of equal tasks. A job may be repeated
// at fixed times; each time is a round with tasks of its own. The Spec is written once
// by the entry host that accepted the job. The Progress is written by the owner alone.
package job

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// MilliCPU is an amount of processor in thousandths of a core.
type MilliCPU int64

// Resources is what a task takes of a worker, or what a worker has.
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

// Sub returns r without o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Fits reports whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.CPU <= room.CPU && r.Memory <= room.Memory && r.Accelerators <= room.Accelerators
}

// Step is a number of equal tasks.
type Step struct {
	_ struct{} `cbor:",toarray"`
	// Count is the number of tasks, at least 1.
	Count int
	Need  Resources
	// Estimate is the customer's guess of one task's run time.
	Estimate time.Duration
	// DependsOn holds the indexes of earlier steps that must be done before.
	DependsOn []int
	// Checkpointing tasks can resume from a checkpoint.
	Checkpointing bool
	// Gang tasks run all together or not at all.
	Gang bool
	// SameRack asks for all tasks in one rack; elsewhere they are slow.
	SameRack bool
	// Label is what a worker must carry; empty if any will do.
	Label string
	// DataRack is where the data is; empty if it doesn't matter.
	DataRack string
	// MaxPerWorker bounds the step's tasks on one worker; 0 for no bound.
	MaxPerWorker int
	// Duplicates lets copies of a task run side by side.
	Duplicates bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// MayMiss is how many tasks of a long-running step may be away at a time.
	MayMiss int
	// Image names the program that the tasks run.
	Image string
	// TargetLatency is the tail latency that serving tasks keep to; 0 if they
	// serve nobody.
	TargetLatency time.Duration
	// Fills marks tasks that use processor time which others leave.
	Fills bool
}

// Reserved returns what a task of the step takes of a worker's room.
func (s *Step) Reserved() Resources {
	if !s.Fills {
		return s.Need
	}
	r := s.Need
	r.CPU = 0
	return r
}

// Advice says whether the advice service has to allow a step's placements, and how long
// it takes for an answer. Its zero value asks for none.
type Advice struct {
	_      struct{} `cbor:",toarray"`
	Needed bool
	// Decide is the service's time for an answer, and Each is added for each worker
	// that is asked about.
	Decide, Each time.Duration
}

// Takes returns how long the service needs for an answer on n workers.
func (a Advice) Takes(n int) time.Duration { return a.Decide + time.Duration(n)*a.Each }

// Spec is a job as it was accepted.
type Spec struct {
	_        struct{} `cbor:",toarray"`
	Customer id.Customer
	// Queue and the policy fields are those of the configuration at acceptance.
	Queue       id.Queue
	Service     id.Service
	Priority    int
	MaxAttempts int
	// Stretch times the longest chain of work, plus Target, is the time in which
	// the job should be completed.
	Stretch float64
	Target  time.Duration
	Advice  Advice
	// Text is the payload of every task.
	Text  string
	Steps []Step
	// First is when round 0 is due and Interval the time between rounds. They
	// count only if Rounds is above 0.
	First    unit.Instant
	Interval time.Duration
	Rounds   int
	// Accepted is when an entry host took the job.
	Accepted unit.Instant
}

// RoundCount returns how many times the steps are run.
func (s *Spec) RoundCount() int { return max(1, s.Rounds) }

// Width returns the number of tasks of one round.
func (s *Spec) Width() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// LongestChain returns the estimated time of the longest chain of steps.
func (s *Spec) LongestChain() time.Duration {
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

// Due returns when a round may start.
func (s *Spec) Due(round int) unit.Instant {
	if s.Rounds == 0 {
		return s.Accepted
	}
	return s.First.Add(time.Duration(round) * s.Interval)
}

// Index returns the position of a task in Progress.Tasks, or false if the job has no
// such task.
func (s *Spec) Index(t Task) (int, bool) {
	if t.Round < 0 || t.Round >= s.RoundCount() || t.Step < 0 || t.Step >= len(s.Steps) ||
		t.Index < 0 || t.Index >= s.Steps[t.Step].Count {
		return 0, false
	}
	at := t.Round * s.Width()
	for i := range t.Step {
		at += s.Steps[i].Count
	}
	return at + t.Index, true
}

// Task names one task.
type Task struct {
	Job   id.Job
	Round int
	Step  int
	Index int
}

// String returns the task's name for logs.
func (t Task) String() string { return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Round, t.Step, t.Index) }

// StepID names one step of one round of a job.
type StepID struct {
	Job   id.Job
	Round int
	Step  int
}

// String returns the step's name for logs.
func (s StepID) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Round, s.Step) }

// Run numbers the starts of one task from 1.
type Run int

// Phase is how far a task is.
type Phase int

// The phases of a task.
const (
	// Waiting tasks run nowhere.
	Waiting Phase = iota
	// Placed tasks run on their worker or may do so.
	Placed
	// Done tasks have ended with success.
	Done
)

// TaskState is what must not be forgotten of one task.
type TaskState struct {
	Phase Phase
	// Run is the last run that was ordered; it never falls.
	Run Run
	// Failed counts the runs that ended in failure.
	Failed int
	// Worker is where a placed task runs, and where the last run of a waiting one has failed; empty if that
	// ended otherwise.
	Worker id.Worker
	// Checkpoint is the newest one known; empty for none.
	Checkpoint string
}

// CrashCount counts lives of workers that have ended, without a word, under runs of one task or gang.
type CrashCount struct {
	_ struct{} `cbor:",toarray"`
	// Task is the position of the task in Progress.Tasks; a gang's is that of its first one.
	Task int
	// Run is the last run that was counted, Worker the life that ended under it: each counts once, whoever finds out and
	// however often.
	Run    Run
	Worker id.Worker
	// AtOnce counts the newest of these lives in a row that ended soon after the run had begun. It is at most All.
	AtOnce int
	// All counts those in a row without a run that has worked for long.
	All int
}

// Outcome is how a job ended.
type Outcome int

// The outcomes of a job.
const (
	Open Outcome = iota
	Completed
	Failed
	Cancelled
)

// Progress is what must not be forgotten of one job.
type Progress struct {
	Outcome Outcome
	// Ended is when Outcome was reached.
	Ended unit.Instant
	// Tasks are ordered by round, step and index; empty if no task ever began or
	// the job has ended.
	Tasks []TaskState
	// Crashes has the tasks under which lives of workers have ended, few or none. It is empty if Tasks is.
	Crashes []CrashCount
}

// Began reports whether some task of the job was ever ordered to start.
func (p *Progress) Began() bool {
	for i := range p.Tasks {
		if p.Tasks[i].Run > 0 {
			return true
		}
	}
	return p.Outcome != Open
}
