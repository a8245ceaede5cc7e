package jobtable

import (
	"curlewsill.org/curlewsill/core/job"
)

// Shown is a job's state as callers see it.
type Shown string

// The states that are shown.
const (
	ShownQueued    Shown = "queued"
	ShownRunning   Shown = "running"
	ShownCompleted Shown = "completed"
	ShownFailed    Shown = "failed"
	ShownCancelled Shown = "cancelled"
)

// Show returns the state of an accepted job.
func (e *Entry) Show() Shown {
	switch {
	case e.Progress.Outcome == job.Completed:
		return ShownCompleted
	case e.Progress.Outcome == job.Failed:
		return ShownFailed
	case e.Cancelled || e.Progress.Outcome == job.Cancelled:
		return ShownCancelled
	case e.Progress.Began():
		return ShownRunning
	}
	return ShownQueued
}
