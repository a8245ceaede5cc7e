package jobtable

import (
	"curlewsill.org/curlewsill/core/job"
)

// Shown is the state of a job that callers see.
type Shown string

// The states that callers see.
const (
	ShownQueued    Shown = "queued"
	ShownRunning   Shown = "running"
	ShownCompleted Shown = "completed"
	ShownFailed    Shown = "failed"
	ShownCancelled Shown = "cancelled"
)

// Show returns the state that callers see of an accepted job.
func (e *Entry) Show() Shown {
	outcome := job.Open
	if e.Summary != nil {
		outcome = e.Summary.Outcome
	}
	switch {
	case outcome == job.Completed:
		return ShownCompleted
	case outcome == job.Failed:
		return ShownFailed
	case e.Cancelled || outcome == job.Cancelled:
		return ShownCancelled
	case e.Summary != nil:
		return ShownRunning
	}
	return ShownQueued
}
