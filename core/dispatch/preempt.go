package dispatch

import (
	"fmt"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/eviction"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// claimTime is how long room is reserved for a step that other runs were
	// stopped for: twice the time that a stop may take by default.
	claimTime = 2 * time.Second
	// minHorizon and maxHorizon bound how far ahead room is reserved for a
	// step, such as a gang, without stopping any run for it. The search tries
	// minHorizon first and doubles it up to maxHorizon. maxWaitingClaims bounds
	// how many steps have such a reservation at a time, because reserved room
	// lies idle.
	minHorizon       = time.Second
	maxHorizon       = 8 * time.Second
	maxWaitingClaims = 2
	// fewerDivisor determines how chooseFewer searches room for a part of the
	// waiting tasks: until it finds room, it leaves out one in fewerDivisor of
	// the remaining tasks, but at least one, and searches room for the others.
	// fewerInterval is the minimum time between two such series of searches,
	// which take longer than a pass.
	fewerDivisor  = 4
	fewerInterval = 200 * time.Millisecond
)

// preempt stops work of lower priority for urgent work that finds no room, and
// reserves the room until the stopped runs have ended. For other work that must
// start now, it stops nothing, but reserves room on the workers where enough is
// expected to be free soonest.
func (d *Dispatcher) preempt(now unit.Instant, c candidate, fits []*worker) {
	s := c.step
	urgent := s.job.spec.Priority == 0
	if s.claim != nil || !urgent && (c.late || !c.pressing(now)) {
		return
	}
	if !urgent {
		d.claimSoonestRoom(now, c, fits)
		return
	}
	if !d.policy.Preempt {
		return
	}
	chosen, ok := d.choosePreempted(now, c, fits)
	if !ok && !s.step.Gang && now.Sub(s.partialTriedAt) >= fewerInterval {
		s.partialTriedAt = now
		chosen, ok = d.chooseFewer(now, c, fits)
	}
	if !ok {
		d.noteGuaranteeAtRisk(now, c)
		return
	}
	for _, v := range chosen.victims {
		d.stopWithGang(now, v, fmt.Sprintf("makes room for job %s; interruptions before: %d", s.job.id, v.interruptions()))
	}
	d.claimRoom(now, c, chosen.workers, claimTime, "work of lower priority is stopped")
}

// choosePreempted finds room for all waiting tasks of a step by stopping
// others, or reports false.
func (d *Dispatcher) choosePreempted(now unit.Instant, c candidate, fits []*worker) (assignment, bool) {
	chosen := d.chooseGang(now, c, fits, d.preemptibleRoom)
	return chosen, chosen.workers != nil && mayStopAll(chosen.victims...)
}

// chooseFewer is choosePreempted for a part of the waiting tasks. It leaves out
// more and more of them until it finds room for the rest.
func (d *Dispatcher) chooseFewer(now unit.Instant, c candidate, fits []*worker) (assignment, bool) {
	for n := len(c.waiting); n > 1; {
		n -= max(1, n/fewerDivisor)
		c.waiting = c.waiting[:n]
		if chosen, ok := d.choosePreempted(now, c, fits); ok {
			return chosen, true
		}
	}
	return assignment{}, false
}

// claimSoonestRoom reserves room for all waiting tasks of a step, such as a
// gang. It chooses the workers where enough room is expected to be free
// soonest. Without the reservation, smaller tasks would take that room one
// after the other.
func (d *Dispatcher) claimSoonestRoom(now unit.Instant, c candidate, fits []*worker) {
	if !d.policy.KeepGangRoom || d.longRunningWaits[c.step.job.spec.Service] {
		return
	}
	for horizon := minHorizon; d.claimsWithoutStop < maxWaitingClaims && horizon <= maxHorizon; horizon *= 2 {
		chosen := d.chooseGang(now, c, fits, d.roomWithin(horizon))
		if chosen.workers != nil {
			d.claimsWithoutStop++
			d.claimRoom(now, c, chosen.workers, horizon+claimTime, "other work there is expected to end soon")
			return
		}
	}
}

// roomWithin returns a roomFunc that counts the capacity that is free or is
// expected to be free within the time horizon. It stops no runs.
func (d *Dispatcher) roomWithin(horizon time.Duration) roomFunc {
	return func(now unit.Instant, _ candidate, w *worker, _ job.Resources, _ plannedStops) (job.Resources, []*run, float64) {
		free := w.free()
		for _, r := range w.runs {
			if r.startOpen(now) {
				continue
			}
			if r.state == runStopping || r.step != nil && !r.step.step.LongRunning && d.remaining(now, r) <= horizon {
				free = free.Add(r.taken())
			}
		}
		return free, nil, 0
	}
}

// preemptibleRoom is a roomFunc. It returns the capacity that is free or can be
// freed for urgent work, the runs to stop for it, and the cost of stopping them.
// The room of runs that are already being stopped, or are planned to be, counts
// as free, since it needs no further stop.
func (d *Dispatcher) preemptibleRoom(now unit.Instant, c candidate, w *worker, need job.Resources, planned plannedStops) (job.Resources, []*run, float64) {
	free := w.free()
	var others []*run
	for _, r := range w.runs {
		switch {
		case r.startOpen(now):
			// A stop wouldn't free its room before the order is too late.
		case r.state == runStopping, planned[r]:
			free = free.Add(r.taken())
		case r.step != nil && d.suspect(r.step, r.task.Index):
			// The task may have crashed workers. If its run were stopped, it
			// wouldn't show whether the task crashes another, and would use up
			// one of the few starts that are left to the task.
		case r.step != nil && r.step.job.spec.Priority > c.step.job.spec.Priority && r.mayPreempt(c) && mayStopAll(r):
			others = append(others, r)
		}
	}
	if need.Fits(free) {
		return free, nil, 0
	}
	chosen, cost := eviction.Choose(d.stopUnits(now, others), free, need)
	var victims []*run
	for _, u := range chosen {
		victims = append(victims, u.Victims...)
		free = free.Add(u.Room)
	}
	return free, victims, cost
}

// mayPreempt reports whether the run, of lower priority than the candidate, was
// interrupted rarely enough to be preempted for it.
// Long-running gangs have no bound: their run number rises over days.
func (r *run) mayPreempt(c candidate) bool {
	return eviction.MayPreempt(r.step.step.Gang && !r.step.step.LongRunning, r.interruptions(), c.withinGuarantee)
}

// interruptions returns how often earlier runs of the task, or of its gang, were
// interrupted.
func (r *run) interruptions() int {
	failures := 0
	if tasks := r.step.job.progress.Tasks; len(tasks) > 0 {
		failures = tasks[r.step.base+r.task.Index].Failures
	}
	return eviction.Interruptions(r.number, failures)
}

// stopUnits groups the runs on one worker that are stopped together.
func (d *Dispatcher) stopUnits(now unit.Instant, runs []*run) []eviction.Unit[*run] {
	var units []eviction.Unit[*run]
	for _, r := range runs {
		i := slices.IndexFunc(units, func(u eviction.Unit[*run]) bool { return r.step.step.Gang && u.Victims[0].step == r.step })
		if i < 0 {
			i = len(units)
			units = append(units, eviction.Unit[*run]{Lost: d.lostByStopping(now, r), Stops: len(r.stoppedWith())})
		}
		units[i].Victims = append(units[i].Victims, r)
		units[i].Room = units[i].Room.Add(r.taken())
	}
	return units
}
