package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

// Target is the incarnation of a worker that an order is meant for.
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
	Task       job.TaskID
	Run        job.RunNumber
	Payload    string
	Checkpoint string
	// Ticket is the permit of the advice service; empty if none is needed.
	Ticket string
	// Until is when the lease of all runs on the worker ends, by its clock.
	Until fleet.ClockReading
	// MayHaveStarted is set if an earlier copy of the start order may have been
	// carried out.
	MayHaveStarted bool
	// SendBefore is until when the order may be sent; after that its job may be
	// cancelled. 0 for no bound.
	SendBefore unit.Instant
}

// StartResult is the result of a Start.
type StartResult struct {
	Start   Start
	Verdict fleet.Verdict
	Clock   fleet.ClockReading
}

// Stop orders a worker to end a run.
type Stop struct {
	Target
	Task job.TaskID
	Run  job.RunNumber
}

// StopResult is the result of a Stop.
type StopResult struct {
	Stop    Stop
	Verdict fleet.Verdict
	Clock   fleet.ClockReading
}

// Pace orders a worker to set the speed of a run, in percent of its full speed.
type Pace struct {
	Target
	Task    job.TaskID
	Run     job.RunNumber
	Percent int
}

// PaceResult is the result of a Pace.
type PaceResult struct {
	Pace    Pace
	Verdict fleet.Verdict
	Clock   fleet.ClockReading
}

// Renew renews the lease of all runs on a worker and asks for a report of them.
type Renew struct {
	Target
	// Until is the new end of the lease, by the worker's clock; 0 leaves the
	// lease unchanged.
	Until fleet.ClockReading
	// AckedEnd is the sequence number of the last end that the worker may
	// forget; 0 for none.
	AckedEnd uint64
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// RenewResult is the result of a Renew.
type RenewResult struct {
	Renew Renew
	// Sent is when the order was sent.
	Sent    unit.Instant
	Verdict fleet.Verdict
	Report  fleet.Report
}

// Ask is a question to the advice service: on which of the workers may a step
// run?
type Ask struct {
	Step    job.StepID
	Workers []id.Worker
	// Adviser is the index of the host that asks, from 0.
	Adviser int
	// AnswerTime is how long the service needs to answer.
	AnswerTime time.Duration
}

// Permit is the advice service's permission to run a step on one incarnation of
// a worker.
type Permit struct {
	Worker id.Worker
	Ticket string
}

// AskResult is the result of an Ask. Workers that were asked about and have no
// permit may not run the step.
type AskResult struct {
	Ask     Ask
	Verdict fleet.Verdict
	Permits []Permit
	// ValidFor is how long the permits are valid from the answer on. Sent is
	// when the question was sent.
	ValidFor time.Duration
	Sent     unit.Instant
}

// Upkeep orders a machine to be taken down for its maintenance. Everything that
// runs there is killed.
type Upkeep struct {
	Machine id.Machine
	Wave    id.Wave
	Epoch   id.Epoch
}

// UpkeepResult is the result of an Upkeep. Stale means that the machine isn't
// part of the wave, Invalid that there is no such machine, and Busy that it
// can't be taken down now.
type UpkeepResult struct {
	Upkeep  Upkeep
	Verdict fleet.Verdict
}

// Incarnation identifies the present incarnation of a machine by the worker
// name under which it began.
type Incarnation struct {
	Machine id.Machine
	Worker  id.WorkerName
}

// WaveReport reports the state of a wave to the operator.
type WaveReport struct {
	Wave     id.Wave
	Finished bool
}

// Orders are orders to workers and machines, questions to the advice service,
// and reports to the operator.
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

// Batch is a set of records for the store, and what may happen once they are
// there.
type Batch struct {
	// Jobs holds the records for the log that every host follows, Progress
	// those for the progress log. Neither waits for the other.
	Jobs, Progress []jobtable.Record
	starts         []*run
	acks           []ack
	// ended holds the jobs whose outcome is in Jobs.
	ended []*jobState
}

// ack is a worker's last end that it may forget once the batch is in the store.
type ack struct {
	worker *worker
	seen   uint64
}

// scale returns t multiplied by a factor.
func scale(t time.Duration, factor float64) time.Duration { return time.Duration(float64(t) * factor) }
