package dispatch

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// urgentRelaxWait is how long urgent work waits for room near its data or
	// in one rack before it takes room elsewhere. Urgent work must have begun
	// after about 3 s.
	urgentRelaxWait = 1200 * time.Millisecond
	// relaxWait is the same wait for work that isn't urgent, while there is
	// ample room. The platform counts a job as lost if it waits 3 s in that
	// case.
	relaxWait = 2 * time.Second
	// maxRelaxUsage is the fraction of a service's capacity in use below which
	// work that isn't urgent may be placed where it is slow. The platform asks
	// for work to start when less than half is in use.
	maxRelaxUsage = 0.5
)

// placeAll places the tasks that may start, most urgent first. It ends early
// when too many starts are pending.
func (d *Dispatcher) placeAll(now unit.Instant) {
	d.makePools(now)
	if len(d.pools) == 0 {
		return
	}
	d.countPending(now)
	candidates := d.candidates(now)
	d.longRunningWaits = d.releaseGangRoom(now, candidates)
	d.claimsWithoutStop = d.waitingClaims()
	for _, c := range candidates {
		allowed := d.startsLeft(len(c.waiting), c.step.step.Gang)
		if allowed == 0 {
			d.note(Note{Event: EventStartsBounded, Job: c.step.job.id, Why: fmt.Sprintf("%d starts are pending", d.window.pendingStarts)})
			return
		}
		c.waiting = c.waiting[:allowed]
		if !d.placeCandidate(now, c) {
			d.noteWaiting(now, c.step)
		}
	}
}

// noteWaiting records since when a step's tasks have found no room. If nothing
// of the job was placed yet, they have waited since they became due, whichever
// host was the owner. The platform counts a job as lost after 3 s of waiting
// while there is room. If each owner counted only from its own first attempt, a
// job could wait nearly 2 s under one owner and 2 s under the next.
func (d *Dispatcher) noteWaiting(now unit.Instant, s *stepState) {
	if s.waitingSince != 0 {
		return
	}
	s.waitingSince = now
	if len(s.job.progress.Tasks) > 0 {
		return
	}
	if due, ok := d.due(now, s); ok {
		s.waitingSince = min(now, due)
	}
}

// placeCandidate places as many of a candidate's tasks as find room. It reports
// whether all were placed, or room is reserved for them.
func (d *Dispatcher) placeCandidate(now unit.Instant, c candidate) bool {
	p := d.pools[c.step.job.spec.Service]
	if p == nil || d.unplaceable(now, &c, p) {
		return false
	}
	c.eligible = c.step.withoutRefused(p.withLabel(c.step.step.Label))
	fits := c.withoutRecentFailures(now, c.step.permitted(now, c.eligible))
	if d.isolatesGang(now, &c) {
		return d.placeSuspectGang(now, c, fits)
	}
	if !c.step.step.Gang && !d.placeSuspects(now, &c, fits) {
		d.noteWaiting(now, c.step)
	}
	if len(c.waiting) == 0 {
		return true
	}
	if d.heldBack(now, c, p, fits) {
		slow := tooSlow(fits)
		switch {
		case d.mustStartOne(now, c, p, fits):
			c.waiting = c.waiting[:1]
		case len(slow) > 0:
			fits = slow
		default:
			return false
		}
	}
	if d.useClaim(now, c, p, fits) || d.tryPlace(now, c, p, fits) {
		return true
	}
	d.consult(now, c, permitMargin)
	return false
}

// waitingClaims counts the steps of work that isn't urgent for which room is
// reserved.
func (d *Dispatcher) waitingClaims() int {
	n := 0
	for _, js := range d.open {
		for _, s := range js.steps {
			if s.claim != nil && js.spec.Priority > 0 {
				n++
			}
		}
	}
	return n
}

// tryPlace places as many of the candidate's tasks as find room, or a gang as a
// whole or not at all. It reports whether all were placed.
func (d *Dispatcher) tryPlace(now unit.Instant, c candidate, p *pool, fits []*worker) bool {
	if c.step.step.Gang {
		if !d.mayUseEmpty(now, c, p, fits) {
			fits = withoutEmpty(fits)
		}
		if p.tiers.differ() {
			return d.placeGangByTier(now, c, p, fits)
		}
		return d.placeGang(now, c, fits)
	}
	for k := range c.waiting {
		rest := c
		rest.waiting = c.waiting[k:]
		if !d.placeFirst(now, rest, p, fits) {
			return false
		}
	}
	c.step.waitingSince = 0
	return true
}

