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

// maxAttempts is how often a repeatable job is placed before a crash is taken for
// the job's own fault.
const maxAttempts = 3

// compare takes over the placements that the log holds and no gang stands for, queues
// the jobs that wait, and stops the gangs of jobs that have ended.
func (s *Scheduler) compare(now unit.Instant) {
	for _, name := range config.Sorted(s.state.Jobs) {
		j := s.state.Jobs[name]
		switch {
		case j.State == state.Running && s.gangs[name] == nil:
			p := record.Place{Job: name, Attempt: j.Attempt, Lease: j.Lease, Block: j.Block, Cell: j.Cell, Home: j.Home}
			s.keep(&run{Gang: gang.Adopt(now, p, j.Spec, s.members(j.Block)), began: now})
		case j.State == state.Pending && s.gangs[name] == nil && !s.ends[name]:
			s.backlog.Add(j.Spec, len(s.bad[name]) > 0)
		}
	}
	for _, name := range config.Sorted(s.gangs) {
		j := s.state.Jobs[name]
		if j == nil || j.State != state.Pending && j.State != state.Running {
			s.end(now, s.gangs[name], gang.Cancel, record.Requeued, "cancelled")
		}
	}
	s.dirty = true
}

// keep adds a gang to all indexes.
func (s *Scheduler) keep(r *run) {
	s.gangs[r.Job.ID] = r
	s.inventory.Add(r.Job.ID, inventory.Holding{
		Customer: r.Job.Customer, Block: r.Block, Cell: r.Cell, Home: r.Home,
		Once: r.Job.Once, Urgent: r.Job.Urgent,
	})
	for _, m := range r.Members {
		if s.tasks[m.Worker] == nil {
			s.tasks[m.Worker] = map[id.Job]*run{}
		}
		s.tasks[m.Worker][r.Job.ID] = r
	}
	s.touch(r)
	s.wake(r)
}

// forget removes a gang from all indexes, and queues its job again if it waits.
func (s *Scheduler) forget(r *run) {
	name := r.Job.ID
	delete(s.gangs, name)
	delete(s.hot, name)
	s.inventory.Remove(name)
	for _, m := range r.Members {
		delete(s.tasks[m.Worker], name)
	}
	s.dirty = true
	j := s.state.Jobs[name]
	switch {
	case j == nil:
	case j.State == state.Pending:
		s.backlog.Add(j.Spec, len(s.bad[name]) > 0)
	case j.State == state.Running:
		// The log holds a placement that nobody here stands for.
		s.reload = true
	default:
		delete(s.bad, name)
	}
}

// touch makes the next step look at a gang.
func (s *Scheduler) touch(r *run) { s.hot[r.Job.ID] = r }

// end makes a gang stop.
func (s *Scheduler) end(now unit.Instant, r *run, ev gang.Event, o record.Outcome, reason string) {
	r.End(now, ev, o, reason)
	s.touch(r)
	s.wake(r)
	if r.State == gang.Stopping {
		s.inventory.Leave(r.Job.ID)
	}
}

// sweep looks for gangs with a silent member.
func (s *Scheduler) sweep(now unit.Instant) {
	for _, r := range s.gangs {
		if r.Silent(now) {
			s.touch(r)
		}
	}
}

// advance moves the hot gangs on and writes down what became of them.
func (s *Scheduler) advance(now unit.Instant) {
	for _, name := range config.Sorted(s.hot) {
		r := s.hot[name]
		before := r.State
		r.Step(now)
		if r.State != before {
			s.dirty = true
			s.wake(r)
			s.doubt(r)
		}
		if r.State == gang.Stopping {
			s.inventory.Leave(name)
		}
		if r.State == gang.Open {
			delete(s.hot, name)
		}
		s.write(now, r)
	}
}

// doubt stops counting on workers that did not answer when they were asked for a
// task, until they answer again.
func (s *Scheduler) doubt(r *run) {
	if r.Committed() || r.State != gang.Stopping {
		return
	}
	for _, m := range r.Members {
		if h := s.workers[m.Worker]; h != nil && m.State == "" {
			h.heard = 0
		}
	}
}

// write queues the entry that the gang's state calls for, once.
func (s *Scheduler) write(now unit.Instant, r *run) {
	switch r.State {
	case gang.Committing:
		if r.placed {
			return
		}
		r.placed = true
		s.emit(record.Entry{Place: &record.Place{
			Job: r.Job.ID, Epoch: s.epoch, Block: r.Block,
			Attempt: r.Attempt, Lease: r.Lease, Cell: r.Cell, Home: r.Home,
		}})
	case gang.Released:
		s.release(now, r)
	}
}

// release writes down the end of a gang that has stopped whole.
func (s *Scheduler) release(now unit.Instant, r *run) {
	if r.ended || r.placed && !r.settled {
		return
	}
	j := s.state.Jobs[r.Job.ID]
	if !r.Committed() || j == nil || j.State != state.Running || j.Lease != r.Lease {
		// The log knows nothing of the placement, or has closed it already.
		s.forget(r)
		return
	}
	r.ended = true
	s.learn(now, r)
	s.emit(record.Entry{End: &record.End{
		Job: r.Job.ID, Epoch: s.epoch, Attempt: r.Attempt,
		Outcome: verdictOn(r), Reason: r.Reason,
	}})
}

// verdictOn turns a crash into a requeue while the worker may be to blame, and a
// requeue into a loss if the job must not be repeated.
func verdictOn(r *run) record.Outcome {
	if r.Outcome == record.Requeued && r.Job.Once {
		return record.Lost
	}
	if r.Outcome == record.Failed && !r.Job.Once && r.Attempt < maxAttempts {
		return record.Requeued
	}
	return r.Outcome
}

func (s *Scheduler) emit(e record.Entry) { s.out.Entries = append(s.out.Entries, e) }
