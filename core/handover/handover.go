// Package handover describes what an owner of the scheduling tells the hosts that may
// become the next one. The store has its decisions, but not what it alone knows: ends
// of runs that it has read and couldn't write yet, and which leases it has granted.
// Without this the next owner waits for leases that nobody has granted, and does tasks
// again that were done on workers that have ended since.
package handover

import (
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
)

// Message is what one owner knows at one time.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is that of the owner.
	Epoch id.Epoch
	// Final is set if the ownership has ended, so that the owner sends no more
	// orders. Only a final message has leases and runs.
	Final   bool
	Workers []Worker
}

// Worker is what the owner knows of one incarnation of a worker.
type Worker struct {
	_  struct{} `cbor:",toarray"`
	ID id.Worker
	// Lease is how long after the message was made the owner's orders, and those
	// of earlier owners, may keep a lease valid.
	Lease time.Duration
	// Ends holds the ends that the worker has reported and the store may lack, in
	// the order of Seq.
	Ends []fleet.End
	Runs []Run
}

// Run is what the owner knows of one run.
type Run struct {
	_    struct{} `cbor:",toarray"`
	Task job.TaskID
	Run  job.RunNumber
	// Checkpoint is the newest one that the worker has reported; empty if none.
	Checkpoint string
	// Unsent is set if no order to start the run was ever sent.
	Unsent bool
	// OpenFor is for how long after the message was made an unanswered order to
	// start the run may be carried out; 0 if there is none.
	OpenFor time.Duration
}

// Empty reports whether the message tells nothing.
func (m Message) Empty() bool { return len(m.Workers) == 0 }
