// Package fleet describes the workers of a service, the machines that run
// tasks, and their answers to the owner's orders.
//
// A worker's id identifies one incarnation. After a crash the worker continues
// as a new incarnation, which runs no tasks and restarts its counters. The new
// incarnation has another name, or the same name and another start time. Orders
// are addressed to the worker's name and not to an incarnation, so an
// incarnation may receive orders that were meant for the one before. A worker
// keeps the highest fence that it has seen in an order, and rejects orders with
// a lower one. One lease covers all runs on a worker. It expires at a time on
// the worker's own monotonic clock, which may run slow; a renewal extends it
// for all runs.
package fleet

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
)

// ClockReading is a reading of a worker's own monotonic clock.
type ClockReading time.Duration

// Listing is the entry of a worker in the platform's list of servers.
type Listing struct {
	ID id.Worker
	// Machine is the machine of which the worker is an incarnation; empty if the
	// list doesn't contain it.
	Machine id.Machine
	Address string
	Service id.Service
	Domain  id.Domain
	// Rack is the rack of the machine; Labels are its kind and its rack.
	Rack     id.Rack
	Labels   []string
	Capacity job.Resources
	// Draining workers accept no new tasks. Remaining is the least time for
	// which they stay up, counted from when the entry was written.
	Draining  bool
	Remaining time.Duration
	Clock     ClockReading
}

// Verdict is the result of an order.
type Verdict int

// The results of an order.
const (
	// Unknown orders got no answer. They may have been carried out, or may
	// still be carried out seconds later.
	Unknown Verdict = iota
	// CarriedOut orders were carried out, or had no effect because the worker was
	// in the requested state already.
	CarriedOut
	// Fenced orders had a fence below one that the worker has seen.
	Fenced
	// Stale orders are out of date. Either a run of the task with the same or a
	// higher number was already stopped or has already ended on the worker, or
	// the machine doesn't belong to the maintenance wave that the order names.
	Stale
	// LeaseExpired orders had a lease that had expired by the worker's clock.
	LeaseExpired
	// NoRoom means that the worker lacks free resources for the task.
	NoRoom
	// NoTicket means that the ticket of the advice service was missing or had
	// expired.
	NoTicket
	// Busy workers did nothing and accept no orders for a while.
	Busy
	// Replaced means that another incarnation answered at the worker's address,
	// or under its name.
	Replaced
	// Invalid orders were rejected as malformed.
	Invalid
	// Unreachable means that no connection was established: nothing was sent.
	Unreachable
)

// verdictNames are the names of the verdicts in logs and metrics.
var verdictNames = [...]string{
	"unknown", "carried", "fenced", "stale", "expired", "no-room", "no-ticket", "busy", "replaced", "invalid", "unreachable",
}

// String returns the verdict's name for logs.
func (v Verdict) String() string { return verdictNames[v] }

// EndReason is the reason for which a run has ended.
type EndReason int

// The reasons for which a run ends.
const (
	// EndDone is success.
	EndDone EndReason = iota
	// EndFailed is a failure caused by the task or by the worker; it counts as
	// an attempt.
	EndFailed
	// EndStopped is a stop that was ordered.
	EndStopped
	// EndLeaseExpired is the expiry of the lease.
	EndLeaseExpired
	// EndGangBroken is the loss of another member of the gang.
	EndGangBroken
	// EndGangTimeout is a timeout while waiting for the other members of the gang.
	EndGangTimeout
)

// endReasonNames are the names of the end reasons in logs.
var endReasonNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the reason for logs.
func (r EndReason) String() string { return endReasonNames[r] }

// Running is one run that a worker reports as running.
type Running struct {
	Task       job.TaskID
	Run        job.RunNumber
	Checkpoint string
	// Percent is the completed part of the work in percent. For a long-running
	// task it is 100 while the task is fully operational.
	Percent int
	// Load is an approximate measurement over the last half second. For a task
	// that serves requests it is the tail latency in milliseconds, for other
	// tasks the used CPU time.
	Load int64
}

// End is one run that has ended.
type End struct {
	// Seq numbers the ends within one incarnation of the worker, from 1.
	Seq        uint64
	Task       job.TaskID
	Run        job.RunNumber
	Reason     EndReason
	Checkpoint string
}

// Report is a worker's answer to a renewal.
type Report struct {
	// Incarnation is the incarnation that answered; empty if the answer doesn't
	// contain it.
	Incarnation id.Worker
	Clock       ClockReading
	Running     []Running
	// Ended holds, in order of Seq, the ends that the owner has not
	// acknowledged yet. If MoreEnds is set, it holds only the first of them.
	Ended []End
	// MoreEnds is set if there may be ends that Ended doesn't contain.
	MoreEnds bool
}
