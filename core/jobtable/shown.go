package jobtable

import (
	"curlewsill.org/curlewsill/core/job"
)

// State is the state of a job that callers see.
type State string

// The states that callers see.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// State returns the state that callers see of an accepted job.
func (e *Entry) State() State {
	outcome := job.Open
	if e.Summary != nil {
		outcome = e.Summary.Outcome
	}
	switch {
	case outcome == job.Completed:
		return StateCompleted
	case outcome == job.Failed:
		return StateFailed
	case e.Cancelled || outcome == job.Cancelled:
		return StateCancelled
	case e.Summary != nil:
		return StateRunning
	}
	return StateQueued
}