// placeFirst places the first waiting task on one of the workers that it may
// run on. If none has room, it preempts other work for all waiting tasks.
func (d *Dispatcher) placeFirst(now unit.Instant, c candidate, p *pool, fits []*worker) bool {
	s, index := c.step, c.waiting[0]
	if !s.waitedFor(now, urgentRelaxWait) {
		fits = c.fastEnough(p, fits)
	}
	mayUseEmpty := d.mayUseEmpty(now, c, p, fits) || d.mustStartOne(now, c, p, fits)
	w := d.choose(now, s, fits, mayUseEmpty, c.preferredTier(now, p))
	if w == nil {
		d.preempt(now, c, fits)
		return false
	}
	d.place(s, index, w, s.nextRun(index))
	return true
}

// withoutRefused leaves out the workers on which the advice service has refused
// the step.
func (s *stepState) withoutRefused(workers []*worker) []*worker {
	if len(s.permits) == 0 {
		return workers
	}
	out := workers[:0:0]
	for _, w := range workers {
		if !s.refusedOn(w) {
			out = append(out, w)
		}
	}
	return out
}

// nextRun returns the number of a task's next run. A gang's members share it.
func (s *stepState) nextRun(index int) job.RunNumber {
	tasks := s.job.progress.Tasks
	if len(tasks) == 0 {
		return 1
	}
	if !s.step.Gang {
		return tasks[s.base+index].Run + 1
	}
	last := job.RunNumber(0)
	for i := range s.step.Count {
		last = max(last, tasks[s.base+i].Run)
	}
	return last + 1
}

// choose returns the best worker for one task, or nil. A worker near the task's
// data comes first; another one is chosen only if mayRelax allows it. Of
// several, the best is the one with the least leftover, penalties included.
// Empty workers that are fast enough for urgent work are left out unless
// mayUseEmpty is set. Workers of the preferred tier are better than others.
func (d *Dispatcher) choose(now unit.Instant, s *stepState, fits []*worker, mayUseEmpty bool, preferred int) *worker {
	var best, remote *worker
	bestLeft, remoteLeft := 0.0, 0.0
	need := s.step.Reserved()
	for _, w := range fits {
		free := w.free()
		if !need.Fits(free) || !mayUseEmpty && w.empty() && !w.tooSlow || s.full(w, 0) || w.onProbation() && len(w.runs) > 0 {
			continue
		}
		penalty := offTierPenalty(w, preferred) + d.emptyWorkerPenalty(w) + w.failureStreakPenalty() + s.interferencePenalty(w)
		left := leftover(free.Sub(need), w.Capacity) + penalty
		if s.nearData(w) {
			if best == nil || left < bestLeft {
				best, bestLeft = w, left
			}
		} else if remote == nil || left < remoteLeft {
			remote, remoteLeft = w, left
		}
	}
	if best == nil && remote != nil && !d.mayRelax(now, s, fits, 1) {
		return nil
	}
	if best == nil {
		return remote
	}
	return best
}

// waitedFor reports whether the step's tasks have waited for at least t.
func (s *stepState) waitedFor(now unit.Instant, t time.Duration) bool {
	return s.waitingSince != 0 && now.Sub(s.waitingSince) >= t
}

// mayRelax reports whether n tasks of a step may be placed where they are slow,
// or on workers that are reserved for urgent work. Slow tasks occupy their room
// for longer, so work that isn't urgent may be placed so only while there is
// ample room: less than maxRelaxUsage is in use, and twice the tasks would fit.
// Long-running tasks must run again whenever there is room for two of them,
// however much is in use. In each case the step must have waited for
// urgentRelaxWait or relaxWait.
func (d *Dispatcher) mayRelax(now unit.Instant, s *stepState, fits []*worker, n int) bool {
	if s.job.spec.Priority == 0 {
		return s.waitedFor(now, urgentRelaxWait)
	}
	if s.step.LongRunning {
		return s.waitedFor(now, relaxWait) && s.roomFor(fits, 2)
	}
	return s.waitedFor(now, relaxWait) && d.pools[s.job.spec.Service].usage < maxRelaxUsage && s.roomFor(fits, 2*n)
}
