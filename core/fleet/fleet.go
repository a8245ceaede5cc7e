// Package fleet describes the workers of a service, the machines that run tasks, and
// what they answer to the owner's orders.
//
// A worker's id stands for one life of it, which after a crash is followed by another one that runs nothing and
// counts anew. That has another name, or the same name and another start. Orders name the worker and not the life, so that
// a life may get orders that were meant for the one before. A worker keeps the highest epoch that it was ordered with and
// refuses lower ones. All that runs on it is leased until one time on its own steady
// clock, which may be slow; a renewal moves that time for everything at once.
package fleet

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
)

// Clock is a reading of a worker's own steady clock.
type Clock time.Duration

// Listing is a worker as the platform's list of servers shows it.
type Listing struct {
	ID id.Worker
	// Machine is the one of which the worker is a life; empty if the list doesn't say.
	Machine id.Machine
	Address string
	Service id.Service
	Domain  id.Domain
	// Rack is where the machine stands; Labels are its kind and its rack.
	Rack     id.Rack
	Labels   []string
	Capacity job.Resources
	// Draining workers take no new tasks. Remaining is how long they stay at
	// least, from the moment that the entry was written.
	Draining  bool
	Remaining time.Duration
	Clock     Clock
}

// Verdict is what became of an order.
type Verdict int

// The verdicts.
const (
	// Unknown orders got no answer. They may have been carried out, or may be
	// seconds later.
	Unknown Verdict = iota
	// Carried out, or found to be so already.
	Carried
	// Fenced orders had an epoch below one that the worker has seen.
	Fenced
	// Stale runs are not above one that was stopped or ended there.
	Stale
	// Expired leases had passed by the worker's clock.
	Expired
	// NoRoom means that the task doesn't fit.
	NoRoom
	// NoTicket means that the advice service's ticket was missing or too old.
	NoTicket
	// Busy workers did nothing and want to be left alone for a while.
	Busy
	// Replaced lives have another one at the same address, or under the same name.
	Replaced
	// Invalid orders were not understood.
	Invalid
	// Unreachable workers were never connected to: nothing was sent.
	Unreachable
)

// verdictNames are for logs and metrics.
var verdictNames = [...]string{
	"unknown", "carried", "fenced", "stale", "expired", "no-room", "no-ticket", "busy", "replaced", "invalid", "unreachable",
}

// String returns the verdict's name for logs.
func (v Verdict) String() string { return verdictNames[v] }

// How is the way in which a run ended.
type How int

// The ends of a run.
const (
	// EndDone is success.
	EndDone How = iota
	// EndFailed is the task's own fault or the worker's; it counts as an attempt.
	EndFailed
	// EndStopped was ordered.
	EndStopped
	// EndLapsed ran out of its lease.
	EndLapsed
	// EndBroken lost another member of its gang.
	EndBroken
	// EndAlone waited too long for the other members of its gang.
	EndAlone
)

var howNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the end's name for logs.
func (h How) String() string { return howNames[h] }

// Running is one run that a worker reports.
type Running struct {
	Task       job.Task
	Run        job.Run
	Checkpoint string
	// Percent is how much of the work is done, or how well a long-running task
	// is at work.
	Percent int
	// Load is a rough figure of the last half second: for a serving task the
	// tail latency, for others the processor time in use.
	Load int64
}

// End is one run that has ended.
type End struct {
	// Seq numbers the ends of one life of the worker from 1.
	Seq        uint64
	Task       job.Task
	Run        job.Run
	How        How
	Checkpoint string
}

// Report is a worker's answer to a renewal.
type Report struct {
	// Life is the one that answered; empty if the answer doesn't say.
	Life    id.Worker
	Clock   Clock
	Running []Running
	// Ended holds the ends that the owner hasn't told the worker to forget, in their order: the first ones if
	// MoreEnds is set.
	Ended []End
	// MoreEnds is set if the worker may have ended runs of which Ended doesn't tell.
	MoreEnds bool
}
