package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// claim is room that is kept for the waiting tasks of a step: others were stopped for it,
// or are expected to end soon. It counts as reserved on its workers until it is used,
// dropped, or over.
type claim struct {
	// workers has one worker for each waiting task, or for the first of them if there
	// can't be room for all; a worker that is to take several is listed as often.
	workers []*worker
	// until is when the room is given up if it has not become free.
	until unit.Instant
}

// keep reserves room for the waiting tasks of a step, for a time.
func (d *Dispatcher) keep(now unit.Instant, c candidate, workers []*worker, lasts time.Duration, why string) {
	c.step.hold(&claim{workers: workers, until: now.Add(lasts)})
	d.noteJob(EventRoomClaimed, now, c.step.job, why, lasts)
}

// useClaim places a candidate on the room that is kept for it once that is free. It
// reports whether the candidate is taken care of.
func (d *Dispatcher) useClaim(now unit.Instant, c candidate, fits []*worker) bool {
	s := c.step
	if s.claim == nil {
		return false
	}
	if now > s.claim.until || len(s.claim.workers) > len(c.waiting) || !s.claim.sound(now, s) {
		s.dropClaim()
		return false
	}
	if d.mayLeave(s) && d.roomElsewhere(now, c, fits) {
		s.dropClaim()
		return false
	}
	// Permits may run out while the room becomes free.
	d.consult(now, c, permitAhead)
	if !s.claimFree() || len(s.permitted(now, s.claim.workers)) < len(s.claim.workers) {
		return true
	}
	workers := s.claim.workers
	s.dropClaim()
	d.placeOn(c, workers)
	return true
}

// mayLeave reports whether a step may give up the room that is kept for it for other room that is
// free. Urgent work so begins up to the time of a stop earlier, and what was freed for it goes to the
// next that waits.
func (d *Dispatcher) mayLeave(s *stepState) bool {
	return s.job.spec.Priority > 0 || d.policy.TakeFreed
}

// claimFree reports whether the runs that had the kept room have all ended.
func (s *stepState) claimFree() bool {
	need := s.step.Reserved()
	want := map[id.Worker]job.Resources{}
	for _, w := range s.claim.workers {
		want[w.ID] = want[w.ID].Add(need)
	}
	for _, w := range s.claim.workers {
		// The claim's own room is part of what is reserved.
		if !want[w.ID].Fits(w.free().Add(want[w.ID])) {
			return false
		}
	}
	return true
}

// roomElsewhere reports whether work for which room is kept could be placed now if it
// were not.
func (d *Dispatcher) roomElsewhere(now unit.Instant, c candidate, fits []*worker) bool {
	kept := c.step.claim
	c.step.dropClaim()
	found := d.chooseGang(now, c, fits, d.plainRoom).workers != nil
	c.step.hold(kept)
	return found
}

// sound reports whether all workers of a claim still take tasks of the step.
func (c *claim) sound(now unit.Instant, s *stepState) bool {
	for _, w := range c.workers {
		if !w.usable(now) || s.refusedOn(w) {
			return false
		}
	}
	return true
}

// hold makes a claim keep its room. The step has none at that time.
func (s *stepState) hold(c *claim) {
	need := s.step.Reserved()
	for _, w := range c.workers {
		w.recount(func() { w.reserved = w.reserved.Add(need) })
	}
	s.claim = c
}

// dropClaim gives the room that is kept for a step back, if there is any.
func (s *stepState) dropClaim() {
	if s.claim == nil {
		return
	}
	need := s.step.Reserved()
	for _, w := range s.claim.workers {
		w.recount(func() { w.reserved = w.reserved.Sub(need) })
	}
	s.claim = nil
}
