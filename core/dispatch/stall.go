package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

// Tasks on a worker may stall while it still answers all orders. One stalled
// member holds up its whole gang, and an urgent job with it, for as long as
// that lasts. A run that makes no progress while others do is therefore stopped
// and started elsewhere.

const (
	// urgentStallTime is how long an urgent run must at least be without
	// progress to be stopped. A run of 2.5 s gains a percent every 25 ms, one
	// of a minute every 0.6 s.
	urgentStallTime = 900 * time.Millisecond
	// nonUrgentStallTime is the same time for runs that aren't urgent. They can
	// wait for their workers to recover, and stopping them loses more work.
	nonUrgentStallTime = 6 * time.Second
	// minLeadPercent is how many percentage points another member of the gang
	// must be ahead. The speeds of members' workers differ by a factor of up to
	// 1.5, so that in a run of 2.5 s the lead corresponds to more than half a
	// second.
	minLeadPercent = 20
	// almostDone is the progress, in percent, from which a run never counts as
	// stalled: it may be waiting for the other members of its gang.
	almostDone = 98
	// maxEstimateFactor times the customer's estimate is the longest time that
	// a task is assumed to take, since estimates may be far too short. A run
	// that isn't part of a gang counts as stalled only if it gains no percent
	// within a hundredth of that time.
	maxEstimateFactor = 10
	// maxStallStops is how many runs of one task, or gang, are stopped for lack
	// of progress. After that, long times without progress are assumed to be
	// normal for the task.
	maxStallStops = 2
	// urgentRenewWait replaces renewWait on a worker with an urgent run:
	// progress becomes known only when answers arrive.
	urgentRenewWait = time.Second
)

// whyStalled is the reason logged when a run without progress is stopped.
const whyStalled = "it makes no progress"

// recordProgress records the progress that a worker reports for a run. The time
// without progress counts from the last increase; if there was none yet, from
// the run's start.
func (r *run) recordProgress(now unit.Instant, percent int) {
	switch {
	case r.progressAt == 0 && percent == 0 && r.startedAt != 0:
		r.progressAt = r.startedAt
	case r.progressAt == 0, percent > r.percent:
		r.progressAt = now
	}
	if percent > 0 && r.step != nil {
		r.step.showsProgress = true
	}
}

// stopStalled stops the runs without progress on a worker that has just
// answered, and suspends the worker.
func (d *Dispatcher) stopStalled(now unit.Instant, w *worker) {
	if !d.policy.MoveStalled {
		return
	}
	var stalled []*run
	for _, r := range w.runs {
		if d.stalled(now, r) {
			stalled = append(stalled, r)
		}
	}
	for _, r := range stalled {
		if r.state == runRunning { // otherwise it was stopped with another member of its gang
			d.stopStalledRun(now, r)
		}
	}
}

// stopStalledRun stops one run that makes no progress, and suspends its worker.
func (d *Dispatcher) stopStalledRun(now unit.Instant, r *run) {
	s, w := r.step, r.worker
	if s.stallStops == nil {
		s.stallStops = map[int]int{}
	}
	s.stallStops[s.failureKey(r.task.Index)]++
	s.noteFailure(now, r.task.Index, w)
	w.failureStreak = suspendAfterFailures
	d.suspendFailing(now, w, "a task makes no progress there")
	d.stopWithGang(now, r, whyStalled)
}

// stalled reports whether a run that its worker has just reported makes no
// progress.
func (d *Dispatcher) stalled(now unit.Instant, r *run) bool {
	s := r.step
	if s == nil || r.state != runRunning || r.reportedAt != now || r.percent >= almostDone {
		return false
	}
	if s.step.LongRunning || r.bestEffort() || s.stallStops[s.failureKey(r.task.Index)] >= maxStallStops {
		return false
	}
	since, working := s.workingSince(r)
	if !working {
		return false
	}
	stalledFor := now.Sub(max(since, r.progressAt))
	if stalledFor < max(s.stallLimit(), r.redoTime(since, d.config.CheckpointInterval)) {
		return false
	}
	if s.step.Gang {
		return s.othersAhead(r)
	}
	return stalledFor >= maxEstimateFactor*s.step.Estimate/100 && r.worker.allStalled(now)
}

// stallLimit returns how long a run of the step must at least be without
// progress to be stopped.
func (s *stepState) stallLimit() time.Duration {
	if s.job.spec.Priority == 0 {
		return urgentStallTime
	}
	return nonUrgentStallTime
}

// workingSince returns when a run began to work; for a member of a gang, that
// is when the last member began. It returns false if the run, or a member of
// its gang, isn't running.
func (s *stepState) workingSince(r *run) (unit.Instant, bool) {
	if !s.step.Gang {
		return r.startedAt, r.startedAt != 0
	}
	if len(s.runs) < s.step.Count {
		return 0, false
	}
	var last unit.Instant
	for _, m := range s.runs {
		if m.state != runRunning || m.startedAt == 0 {
			return 0, false
		}
		last = max(last, m.startedAt)
	}
	return last, true
}

// redoTime returns how long a new run would need to reach the progress of this
// one.
func (r *run) redoTime(since unit.Instant, saveEvery time.Duration) time.Duration {
	worked := max(0, r.progressAt.Sub(since))
	if r.step.step.Checkpointing {
		return min(worked, saveEvery)
	}
	return worked
}

// othersAhead reports whether another member of the run's gang is ahead by at
// least minLeadPercent.
func (s *stepState) othersAhead(r *run) bool {
	for _, m := range s.runs {
		if m != r && m.percent >= r.percent+minLeadPercent {
			return true
		}
	}
	return false
}

// allStalled reports whether no run on a worker has made progress lately.
// There must be at least two, one of them of a step whose runs report progress:
// some tasks never report any.
func (w *worker) allStalled(now unit.Instant) bool {
	working, shows := 0, false
	for _, r := range w.runs {
		if r.state != runRunning || r.reportedAt != now {
			continue
		}
		if now.Sub(r.progressAt) < urgentStallTime {
			return false
		}
		working++
		shows = shows || r.step != nil && r.step.showsProgress
	}
	return working >= 2 && shows
}

// runsUrgentWork reports whether an urgent run that isn't long-running is
// running on a worker.
func (w *worker) runsUrgentWork() bool {
	for _, r := range w.runs {
		if r.step != nil && r.step.job.spec.Priority == 0 && !r.step.step.LongRunning && r.state == runRunning {
			return true
		}
	}
	return false
}
