package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

// Tasks on a worker may stand still while it answers all orders. One such member holds its whole gang up, and an urgent job with it, for as long as
// that lasts. A run that makes no progress while others do is stopped and started elsewhere.

const (
	// stallAfter is the least time without progress of an urgent run. A run of 2.5 s shows another percent each 25 ms, one of a minute each 0.6 s.
	stallAfter = 900 * time.Millisecond
	// patientStall is the same for others. They have time until their workers go on, and stopping them throws more work away.
	patientStall = 6 * time.Second
	// aheadPercent is by how many percent another member of a gang must be ahead. Members differ by their workers' speed, up to one and a half
	// times, so that it is more than half a second of a run of 2.5 s.
	aheadPercent = 20
	// almostDone is the progress from which a run may be waiting for the others of its gang.
	almostDone = 98
	// slowestEstimate times the customer's guess is how long a task may take, since guesses may be far too short. It shows another percent in each
	// hundredth of that.
	slowestEstimate = 10
	// mostStalls is how many runs of one task, or gang, are stopped for it. Beyond, it is taken to be the task's way.
	mostStalls = 2
	// urgentWait is renewWait on a worker with an urgent run: progress is seen as answers come.
	urgentWait = time.Second
)

// whyStalled is why a run is stopped that makes no progress.
const whyStalled = "it makes no progress"

// progressed takes in the progress of a run that its worker tells. Before the first report it counts from the run's start.
func (r *run) progressed(now unit.Instant, percent int) {
	switch {
	case r.advanced == 0 && percent == 0 && r.started != 0:
		r.advanced = r.started
	case r.advanced == 0, percent > r.percent:
		r.advanced = now
	}
	if percent > 0 && r.step != nil {
		r.step.showsProgress = true
	}
}

// stopStalled stops the runs on a worker that has just answered which make no progress, and suspends the worker.
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
		if r.state == runRunning { // else it was stopped with another member of its gang
			d.stopStalledRun(now, r)
		}
	}
}

// stopStalledRun stops one run that makes no progress.
func (d *Dispatcher) stopStalledRun(now unit.Instant, r *run) {
	s, w := r.step, r.worker
	if s.stalls == nil {
		s.stalls = map[int]int{}
	}
	s.stalls[s.failureKey(r.task.Index)]++
	s.noteFailure(now, r.task.Index, w)
	w.streak = failStreak
	d.suspendFailing(now, w, "a task makes no progress there")
	d.stopRun(now, r, whyStalled)
}

// stalled reports whether a run that its worker has just told of makes no progress.
func (d *Dispatcher) stalled(now unit.Instant, r *run) bool {
	s := r.step
	if s == nil || r.state != runRunning || r.reported != now || r.percent >= almostDone {
		return false
	}
	if s.step.LongRunning || r.fills() || s.stalls[s.failureKey(r.task.Index)] >= mostStalls {
		return false
	}
	since, atWork := s.atWorkSince(r)
	if !atWork {
		return false
	}
	quiet := now.Sub(max(since, r.advanced))
	if quiet < max(s.stallLimit(), r.lostWork(since, d.config.SaveEvery)) {
		return false
	}
	if s.step.Gang {
		return s.othersAhead(r)
	}
	return quiet >= slowestEstimate*s.step.Estimate/100 && r.worker.standsStill(now)
}

// stallLimit returns the least time without progress for which a run of the step is stopped.
func (s *stepState) stallLimit() time.Duration {
	if s.job.spec.Priority == 0 {
		return stallAfter
	}
	return patientStall
}

// atWorkSince returns when a run began to work, which for a member of a gang is when all had begun, and false if it isn't at work.
func (s *stepState) atWorkSince(r *run) (unit.Instant, bool) {
	if !s.step.Gang {
		return r.started, r.started != 0
	}
	if len(s.runs) < s.step.Count {
		return 0, false
	}
	var last unit.Instant
	for _, m := range s.runs {
		if m.state != runRunning || m.started == 0 {
			return 0, false
		}
		last = max(last, m.started)
	}
	return last, true
}

// lostWork returns how long a new start needs to come as far as the run has come.
func (r *run) lostWork(since unit.Instant, saveEvery time.Duration) time.Duration {
	worked := max(0, r.advanced.Sub(since))
	if r.step.step.Checkpointing {
		return min(worked, saveEvery)
	}
	return worked
}

// othersAhead reports whether another member of the run's gang has come further.
func (s *stepState) othersAhead(r *run) bool {
	for _, m := range s.runs {
		if m != r && m.percent >= r.percent+aheadPercent {
			return true
		}
	}
	return false
}

// standsStill reports whether nothing on a worker has made progress lately, of two runs at least, one of them of a step that shows some: others may
// show none by their nature.
func (w *worker) standsStill(now unit.Instant) bool {
	atWork, shows := 0, false
	for _, r := range w.runs {
		if r.state != runRunning || r.reported != now {
			continue
		}
		if now.Sub(r.advanced) < stallAfter {
			return false
		}
		atWork++
		shows = shows || r.step != nil && r.step.showsProgress
	}
	return atWork >= 2 && shows
}

// urgent reports whether an urgent run is at work on a worker.
func (w *worker) urgent() bool {
	for _, r := range w.runs {
		if r.step != nil && r.step.job.spec.Priority == 0 && !r.step.step.LongRunning && r.state == runRunning {
			return true
		}
	}
	return false
}
