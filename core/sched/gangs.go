package sched

import (
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/gang"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/inventory"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
)

// maxAttempts is the first attempt in which a crash of a repeatable job counts
// as the job's own failure. A crash in an earlier attempt requeues the job,
// because the worker may be the cause.
const maxAttempts = 3

// reconcile adopts the placements in the log that have no gang here, queues the
// pending jobs, and stops the gangs of jobs that have ended.
func (s *Scheduler) reconcile(now unit.Instant) {
	for _, jobID := range config.SortedKeys(s.state.Jobs) {
		j := s.state.Jobs[jobID]
		switch {
		case j.State == state.Running && s.gangs[jobID] == nil:
			p := record.Place{Job: jobID, Attempt: j.Attempt, Lease: j.Lease, Block: j.Block, Cell: j.Cell, Home: j.Home}
			s.track(&run{Gang: gang.Adopt(now, p, j.Spec, s.membersOn(j.Block)), startedAt: now})
		case j.State == state.Pending && s.gangs[jobID] == nil && !s.refusing[jobID]:
			s.backlog.Add(j.Spec, len(s.crashedOn[jobID]) > 0)
		}
	}
	for _, jobID := range config.SortedKeys(s.gangs) {
		j := s.state.Jobs[jobID]
		if j == nil || j.State != state.Pending && j.State != state.Running {
			s.stopGang(now, s.gangs[jobID], gang.Cancel, record.Requeued, "cancelled")
		}
	}
	s.dirty = true
}

// track adds a gang to all indexes.
func (s *Scheduler) track(r *run) {
	s.gangs[r.Job.ID] = r
	s.inventory.Add(r.Job.ID, inventory.Holding{
		Customer: r.Job.Customer, Block: r.Block, Cell: r.Cell, Home: r.Home,
		Once: r.Job.AtMostOnce, Urgent: r.Job.Urgent,
	})
	for _, m := range r.Members {
		if s.runsOn[m.Worker] == nil {
			s.runsOn[m.Worker] = map[id.Job]*run{}
		}
		s.runsOn[m.Worker][r.Job.ID] = r
	}
	s.markForAdvance(r)
	s.requestSync(r)
}

// untrack removes a gang from all indexes, and queues its job again if the job is
// pending.
func (s *Scheduler) untrack(r *run) {
	jobID := r.Job.ID
	delete(s.gangs, jobID)
	delete(s.toAdvance, jobID)
	s.inventory.Remove(jobID)
	for _, m := range r.Members {
		delete(s.runsOn[m.Worker], jobID)
	}
	s.dirty = true
	j := s.state.Jobs[jobID]
	switch {
	case j == nil:
	case j.State == state.Pending:
		s.backlog.Add(j.Spec, len(s.crashedOn[jobID]) > 0)
	case j.State == state.Running:
		// The log holds a placement that has no gang here.
		s.reload = true
	default:
		delete(s.crashedOn, jobID)
	}
}

// markForAdvance makes the next step advance a gang.
func (s *Scheduler) markForAdvance(r *run) { s.toAdvance[r.Job.ID] = r }

// stopGang makes a gang stop with the given outcome.
func (s *Scheduler) stopGang(now unit.Instant, r *run, ev gang.Event, o record.Outcome, reason string) {
	r.End(now, ev, o, reason)
	s.markForAdvance(r)
	s.requestSync(r)
	if r.State == gang.Stopping {
		s.inventory.MarkStopping(r.Job.ID)
	}
}

// checkSilent marks the gangs that have a silent member, so that the next step
// advances them.
func (s *Scheduler) checkSilent(now unit.Instant) {
	for _, r := range s.gangs {
		if r.HasSilentMember(now) {
			s.markForAdvance(r)
		}
	}
}

// advance advances the gangs in toAdvance and emits their log entries.
func (s *Scheduler) advance(now unit.Instant) {
	for _, jobID := range config.SortedKeys(s.toAdvance) {
		r := s.toAdvance[jobID]
		before := r.State
		r.Step(now)
		if r.State != before {
			s.dirty = true
			s.requestSync(r)
			s.markUnresponsive(r)
		}
		if r.State == gang.Stopping {
			s.inventory.MarkStopping(jobID)
		}
		if r.State == gang.Open {
			delete(s.toAdvance, jobID)
		}
		s.emitForState(now, r)
	}
}

// markUnresponsive excludes the workers that did not answer the gang's lease
// request from placement until they answer again.
func (s *Scheduler) markUnresponsive(r *run) {
	if r.Committed() || r.State != gang.Stopping {
		return
	}
	for _, m := range r.Members {
		if h := s.workers[m.Worker]; h != nil && m.State == "" {
			h.lastReport = 0
		}
	}
}

// emitForState emits the log entry that the gang's state requires, once.
func (s *Scheduler) emitForState(now unit.Instant, r *run) {
	switch r.State {
	case gang.Committing:
		if r.placementEmitted {
			return
		}
		r.placementEmitted = true
		s.emit(record.Entry{Place: &record.Place{
			Job: r.Job.ID, Epoch: s.epoch, Block: r.Block,
			Attempt: r.Attempt, Lease: r.Lease, Cell: r.Cell, Home: r.Home,
		}})
	case gang.Released:
		s.emitEnd(now, r)
	}
}

// emitEnd emits the end entry of a gang of which every member has stopped. If a
// placement entry was emitted, emitEnd first waits for the verdict on it.
func (s *Scheduler) emitEnd(now unit.Instant, r *run) {
	if r.endEmitted || r.placementEmitted && !r.verdictKnown {
		return
	}
	j := s.state.Jobs[r.Job.ID]
	if !r.Committed() || j == nil || j.State != state.Running || j.Lease != r.Lease {
		// The log doesn't have the placement, or has its end already.
		s.untrack(r)
		return
	}
	r.endEmitted = true
	s.addRunTime(now, r)
	s.emit(record.Entry{End: &record.End{
		Job: r.Job.ID, Epoch: s.epoch, Attempt: r.Attempt,
		Outcome: finalOutcome(r), Reason: r.Reason,
	}})
}

// finalOutcome returns the outcome to record in the log. A crash of a
// repeatable job becomes a requeue while the worker may be the cause. A requeue
// of a job that must not be repeated becomes a loss.
func finalOutcome(r *run) record.Outcome {
	if r.Outcome == record.Requeued && r.Job.AtMostOnce {
		return record.Lost
	}
	if r.Outcome == record.Failed && !r.Job.AtMostOnce && r.Attempt < maxAttempts {
		return record.Requeued
	}
	return r.Outcome
}

func (s *Scheduler) emit(e record.Entry) { s.decisions.Entries = append(s.decisions.Entries, e) }
