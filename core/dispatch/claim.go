package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// claim is room reserved for the waiting tasks of a step, because other runs
// were stopped for it or are expected to end soon. It counts as reserved on its
// workers until it is used, dropped or expired.
type claim struct {
	// workers has one entry for each waiting task, or only for the first tasks
	// if there can't be room for all. A worker that is to take several tasks
	// has several entries.
	workers []*worker
	// until is when the claim expires if the room hasn't become free.
	until unit.Instant
}

// claimRoom reserves room on the workers for the waiting tasks of a step. The
// reservation expires after the duration.
func (d *Dispatcher) claimRoom(now unit.Instant, c candidate, workers []*worker, duration time.Duration, why string) {
	c.step.hold(&claim{workers: workers, until: now.Add(duration)})
	d.noteJob(EventRoomClaimed, now, c.step.job, why, duration)
}

// useClaim places a candidate on the room reserved for it once all of that is
// free. It reports whether the candidate needs no other placement in this pass.
func (d *Dispatcher) useClaim(now unit.Instant, c candidate, p *pool, fits []*worker) bool {
	s := c.step
	if s.claim == nil {
		return false
	}
	if now > s.claim.until || len(s.claim.workers) > len(c.waiting) || !s.claim.usable(now, s) {
		s.dropClaim()
		return false
	}
	if d.mayUseOtherRoom(s) && d.hasOtherRoom(now, c, c.fastEnough(p, fits)) {
		s.dropClaim()
		return false
	}
	// Permits may expire while the room becomes free.
	d.consult(now, c, permitAhead)
	if !s.claimedRoomFree() || len(s.permitted(now, s.claim.workers)) < len(s.claim.workers) {
		return true
	}
	workers := s.claim.workers
	s.dropClaim()
	d.placeOnWorkers(c, workers)
	return true
}

// mayUseOtherRoom reports whether a step may give up its reserved room and take
// other room that is free now. Urgent work may do so only under the policy
// switch TakeFreed: it then starts earlier by up to the time that the runs in
// the reserved room need to stop, and the next waiting step gets that room.
func (d *Dispatcher) mayUseOtherRoom(s *stepState) bool {
	return s.job.spec.Priority > 0 || d.policy.TakeFreed
}

// claimedRoomFree reports whether the runs that occupied the reserved room have
// all ended.
func (s *stepState) claimedRoomFree() bool {
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

// hasOtherRoom reports whether a candidate with a claim could be placed now
// without it.
func (d *Dispatcher) hasOtherRoom(now unit.Instant, c candidate, fits []*worker) bool {
	kept := c.step.claim
	c.step.dropClaim()
	found := d.chooseGang(now, c, fits, d.freeRoom).workers != nil
	c.step.hold(kept)
	return found
}

// usable reports whether all workers of a claim still accept tasks of the step.
func (c *claim) usable(now unit.Instant, s *stepState) bool {
	for _, w := range c.workers {
		if !w.usable(now) || s.refusedOn(w) {
			return false
		}
	}
	return true
}

// hold reserves the room of a claim for the step, which must have no claim.
func (s *stepState) hold(c *claim) {
	need := s.step.Reserved()
	for _, w := range c.workers {
		w.updateCounts(func() { w.reserved = w.reserved.Add(need) })
	}
	s.claim = c
}

// dropClaim releases the room that is reserved for a step, if any.
func (s *stepState) dropClaim() {
	if s.claim == nil {
		return
	}
	need := s.step.Reserved()
	for _, w := range s.claim.workers {
		w.updateCounts(func() { w.reserved = w.reserved.Sub(need) })
	}
	s.claim = nil
}
