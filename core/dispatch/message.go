package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

// Target is the life of a worker that an order is meant for.
type Target struct {
	Worker  id.Worker
	Address string
	Fence   fleet.Fence
}

// Start orders a worker to run a task.
type Start struct {
	Target
	// Domain is the failure domain of the worker.
	Domain     id.Domain
	Task       job.Task
	Run        job.Run
	Text       string
	Checkpoint string
	// Ticket is the permit of the advice service; empty where none is needed.
	Ticket string
	// Until is when the lease of all that runs on the worker ends, by its clock.
	Until fleet.Clock
	// Unsure is set if an earlier order to start the run may have been carried out.
	Unsure bool
}

// StartResult is what became of a Start.
type StartResult struct {
	Start   Start
	Verdict fleet.Verdict
	Clock   fleet.Clock
}

// Stop orders a worker to end a run.
type Stop struct {
	Target
	Task job.Task
	Run  job.Run
}

// StopResult is what became of a Stop.
type StopResult struct {
	Stop    Stop
	Verdict fleet.Verdict
	Clock   fleet.Clock
}

// Pace sets the share of its full speed, in percent, at which a run works.
type Pace struct {
	Target
	Task    job.Task
	Run     job.Run
	Percent int
}

// PaceResult is what became of a Pace.
type PaceResult struct {
	Pace    Pace
	Verdict fleet.Verdict
	Clock   fleet.Clock
}

// Renew renews the lease of all that runs on a worker and asks what runs there.
type Renew struct {
	Target
	// Until is 0 if the lease is to be left as it is.
	Until fleet.Clock
	// Told is the last end that the worker may forget.
	Told uint64
	// Wait is how long the worker may wait with its answer for an end.
	Wait time.Duration
}

// RenewResult is what became of a Renew.
type RenewResult struct {
	Renew Renew
	// Sent is when the order left.
	Sent    unit.Instant
	Verdict fleet.Verdict
	Report  fleet.Report
}

// Ask is a question to the advice service: on which of the workers a step may run.
type Ask struct {
	Step    job.StepID
	Workers []id.Worker
	// Adviser is the number of the host that asks, from 0.
	Adviser int
	// Takes is how long the service needs for its answer.
	Takes time.Duration
}

// Permit is the advice service's leave to run a step on one life of a worker.
type Permit struct {
	Worker id.Worker
	Ticket string
}

// AskResult is what became of an Ask. Workers that were asked about and have no permit
// may not run the step.
type AskResult struct {
	Ask     Ask
	Verdict fleet.Verdict
	Permits []Permit
	// Valid is how long the permits hold from the answer on, Sent when the question
	// left.
	Valid time.Duration
	Sent  unit.Instant
}

// Upkeep orders a machine to be taken down for its maintenance. All that runs there dies.
type Upkeep struct {
	Machine id.Machine
	Wave    id.Wave
	Epoch   id.Epoch
}

// UpkeepResult is what became of an Upkeep. Stale means that the machine isn't of the wave,
// Invalid that there is no such machine, and Busy that it can't go down now.
type UpkeepResult struct {
	Upkeep  Upkeep
	Verdict fleet.Verdict
}

// Life says under which name the present life of a machine was begun.
type Life struct {
	Machine id.Machine
	Worker  id.WorkerName
}

// WaveReport says how far a wave is, for the operator.
type WaveReport struct {
	Wave     id.Wave
	Finished bool
}

// Orders are orders to workers and machines, questions to the advice service, and reports.
type Orders struct {
	Starts []Start
	Stops  []Stop
	Renews []Renew
	Paces  []Pace
	Asks   []Ask
	// Upkeeps may be repeated; Reports are in order.
	Upkeeps []Upkeep
	Reports []WaveReport
}

// Batch is a set of records for the store, and what waits for them.
type Batch struct {
	// Jobs goes to the log that every host follows, Progress to the progress log. Neither waits for the other.
	Jobs, Progress []jobtable.Record
	starts         []*run
	acks           []ack
	// ended holds the jobs whose outcome is in Jobs.
	ended []*jobState
}

// ack is an end that a worker may forget once the batch is in the store.
type ack struct {
	worker *worker
	seen   uint64
}

// scale returns by times t.
func scale(t time.Duration, by float64) time.Duration { return time.Duration(float64(t) * by) }
