package record

import (
	"time"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// Entry is one change of the state within a batch. Exactly one field is set.
type Entry struct {
	Claim      *Claim         `cbor:"1,keyasint,omitempty"`
	Configure  *Configure     `cbor:"2,keyasint,omitempty"`
	Submit     *Submit        `cbor:"3,keyasint,omitempty"`
	Cancel     *Cancel        `cbor:"4,keyasint,omitempty"`
	Place      *Place         `cbor:"5,keyasint,omitempty"`
	End        *End           `cbor:"6,keyasint,omitempty"`
	ClaimKey   *KeyClaim      `cbor:"7,keyasint,omitempty"`
	Snapshot   *SnapshotChunk `cbor:"8,keyasint,omitempty"`
	ReleaseKey *KeyClaim      `cbor:"9,keyasint,omitempty"`
}

// Claim makes a host the owner of scheduling. It is accepted only if the epoch it
// replaces is still in force, so of two concurrent claims only one is accepted.
type Claim struct {
	Host id.Host `cbor:"1,keyasint"`
	// Replaces is the epoch that the claimant considered to be in force.
	Replaces id.Epoch `cbor:"2,keyasint"`
}

// Configure contains the changes of a confirmed plan. It is accepted only if the
// configuration on which the plan is based is still in force.
type Configure struct {
	Plan id.Plan `cbor:"1,keyasint"`
	// Basis is the offset of the configuration on which the plan is based.
	Basis   id.Offset       `cbor:"2,keyasint"`
	Changes []config.Change `cbor:"3,keyasint"`
}

// Job is a job as a customer submits it: a gang of tasks on adjacent accelerators.
type Job struct {
	ID       id.Job      `cbor:"1,keyasint" json:"id"`
	Customer id.Customer `cbor:"2,keyasint" json:"customer"`
	// Accelerators is the number of accelerators of the gang, 1 to block.MaxSize.
	Accelerators int `cbor:"3,keyasint" json:"accelerators"`
	// Cores and Memory are required for each accelerator.
	Cores  int        `cbor:"4,keyasint,omitempty" json:"cores,omitempty"`
	Memory unit.Bytes `cbor:"5,keyasint,omitempty" json:"memory,omitempty"`
	// Declared is the run time as estimated by the customer. It isn't trusted.
	Declared time.Duration `cbor:"6,keyasint" json:"declared"`
	// AtMostOnce marks a job that must never be started a second time.
	AtMostOnce bool `cbor:"7,keyasint,omitempty" json:"once,omitempty"`
	// Urgent puts the job before all other jobs of the same customer and lets it
	// preempt gangs on borrowed capacity.
	Urgent bool `cbor:"8,keyasint,omitempty" json:"urgent,omitempty"`
	// Trace is the W3C traceparent of the submission, for the job's spans.
	Trace string `cbor:"9,keyasint,omitempty" json:"trace,omitempty"`
	// Command is passed to the workers unchanged.
	Command string `cbor:"10,keyasint,omitempty" json:"command,omitempty"`
	// Submitted is when the entry host accepted the job, by its own clock. It is
	// used only to order the jobs of one customer.
	Submitted unit.Instant `cbor:"11,keyasint" json:"submitted"`
}

// Submit adds a job. A second submission with the same id is void, so a submission
// can be retried safely.
type Submit struct {
	Job Job `cbor:"1,keyasint"`
}

// Cancel cancels a job that hasn't ended yet.
type Cancel struct {
	Job id.Job `cbor:"1,keyasint"`
}

// Place commits a gang to a block. Until it is accepted, no task of this attempt
// runs; after that, a job that must not be repeated is never started again.
type Place struct {
	Job   id.Job      `cbor:"1,keyasint"`
	Epoch id.Epoch    `cbor:"2,keyasint"`
	Block block.Block `cbor:"3,keyasint"`
	// Attempt counts the placements of the job from 1.
	Attempt int `cbor:"4,keyasint"`
	// Lease is the lease under which the workers run the gang's tasks.
	Lease id.Lease `cbor:"7,keyasint"`
	// Cell is the guaranteed block that the gang uses; it is empty if the gang uses
	// borrowed capacity.
	Cell Cell `cbor:"5,keyasint"`
	// Home is the block at which the whole cell is placed; it contains Block. It is
	// the zero block if the gang uses borrowed capacity.
	Home block.Block `cbor:"6,keyasint"`
}

// Cell identifies one block of a guarantee.
type Cell struct {
	// Guarantee is empty for a gang on borrowed capacity.
	Guarantee id.Guarantee `cbor:"1,keyasint,omitempty" json:"guarantee,omitempty"`
	// Index counts the blocks of the guarantee from 0.
	Index int `cbor:"2,keyasint,omitempty" json:"index,omitempty"`
}

// Outcome is the way in which a placement of a job ended.
type Outcome string

// The outcomes are events of the job's state chart.
const (
	// Finished means that all tasks exited successfully.
	Finished Outcome = "finish"
	// Failed means that a task exited with an error of its own.
	Failed Outcome = "fail"
	// Lost means that the job may have run partly and must not be repeated.
	Lost Outcome = "lose"
	// Requeued means that all tasks of the gang stopped and the job will be placed
	// again.
	Requeued Outcome = "requeue"
	// Refused means that the job was rejected because it can never run.
	Refused Outcome = "refuse"
)

// End ends the current placement of a job, or rejects a job that can't run.
type End struct {
	Job     id.Job   `cbor:"1,keyasint"`
	Epoch   id.Epoch `cbor:"2,keyasint"`
	Attempt int      `cbor:"3,keyasint"`
	Outcome Outcome  `cbor:"4,keyasint"`
	Reason  string   `cbor:"5,keyasint,omitempty"`
}

// KeyClaim claims the idempotency key of a request that must not be repeated.
// The first accepted claim holds the key: only its writer may send the request,
// which runs at most once. In Entry.ReleaseKey, a KeyClaim releases the key
// instead. The writer releases a key only if no attempt of the request can have
// run.
type KeyClaim struct {
	Customer id.Customer `cbor:"1,keyasint"`
	Key      string      `cbor:"2,keyasint"`
	Host     id.Host     `cbor:"3,keyasint"`
	Request  id.Request  `cbor:"4,keyasint"`
}

// SnapshotChunk is one part of a snapshot of the state.
type SnapshotChunk struct {
	// Covers is the offset of the last record that the snapshot includes.
	Covers id.Offset `cbor:"1,keyasint"`
	// Index counts the chunks from 0 to Count-1.
	Index int `cbor:"2,keyasint"`
	Count int `cbor:"3,keyasint"`
	// Digest is the digest of the whole snapshot, the same in all its chunks.
	Digest uint64 `cbor:"4,keyasint"`
	Data   []byte `cbor:"5,keyasint"`
}
