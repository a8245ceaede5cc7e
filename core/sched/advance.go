package sched

import (
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/gang"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/worker"
)

// maxAttempts is how often a repeatable job is placed before a crash is taken for
// the job's own fault.
const maxAttempts = 3

// adopt takes over the placements that the log holds and no gang stands for.
func (s *Scheduler) adopt(now unit.Instant) {
	for name, j := range s.state.Jobs {
		if j.State != state.Running || s.gangs[name] != nil {
			continue
		}
		p := record.Place{Job: name, Attempt: j.Attempt, Lease: j.Lease, Block: j.Block, Cell: j.Cell, Home: j.Home}
		s.gangs[name] = &run{
			Gang:  gang.Adopt(now, p, j.Spec, s.members(j.Block)),
			began: now,
		}
	}
}

// advance moves each gang on and writes down what became of it.
func (s *Scheduler) advance(now unit.Instant) {
	s.stats.Running = 0
	for _, name := range config.Sorted(s.gangs) {
		r := s.gangs[name]
		before := r.State
		s.noteEnd(now, r)
		r.Step(now)
		if r.State != before {
			s.dirty = true
			s.wake(r)
			s.doubt(r)
		}
		s.write(now, name, r)
		if r.State == gang.Open {
			s.stats.Running++
		}
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

// noteEnd stops a gang whose job was cancelled.
func (s *Scheduler) noteEnd(now unit.Instant, r *run) {
	j, ok := s.state.Jobs[r.Job.ID]
	if ok && (j.State == state.Pending || j.State == state.Running) {
		return
	}
	r.End(now, gang.Cancel, record.Requeued, "cancelled")
}

// write queues the entry that the gang's state calls for, once.
func (s *Scheduler) write(now unit.Instant, name id.Job, r *run) {
	switch r.State {
	case gang.Committing:
		if r.placed {
			return
		}
		r.placed = true
		s.emit(record.Entry{Place: &record.Place{
			Job: name, Epoch: s.epoch, Block: r.Block,
			Attempt: r.Attempt, Lease: r.Lease, Cell: r.Cell, Home: r.Home,
		}})
	case gang.Released:
		s.release(now, name, r)
	}
}

// release writes down the end of a gang that has stopped whole.
func (s *Scheduler) release(now unit.Instant, name id.Job, r *run) {
	if r.ended {
		return
	}
	if r.placed && !r.settled {
		return
	}
	j := s.state.Jobs[name]
	if !r.Committed() || j == nil || j.State != state.Running {
		// The log knows nothing of the placement, or has closed it already.
		delete(s.gangs, name)
		return
	}
	r.ended = true
	if verdictOn(r) != record.Requeued {
		delete(s.bad, name)
	}
	s.learn(now, r)
	s.emit(record.Entry{End: &record.End{
		Job: name, Epoch: s.epoch, Attempt: r.Attempt,
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

// wake makes the workers of a gang due for a sync at once.
func (s *Scheduler) wake(r *run) {
	for _, m := range r.Members {
		if h := s.workers[m.Worker]; h != nil {
			h.due = 0
		}
	}
}

// sync sends each worker that is due the list of what it should hold.
func (s *Scheduler) sync(now unit.Instant) {
	wants := map[id.Worker][]worker.Want{}
	var due []id.Worker
	for _, w := range config.Sorted(s.workers) {
		if now >= s.workers[w].due {
			due = append(due, w)
			wants[w] = nil
		}
	}
	if len(due) == 0 {
		return
	}
	for _, name := range config.Sorted(s.gangs) {
		r := s.gangs[name]
		for _, m := range r.Members {
			if _, ok := wants[m.Worker]; !ok {
				continue
			}
			if t, ok := r.Want(now, m.Worker); ok {
				wants[m.Worker] = append(wants[m.Worker], t)
			} else {
				r.drop(m.Worker, s.workers[m.Worker].seq+1)
			}
		}
	}
	busy := s.busyWorkers()
	for _, w := range due {
		h := s.workers[w]
		h.seq++
		h.due = now.Add(idleSync)
		if busy[w] {
			h.due = now.Add(gang.Renewal)
		}
		s.out.Syncs = append(s.out.Syncs, worker.Sync{Worker: w, Epoch: s.epoch, Seq: h.seq, Life: h.life, Tasks: wants[w]})
	}
}

// drop notes that sync seq to worker w doesn't list the gang any more.
func (r *run) drop(w id.Worker, seq id.Seq) {
	if r.dropped == nil {
		r.dropped = map[id.Worker]id.Seq{}
	}
	if _, ok := r.dropped[w]; !ok {
		r.dropped[w] = seq
	}
}

func (s *Scheduler) busyWorkers() map[id.Worker]bool {
	out := map[id.Worker]bool{}
	for _, r := range s.gangs {
		for _, m := range r.Members {
			out[m.Worker] = true
		}
	}
	return out
}
