package dispatch

import (
	"math"
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

// Any host accepts cancellations, and the owner learns of them only by reading the
// jobs. While these reads fail, its appends may succeed all the same, and confirm
// that it is the owner. So that no task of a cancelled job starts later than
// Config.CancelLimit, the age of the owner's knowledge is checked when a task is
// placed, when the record of its placement is in the store, and, by
// Start.SendBefore, when its order is sent.

// maxJobsAge returns the maximum age of the owner's knowledge of cancellations, as
// of the decision, when an order to start is sent.
func (c Config) maxJobsAge() time.Duration { return max(0, c.CancelLimit-maxStartLatency) }

// ConfirmJobs sets the time as of which the owner knows all jobs and
// cancellations.
func (d *Dispatcher) ConfirmJobs(at unit.Instant) { d.jobsKnownAt = max(d.jobsKnownAt, at) }

// cancelsValidUntil returns until when the knowledge of cancellations is recent
// enough for orders to start.
func (d *Dispatcher) cancelsValidUntil() unit.Instant {
	switch {
	case d.config.CancelLimit == 0:
		return math.MaxInt64
	case d.jobsKnownAt == 0:
		return 0
	}
	return d.jobsKnownAt.Add(d.config.maxJobsAge())
}

// knowsCancels reports whether the knowledge of cancellations is recent enough for
// orders to start.
func (d *Dispatcher) knowsCancels(now unit.Instant) bool { return now <= d.cancelsValidUntil() }
