package dispatch

import "time"

// Config holds the bounds that the platform sets and how long ended jobs are kept.
type Config struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// MostWaits is how many renewals may wait for news at workers at a time, which the owner's connections and memory bound; 0 for
	// any number.
	MostWaits int
	// StopTime is how long a worker may take to stop a task.
	StopTime time.Duration
	// SaveEvery is how much of a task's run time passes between two checkpoints.
	SaveEvery time.Duration
	// KeepEnded is how long the state of an ended job must be known.
	KeepEnded time.Duration
	// Handover is how long a new owner orders no machine about after another one may have.
	Handover time.Duration
	// Away is how long a machine is down for its maintenance.
	Away time.Duration
	// Evacuation is how long after the operator has evacuated a failure domain a task may still start there; 0 where no operator
	// does that.
	Evacuation time.Duration
}
