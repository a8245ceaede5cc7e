package dispatch

import (
	"cmp"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// claimTime is how long room is reserved for a step that other runs were
	// stopped for: twice the time that a stop may take by default.
	claimTime = 2 * time.Second
	// stopCost is added for each run that is stopped, members of its gang
	// included, in core-seconds, so that among choices that lose little work the
	// one with the fewest stops wins.
	stopCost = 1
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
		d.stopWithGang(now, v, "makes room for job "+string(s.job.id))
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
		case r.step != nil && r.step.job.spec.Priority > c.step.job.spec.Priority && mayStopAll(r):
			others = append(others, r)
		}
	}
	if need.Fits(free) {
		return free, nil, 0
	}
	victims, cost := pickVictims(d.stopUnits(now, others), free, need)
	for _, v := range victims {
		free = free.Add(v.taken())
	}
	return free, victims, cost
}

// stopUnit is a set of runs on one worker that are stopped together: a single
// run, or all members of a gang there.
type stopUnit struct {
	runs []*run
	room job.Resources
	// cost is what the stop loses on all workers, in core-seconds.
	cost float64
}

// stopUnits groups runs on one worker, the cheapest unit first.
func (d *Dispatcher) stopUnits(now unit.Instant, runs []*run) []stopUnit {
	var units []stopUnit
	for _, r := range runs {
		i := slices.IndexFunc(units, func(u stopUnit) bool { return r.step.step.Gang && u.runs[0].step == r.step })
		if i < 0 {
			i = len(units)
			units = append(units, stopUnit{cost: d.lostByStopping(now, r) + stopCost*float64(len(r.stoppedWith()))})
		}
		units[i].runs = append(units[i].runs, r)
		units[i].room = units[i].room.Add(r.taken())
	}
	slices.SortStableFunc(units, func(a, b stopUnit) int { return cmp.Compare(a.cost, b.cost) })
	return units
}

// pickVictims returns runs whose room, together with the free room, is
// sufficient, and the cost of stopping them. Units that turn out to be
// unnecessary are dropped again, the most expensive first.
func pickVictims(units []stopUnit, free, need job.Resources) ([]*run, float64) {
	n := 0
	for ; n < len(units) && !need.Fits(free); n++ {
		free = free.Add(units[n].room)
	}
	if !need.Fits(free) {
		return nil, 0
	}
	var victims []*run
	cost := 0.0
	for i := n - 1; i >= 0; i-- {
		if without := free.Sub(units[i].room); need.Fits(without) {
			free = without
			continue
		}
		victims = append(victims, units[i].runs...)
		cost += units[i].cost
	}
	return victims, cost
}
