package world

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

// The bounds of answers, by the platform's specification.
const (
	// answerAge is how old an answer may be.
	answerAge = 2 * time.Second
	// visibleWithin is how long after its acceptance a job may be unknown, and
	// countedWithin how long it may be missing in a count.
	visibleWithin = 3 * time.Second
	countedWithin = visibleWithin + 2*time.Second
	// contactTime is how long a host must have been undisturbed to be in touch.
	contactTime = 3 * time.Second
)

// recordTime is how long an owner may take to record what it has heard, while
// the store is undisturbed.
const recordTime = time.Second

// heard is what an owner has heard of the beginning of a job.
type heard struct {
	epoch id.Epoch
	at    unit.Instant
	// gang is the gang whose members the owner has heard of; nil for other runs.
	gang *gang
}

// calmSince returns since when the store has been available and as fast as usual;
// a time to come if it isn't.
func (s *store) calmSince() unit.Instant { return max(s.upAt, s.slowUntil) }

// hearReport records the runs of a worker's report that an owner has received.
func (o *owner) hearReport(v fleet.Verdict, rep fleet.Report) {
	if v != fleet.CarriedOut || !o.world.callers.on() {
		return
	}
	for _, x := range rep.Running {
		o.hear(x.Task, x.Run)
	}
	for _, e := range rep.Ended {
		if e.Reason == fleet.EndDone || e.Reason == fleet.EndFailed {
			o.hear(e.Task, e.Run)
		}
	}
}

// hear records that a worker has told an owner that it has a run. Of a gang, the
// owner must have been told of all members of one run.
func (o *owner) hear(t job.TaskID, number job.RunNumber) {
	w := o.world
	s := w.jobs[t.Job]
	if s == nil || o.ended || s.begunAt == 0 || s.heard.epoch == o.epoch {
		return
	}
	step := &s.Spec.Steps[t.Step]
	var g *gang
	if step.Gang {
		o.members[t] = number
		g = w.gangs[gangKey{job: t.Job, round: t.Round, step: t.Step}]
		if g == nil || g.number != number || !g.complete || g.broken {
			return
		}
		for i := range step.Count {
			if o.members[job.TaskID{Job: t.Job, Round: t.Round, Step: t.Step, Index: i}] != number {
				return
			}
		}
	}
	s.heard = heard{epoch: o.epoch, at: w.now, gang: g}
}

// updateRecorded sets since when the store must show that a job has begun, or has
// ended.
func (s *submittedJob) updateRecorded(w *World) {
	if s.recordedAt != 0 {
		return
	}
	if s.endedAt != 0 {
		s.recordedAt = s.endedAt
		return
	}
	if w.owner == nil || s.heard.epoch != w.owner.epoch {
		return
	}
	if s.heard.gang != nil && s.heard.gang.broken {
		s.heard = heard{} // the owner may have stopped it before it had heard of all members
		return
	}
	if at := max(s.heard.at, w.store.calmSince()).Add(recordTime); at <= w.now {
		s.recordedAt = at
	}
}

// before reports whether something happened before a time; 0 stands for never.
func before(at, limit unit.Instant) bool { return at != 0 && at < limit }

// check checks an answer that a caller has got. s is the job that was asked for;
// nil if none was, or an unknown one.
func (c *callers) check(f *follower, q question, s *submittedJob, a answer) {
	w := c.world
	switch {
	case q.job == "":
		c.checkCount(f, q.queue, a.waiting)
	case s == nil:
		if !a.gone {
			w.recordViolation(fmt.Sprintf("%s shows %s as %s, which nobody submitted", f.host.ID, q.job, a.state))
		}
	case a.gone:
		if before(s.acceptedAt, w.now.Add(-visibleWithin)) && s.cancelSentAt == 0 {
			w.recordViolation(fmt.Sprintf("%s says that there is no job %s, accepted %s before", f.host.ID, s.Name, w.now.Sub(s.acceptedAt)))
		}
	default:
		if why := c.wrongState(s, a.state); why != "" {
			w.recordViolation(fmt.Sprintf("%s shows %s as %s, but %s", f.host.ID, s.Name, a.state, why))
		}
	}
}

// wrongState returns why a job can't be in a state that a caller was told; "" if
// it can.
func (c *callers) wrongState(s *submittedJob, state jobtable.State) string {
	w := c.world
	s.updateRecorded(w)
	oldest := w.now.Add(-answerAge)
	switch state {
	case jobtable.StateCompleted:
		for round := range s.Spec.RoundCount() {
			for step := range s.Spec.Steps {
				if !s.stepDone(round, step) {
					return "not all its steps are done"
				}
			}
		}
	case jobtable.StateFailed:
		if !s.outOfAttempts() && !s.crashesWorkers() {
			return "has attempts left"
		}
	case jobtable.StateCancelled:
		if s.cancelSentAt == 0 {
			return "nobody has cancelled it"
		}
	case jobtable.StateRunning:
		if s.begunAt == 0 {
			return "no worker has begun it"
		}
	case jobtable.StateQueued:
		if before(s.recordedAt, oldest) {
			return "it has begun or ended long before"
		}
	}
	open := state == jobtable.StateQueued || state == jobtable.StateRunning
	switch {
	case open && before(s.cancelledAt, oldest):
		return "its cancellation was acknowledged long before"
	case open && before(s.endedAt, oldest):
		return "it has ended long before"
	}
	return ""
}

// checkCount checks the number of waiting jobs that a caller was told. It must
// lie between the number of jobs that must count, and that of those that may.
func (c *callers) checkCount(f *follower, q id.Queue, n int) {
	w := c.world
	oldest := w.now.Add(-answerAge)
	must, may, long := 0, 0, 0
	kept := c.open[:0]
	for _, s := range c.open {
		s.updateRecorded(w)
		if before(s.recordedAt, oldest) || before(s.cancelledAt, oldest) {
			continue
		}
		kept = append(kept, s)
		if s.Spec.Queue != q {
			continue
		}
		may++
		if s.begunAt != 0 || s.cancelSentAt != 0 || s.endedAt != 0 {
			continue
		}
		if before(s.acceptedAt, oldest) {
			must++
		}
		if before(s.acceptedAt, w.now.Add(-countedWithin)) {
			long++
		}
	}
	clear(c.open[len(kept):])
	c.open = kept
	switch {
	case 2*n < long && f.inTouch(contactTime):
		w.recordViolation(fmt.Sprintf("%s, in touch, says that %d jobs wait, but %d that were accepted long before have not begun", f.host.ID, n, long))
	case n < must:
		w.recordViolation(fmt.Sprintf("%s says that %d jobs wait, but at least %d do", f.host.ID, n, must))
	case n > may:
		w.recordViolation(fmt.Sprintf("%s says that %d jobs wait, but at most %d do", f.host.ID, n, may))
	}
}
