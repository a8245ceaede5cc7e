package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// claim is room that tasks were stopped for.
type claim struct {
	// workers has one worker for each member.
	workers []*worker
	until   unit.Instant
}

// keep reserves room for the waiting tasks of a step.
func (d *Dispatcher) keep(now unit.Instant, c candidate, workers []*worker, until time.Duration, why string) {
	need := c.step.step.Reserved()
	for _, w := range workers {
		w.reserved = w.reserved.Add(need)
	}
	c.step.claim = &claim{workers: workers, until: now.Add(until)}
	d.note(Note{Event: "room-claimed", Job: c.step.job.id, Why: why, Estimate: until, Age: now.Sub(c.step.job.spec.Accepted)})
}

// useClaim places a candidate on the room that is kept for it once that is free. It
// reports whether the candidate is taken care of.
func (d *Dispatcher) useClaim(now unit.Instant, c candidate, fits []*worker) bool {
	s := c.step
	if s.claim == nil {
		return false
	}
	if now > s.claim.until || len(s.claim.workers) != len(c.waiting) || !s.claim.sound(now) {
		d.dropClaim(s)
		return false
	}
	if s.job.spec.Priority > 0 && d.roomElsewhere(now, c, fits) {
		d.dropClaim(s)
		return false
	}
	need := s.step.Reserved()
	want := map[id.Worker]job.Resources{}
	for _, w := range s.claim.workers {
		want[w.ID] = want[w.ID].Add(need)
	}
	for _, w := range s.claim.workers {
		// The claim's own room is part of what is reserved.
		if !want[w.ID].Fits(w.free().Add(want[w.ID])) {
			return true
		}
	}
	workers := s.claim.workers
	d.dropClaim(s)
	if s.step.Gang {
		d.startGang(c, workers)
		return true
	}
	for at, i := range c.waiting {
		d.place(s, i, workers[at], s.nextRun(i))
	}
	s.waitingSince = 0
	return true
}

// roomElsewhere reports whether a gang for which room is kept could be placed now if it
// were not.
func (d *Dispatcher) roomElsewhere(now unit.Instant, c candidate, fits []*worker) bool {
	kept := c.step.claim
	d.dropClaim(c.step)
	found := d.chooseGang(now, c, fits, d.plainRoom).workers != nil
	need := c.step.step.Reserved()
	for _, w := range kept.workers {
		w.reserved = w.reserved.Add(need)
	}
	c.step.claim = kept
	return found
}

// sound reports whether all workers of a claim still take tasks.
func (c *claim) sound(now unit.Instant) bool {
	for _, w := range c.workers {
		if !w.usable(now) {
			return false
		}
	}
	return true
}

func (d *Dispatcher) dropClaim(s *stepState) {
	if s.claim == nil {
		return
	}
	need := s.step.Reserved()
	for _, w := range s.claim.workers {
		w.reserved = w.reserved.Sub(need)
	}
	s.claim = nil
}
