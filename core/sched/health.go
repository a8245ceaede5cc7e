package sched

import (
	"time"

	"curlewsill.org/curlewsill/core/gang"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/worker"
)

// The rules by which workers are blamed.
const (
	// quarantineAfter is the number of crashes in a row, of different jobs, that
	// put a worker into quarantine.
	quarantineAfter = 3
	// quarantineFor is how long a worker gets no tasks.
	quarantineFor = 10 * time.Minute
	// idleSync is how often a worker without tasks is synced.
	idleSync = 10 * time.Second
)

// health is what the owner knows of one worker beyond its configuration.
type health struct {
	// heard is when the worker last answered under this owner's epoch.
	heard unit.Instant
	// due is when the next sync leaves; the zero instant means at once.
	due unit.Instant
	seq id.Seq
	// full is the last whole list that was sent, as sync fullSeq; base is fullSeq
	// once the worker has reported on it.
	full    []worker.Want
	fullSeq id.Seq
	base    id.Seq
	// life is the worker's current life; 0 until it answered.
	life uint64
	// crashed lists the different jobs that crashed since the last good exit.
	crashed map[id.Job]bool
	// banned is until when the worker is in quarantine.
	banned unit.Instant
}

// alive reports whether new tasks may be placed on the worker.
func (h *health) alive(now unit.Instant) bool {
	return h.heard != 0 && now.Sub(h.heard) < idleSync+gang.Grace && now >= h.banned
}

// blame notes that a job crashed on the worker, and reports whether the worker is
// now in quarantine.
func (h *health) blame(now unit.Instant, j id.Job) {
	if h.crashed == nil {
		h.crashed = map[id.Job]bool{}
	}
	h.crashed[j] = true
	if len(h.crashed) >= quarantineAfter {
		h.banned = now.Add(quarantineFor)
		h.crashed = nil
	}
}

// clearBlame notes that a task ended well on the worker.
func (h *health) clearBlame() { h.crashed = nil }
