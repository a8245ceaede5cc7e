package dispatch

import "time"

// Config holds the bounds that the platform sets and the retention time of
// ended jobs.
type Config struct {
	// MaxLease is the longest lease that a worker accepts, and the length of
	// those that the owner grants.
	MaxLease time.Duration
	// MaxWaitingRenewals is the maximum number of renewals that may wait at
	// workers at a time until there is something to report; each takes up a
	// connection and memory of the owner. 0 means no limit.
	MaxWaitingRenewals int
	// StopTime is the longest time that a worker may take to stop a task.
	StopTime time.Duration
	// CheckpointInterval is the run time of a task between two checkpoints.
	CheckpointInterval time.Duration
	// EndedRetention is how long the state of an ended job must be kept.
	EndedRetention time.Duration
	// HandoverDelay is how long a new owner sends no maintenance orders to
	// machines after the previous owner may have sent one.
	HandoverDelay time.Duration
	// MaintenanceTime is how long a machine is down for its maintenance.
	MaintenanceTime time.Duration
	// EvacuationLimit is how long after the operator has evacuated a failure
	// domain a task may still start there; 0 where operators don't evacuate.
	EvacuationLimit time.Duration
	// CancelLimit is how long after the cancellation of a job was acknowledged a
	// task of the job may still start; 0 for no bound, as in a model whose owner
	// learns of cancellations at once.
	CancelLimit time.Duration
}
