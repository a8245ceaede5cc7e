package world

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
)

// DispatcherFactory returns the dispatcher of a new owner.
type DispatcherFactory func(id.Epoch, *jobtable.Table) *dispatch.Dispatcher

// Setup is the initial configuration of a World.
type Setup struct {
	// NewDispatcher is called for each new owner.
	NewDispatcher DispatcherFactory
	Workers       []Worker
	// Hosts holds at least one host. The first one is the owner at the
	// beginning.
	Hosts      []Host
	Guarantees []Guarantee
	Costs      Costs
	Callers    Callers
	Times      Times
	// CheckpointInterval is the amount of work between two checkpoints of a
	// task that saves checkpoints.
	CheckpointInterval time.Duration
	// CrossRackSlowdown is the factor by which a task is slower when it runs
	// outside the rack of its data, or in a gang that asks for one rack and
	// spans several. 0 stands for 1.
	CrossRackSlowdown float64
	// EvacuationBound is how long after the operator has evacuated a failure
	// domain a task may still start there. The dispatchers that NewDispatcher
	// returns are configured with the same bound. 0 disables evacuations.
	EvacuationBound time.Duration
	// ReportStart lets workers report when their incarnations started, so that a
	// worker may restart under the name that it had.
	ReportStart bool
	// Delivery says where a late order waits until it is executed. This matters
	// when a worker restarts under its name.
	Delivery Delivery
	// StrictSuccesses checks each acknowledged success, also if the worker's lease
	// has expired since.
	StrictSuccesses bool
	// MachineList lets owners read the platform's list of machines. Handovers lets
	// owners tell other hosts what they know. MembershipsLapse drops all hosts from
	// the group in an outage.
	MachineList, Handovers, MembershipsLapse bool
	// OnNote is called for each note of an owner; nil for none.
	OnNote func(dispatch.Note)
	// Seed determines failures, clocks and which orders are late.
	Seed uint64
}

// Delivery says where a late order waits until it is executed. The platform's
// specification leaves this open.
type Delivery int

const (
	// AtWorker lets a late order reach an incarnation of the worker within the
	// timeout of a call and wait there. The order is dropped when that
	// incarnation ends.
	AtWorker Delivery = iota
	// OnTheWay lets a late order spend the whole delay in the network.
	// Whichever incarnation the worker has on arrival executes it.
	OnTheWay
	// OnConnection sends each order on a connection to one incarnation, which
	// has answered a handshake on this connection. The order reaches this
	// incarnation or none. For workers that don't report their start, it is the
	// same as OnTheWay. AtWorker and OnTheWay simulate no connections, so an
	// order reaches any incarnation.
	OnConnection
)

// Deliveries returns all deliveries.
func Deliveries() []Delivery { return []Delivery{AtWorker, OnTheWay, OnConnection} }

// String implements fmt.Stringer.
func (d Delivery) String() string {
	switch d {
	case AtWorker:
		return "at-worker"
	case OnTheWay:
		return "on-the-way"
	case OnConnection:
		return "on-connection"
	}
	return fmt.Sprintf("delivery %d", int(d))
}

// Worker describes one worker of the site.
type Worker struct {
	ID       id.Worker
	Service  id.Service
	Domain   id.Domain
	Rack     id.Rack
	Capacity job.Resources
	// Speed divides the run time of tasks. It is above 0, and 1 for an average
	// worker.
	Speed float64
}

// Host describes one host.
type Host struct {
	ID id.Host
	// Cores is the number of cores that the host may use, above 0 and possibly
	// a fraction.
	Cores float64
}

// Guarantee is the number of accelerators that a customer can have at any time.
type Guarantee struct {
	Customer     id.Customer
	Accelerators int
}

// Costs holds the processor time, on a whole core, of the owner's work. With
// zero costs the owner never falls behind.
type Costs struct {
	// Pass is the cost of one scheduling pass. Worker is added for each worker,
	// and Task for each task that waits or runs.
	Pass, Worker, Task time.Duration
	// Event is the cost of processing one answer or record, Order that of
	// sending one order.
	Event, Order time.Duration
}

// Times holds delays and periods other than the owner's processor time.
type Times struct {
	// RoundTrip is the round-trip time of an order and its answer.
	RoundTrip time.Duration
	// LinkTime is the time for which each order occupies the owner's network
	// link. Orders leave one after the other.
	LinkTime time.Duration
	// Append is the duration of an append. During its first part, AppendGap,
	// the store begins no other append.
	Append, AppendGap time.Duration
	// ReadDelay is the delay until hosts have read a new record. OperatorPoll
	// is the period at which the owner reads the operator's records.
	ReadDelay, OperatorPoll time.Duration
	// Timeout is how long the owner waits for an answer.
	Timeout time.Duration
	// MinPassInterval and MaxPassInterval are the minimum and the maximum time
	// between two scheduling passes.
	MinPassInterval, MaxPassInterval time.Duration
	// EventTimeFactor determines the minimum pause after a scheduling pass: it
	// is the pause divided by the duration of the pass. The pause leaves time
	// to process events, and applies even where it exceeds MaxPassInterval.
	EventTimeFactor float64
	// ListingDelay is the delay until the owner learns of a change of the list
	// of workers.
	ListingDelay time.Duration
	// GangTimeout is how long the members of a gang wait for the other members.
	GangTimeout time.Duration
	// StopTime is how long a task holds its resources after a stop order.
	// RestoreTime is how long a task takes to resume from a checkpoint.
	StopTime, RestoreTime time.Duration
	// MaxLease is the longest lease that a worker accepts; 0 for no bound. The
	// bound only matters when an incarnation executes an order whose lease was
	// computed from the clock of another incarnation.
	MaxLease time.Duration
	// RestartDelay is how long a worker is down after a task has crashed it.
	RestartDelay time.Duration
	// GroupPoll is the period at which a host polls the group of hosts.
	// MemberTTL is how long the store still lists a host that is down, and the
	// list of workers still shows a worker that is down or partitioned.
	GroupPoll, MemberTTL time.Duration
	// MaxDrift is the maximum fraction by which a worker's clock is slow, from
	// 0 to 0.02.
	MaxDrift float64
}

// Job is a job as a customer submits it.
type Job struct {
	Name id.Job
	// Spec has no time of acceptance yet.
	Spec job.Spec
	// RunTimes holds the real run time of each task on a worker of speed 1, in
	// the order of rounds, steps and indexes.
	RunTimes []time.Duration
	// Tails holds the positions in RunTimes of tasks that take TailFactor times
	// as long as RunTimes says. Outcome.Chain and Outcome.Work don't include
	// the additional time, because customers don't expect it.
	Tails      []int
	TailFactor float64
	// FailProbability is the probability that a run fails; 1 for a job that
	// can't complete.
	FailProbability float64
	// CrashAfter is how long after its start each run of the job's first task
	// crashes its worker; 0 for a job that crashes no worker.
	CrashAfter time.Duration
	// SameName lets the workers that the job crashes restart under the names
	// that they had.
	SameName bool
	// CancelAfter is how long after the submission the customer cancels the
	// job; 0 for never.
	CancelAfter time.Duration
	// StoredAfter is how long after the submission the job's record reaches the
	// store, if that is later than the host waits: the customer gets no answer. It
	// is 0 for a job that is stored in time.
	StoredAfter time.Duration
	// Kind groups jobs in reports.
	Kind string
}
