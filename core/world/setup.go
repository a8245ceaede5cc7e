package world

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
)

// Maker returns the decisions of a new owner.
type Maker func(id.Epoch, *jobtable.Table) *dispatch.Dispatcher

// Setup is what a World begins with.
type Setup struct {
	// Make is called for each new owner.
	Make    Maker
	Workers []Worker
	// Hosts holds at least one host. The first is the owner at the beginning.
	Hosts      []Host
	Guarantees []Guarantee
	Costs      Costs
	Times      Times
	// SaveEvery is how much work lies between two checkpoints of a task that saves.
	SaveEvery time.Duration
	// Far times the usual time is what a task takes away from its data's rack, or in a gang that
	// asks for one rack and has several; 0 stands for 1.
	Far float64
	// Evacuation is how long after the operator has evacuated a failure domain a task may still start there, as Make's owners are told;
	// 0 where no operator does that.
	Evacuation time.Duration
	// TellStart lets workers tell when their lives began, so that one may begin again under the name that it had.
	TellStart bool
	// Delivery says where a late order is until it is carried out, which matters where a worker begins again under its name.
	Delivery Delivery
	// Seed decides failures, clocks and which orders are late.
	Seed uint64
}

// Delivery says where a late order is until it is carried out. The platform's pages leave it open.
type Delivery int

const (
	// AtWorker is an order that reaches a life of the worker within the time limit of a call, waits there, and is over with that life.
	AtWorker Delivery = iota
	// OnTheWay is an order that is on its way all the while; whichever life the worker then has takes it.
	OnTheWay
	// OnConnection is an order that leaves on a connection to one life, which has answered a handshake there, and that reaches this life or
	// nobody; workers that tell no start are as with OnTheWay. With the others no connection is played: any life gets what is sent.
	OnConnection
)

// Deliveries returns all of them.
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

// Worker is one worker of the site.
type Worker struct {
	ID       id.Worker
	Service  id.Service
	Domain   id.Domain
	Rack     id.Rack
	Capacity job.Resources
	// Speed divides the run time of tasks; above 0, and 1 for a usual worker.
	Speed float64
}

// Host is one entry host.
type Host struct {
	ID id.Host
	// Cores is the part of a core that it may use, above 0; 1 for a whole one.
	Cores float64
}

// Guarantee is how many accelerators a customer can always have.
type Guarantee struct {
	Customer     id.Customer
	Accelerators int
}

// Costs is what the owner's work takes of a whole core. Zero costs are those of an owner that
// is never behind.
type Costs struct {
	// Pass is for one pass over the state; Worker and Task are added for each worker, and for
	// each task that waits or runs.
	Pass, Worker, Task time.Duration
	// Event is for one answer or record that is taken in, Order for one order that is sent.
	Event, Order time.Duration
}

// Times is how long things take that are no work of the owner's processor.
type Times struct {
	// Trip is the time of an order's way and its answer's together.
	Trip time.Duration
	// Gap is the time that each order takes of the owner's link; they leave in turn.
	Gap time.Duration
	// Append is how long an append takes, AppendGap the part of it in which the store takes no
	// other one.
	Append, AppendGap time.Duration
	// Read is how long it takes until hosts have read a new record, Poll the time between two reads of what the operator has
	// written.
	Read, Poll time.Duration
	// Timeout is how long the owner waits for an answer.
	Timeout time.Duration
	// PassEvery and IdleEvery are the least and the most time between two passes.
	PassEvery, IdleEvery time.Duration
	// PassShare times what a pass took is how long events are taken in before the next one.
	PassShare float64
	// Listing is how long it takes until the owner learns of a change of the workers' list.
	Listing time.Duration
	// Whole is how long the members of a gang wait for the others.
	Whole time.Duration
	// Stop is how long a task holds its room after an order to stop, Restore how long one takes to
	// go on from a checkpoint.
	Stop, Restore time.Duration
	// MaxLease is the longest lease that a worker takes; 0 for no bound, which only matters where an order is taken by another life than the one
	// by whose clock its lease is.
	MaxLease time.Duration
	// Restart is how long a worker that a task has crashed is away.
	Restart time.Duration
	// Look is the time between two looks at the group of hosts, MemberTTL how long the store
	// still lists a host that is silent.
	Look, MemberTTL time.Duration
	// Drift is the most by which a worker's clock is slow, as a part; from 0 to 0.02.
	Drift float64
}

// Job is a job as a customer hands it in.
type Job struct {
	Name id.Job
	// Spec has no time of acceptance yet.
	Spec job.Spec
	// Takes is how long the tasks really run on a worker of speed 1, in the order of rounds,
	// steps and indexes. It has one time for each task.
	Takes []time.Duration
	// FailShare is the chance that a run fails; 1 for a job that can't be done.
	FailShare float64
	// CrashAfter is how long after its start each run of the job's first task ends its worker's life; 0 for a job that
	// crashes no worker.
	CrashAfter time.Duration
	// Reborn lets the workers that it crashes be back under the names that they had.
	Reborn bool
	// CancelAfter is when the customer cancels the job; 0 for never.
	CancelAfter time.Duration
	// Kind groups jobs in what is reported.
	Kind string
}
