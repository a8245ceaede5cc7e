package sched

import (
	"time"

	"curlewsill.org/curlewsill/core/gang"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/worker"
)

// Rules of worker health.
const (
	// quarantineThreshold is the number of different jobs that must crash on a
	// worker, without a normal exit in between, to quarantine it.
	quarantineThreshold = 3
	// quarantinePeriod is how long a quarantined worker gets no new tasks.
	quarantinePeriod = 10 * time.Minute
	// idleSyncInterval is the interval of syncs to a worker without tasks.
	idleSyncInterval = 10 * time.Second
)

// health is the owner's runtime state of one worker.
type health struct {
	// lastReport is when the worker last answered under this owner's epoch; 0
	// if it has not answered yet. It is reset to 0 when the worker fails to
	// answer a lease request.
	lastReport unit.Instant
	// nextSync is when the next sync is due; the zero instant means at once.
	nextSync unit.Instant
	// seq is the sequence number of the last sync.
	seq id.Seq
	// lastList is the last complete task list that was sent, and lastListSeq
	// the sequence number of its sync. base equals lastListSeq once the worker
	// has answered that sync; until then, it is 0.
	lastList    []worker.WantedTask
	lastListSeq id.Seq
	base        id.Seq
	// incarnation is the worker's current incarnation; 0 until it has answered.
	incarnation uint64
	// crashedJobs has the jobs that crashed on the worker since the last normal
	// exit.
	crashedJobs map[id.Job]bool
	// quarantinedUntil is the end of the worker's quarantine.
	quarantinedUntil unit.Instant
}

// available reports whether new tasks may be placed on the worker.
func (h *health) available(now unit.Instant) bool {
	return h.lastReport != 0 && now.Sub(h.lastReport) < idleSyncInterval+gang.Grace && now >= h.quarantinedUntil
}

// noteCrash counts a crash of a job against the worker, and quarantines the worker
// once quarantineThreshold different jobs have crashed on it.
func (h *health) noteCrash(now unit.Instant, j id.Job) {
	if h.crashedJobs == nil {
		h.crashedJobs = map[id.Job]bool{}
	}
	h.crashedJobs[j] = true
	if len(h.crashedJobs) >= quarantineThreshold {
		h.quarantinedUntil = now.Add(quarantinePeriod)
		h.crashedJobs = nil
	}
}

// clearCrashes resets the crash count after a normal exit.
func (h *health) clearCrashes() { h.crashedJobs = nil }
