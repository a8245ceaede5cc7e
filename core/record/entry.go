package record

import (
	"time"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// Entry is one statement within a batch. Exactly one field is filled.
type Entry struct {
	Claim     *Claim     `cbor:"1,keyasint,omitempty"`
	Configure *Configure `cbor:"2,keyasint,omitempty"`
	Submit    *Submit    `cbor:"3,keyasint,omitempty"`
	Cancel    *Cancel    `cbor:"4,keyasint,omitempty"`
	Place     *Place     `cbor:"5,keyasint,omitempty"`
	End       *End       `cbor:"6,keyasint,omitempty"`
	Once      *Once      `cbor:"7,keyasint,omitempty"`
	Snapshot  *Chunk     `cbor:"8,keyasint,omitempty"`
	Release   *Once      `cbor:"9,keyasint,omitempty"`
}

// Claim makes a host the owner of scheduling. It is accepted only if the epoch it
// replaces is still in force, so of two hosts that claim at once one wins.
type Claim struct {
	Host id.Host `cbor:"1,keyasint"`
	// Replaces is the epoch that the claimant believed to be in force.
	Replaces id.Epoch `cbor:"2,keyasint"`
}

// Configure carries a confirmed plan. It is accepted only if the configuration it
// was based on is still in force.
type Configure struct {
	Plan id.Plan `cbor:"1,keyasint"`
	// Basis is the offset of the configuration that the plan was drawn upon.
	Basis   id.Offset       `cbor:"2,keyasint"`
	Changes []config.Change `cbor:"3,keyasint"`
}

// Job is what a customer asks for: a gang of tasks on adjacent accelerators.
type Job struct {
	ID       id.Job      `cbor:"1,keyasint" json:"id"`
	Customer id.Customer `cbor:"2,keyasint" json:"customer"`
	// Accelerators is the size of the gang, 1 to block.MaxSize.
	Accelerators int `cbor:"3,keyasint" json:"accelerators"`
	// Cores and Memory are needed for each accelerator.
	Cores  int        `cbor:"4,keyasint,omitempty" json:"cores,omitempty"`
	Memory unit.Bytes `cbor:"5,keyasint,omitempty" json:"memory,omitempty"`
	// Declared is the run time that the customer expects. It is not trusted.
	Declared time.Duration `cbor:"6,keyasint" json:"declared"`
	// Once marks a job that must never be started a second time.
	Once bool `cbor:"7,keyasint,omitempty" json:"once,omitempty"`
	// Urgent jobs go before all others of the same customer and may preempt
	// borrowed capacity.
	Urgent bool `cbor:"8,keyasint,omitempty" json:"urgent,omitempty"`
	// Trace is the W3C traceparent of the submission, for the job's spans.
	Trace string `cbor:"9,keyasint,omitempty" json:"trace,omitempty"`
	// Command is handed to the workers as it is.
	Command string `cbor:"10,keyasint,omitempty" json:"command,omitempty"`
	// Submitted is when the entry host took the job, by its own clock. It
	// orders the queue of one customer and decides nothing else.
	Submitted unit.Instant `cbor:"11,keyasint" json:"submitted"`
}

// Submit adds a job. A second submission of the same id is void, which makes the
// submission safe to repeat.
type Submit struct {
	Job Job `cbor:"1,keyasint"`
}

// Cancel ends a job that has not ended yet.
type Cancel struct {
	Job id.Job `cbor:"1,keyasint"`
}

// Place commits a gang to a block. It is the point of no return: before it the job
// has not run, after it a job that must not be repeated is never started again.
type Place struct {
	Job   id.Job      `cbor:"1,keyasint"`
	Epoch id.Epoch    `cbor:"2,keyasint"`
	Block block.Block `cbor:"3,keyasint"`
	// Attempt counts the placements of the job from 1.
	Attempt int `cbor:"4,keyasint"`
	// Lease is under which the workers hold the gang's tasks.
	Lease id.Lease `cbor:"7,keyasint"`
	// Cell is the guaranteed block that the gang uses; empty if it borrows.
	Cell Cell `cbor:"5,keyasint"`
	// Home is where the whole cell lies; it contains Block. It is the zero block
	// if the gang borrows.
	Home block.Block `cbor:"6,keyasint"`
}

// Cell names one block of a guarantee.
type Cell struct {
	// Guarantee is empty for a gang that borrows.
	Guarantee id.Guarantee `cbor:"1,keyasint,omitempty" json:"guarantee,omitempty"`
	// Index counts the blocks of the guarantee from 0.
	Index int `cbor:"2,keyasint,omitempty" json:"index,omitempty"`
}

// Outcome says how a job's placement ended.
type Outcome string

// The outcomes are events of the job's state chart.
const (
	// Finished means that every task exited successfully.
	Finished Outcome = "finish"
	// Failed means that a task exited with an error of its own.
	Failed Outcome = "fail"
	// Lost means that the job may have run in part and must not be repeated.
	Lost Outcome = "lose"
	// Requeued means that the gang stopped, whole, and will be placed again.
	Requeued Outcome = "requeue"
	// Refused means that the job can never run.
	Refused Outcome = "refuse"
)

// End closes the current placement of a job, or refuses a job that can't run.
type End struct {
	Job     id.Job   `cbor:"1,keyasint"`
	Epoch   id.Epoch `cbor:"2,keyasint"`
	Attempt int      `cbor:"3,keyasint"`
	Outcome Outcome  `cbor:"4,keyasint"`
	Reason  string   `cbor:"5,keyasint,omitempty"`
}

// Once claims the key of a request that must not be repeated. The first accepted
// claim wins; only its writer may send the request, and only once. As a Release it
// gives the claim back, which its writer does only while nothing was sent.
type Once struct {
	Customer id.Customer `cbor:"1,keyasint"`
	Key      string      `cbor:"2,keyasint"`
	Host     id.Host     `cbor:"3,keyasint"`
	Request  id.Request  `cbor:"4,keyasint"`
}

// Chunk is one part of a snapshot of the state.
type Chunk struct {
	// Covers is the offset of the last record that the snapshot includes.
	Covers id.Offset `cbor:"1,keyasint"`
	// Index counts the chunks from 0 to Count-1.
	Index int `cbor:"2,keyasint"`
	Count int `cbor:"3,keyasint"`
	// Digest is the digest of the whole snapshot; all chunks carry the same.
	Digest uint64 `cbor:"4,keyasint"`
	Data   []byte `cbor:"5,keyasint"`
}
