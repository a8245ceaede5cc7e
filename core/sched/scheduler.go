package sched

import (
	"time"

	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/gang"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/place"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/worker"
)

// passEvery is the longest time between two walks of the queue.
const passEvery = time.Second

// Decisions is what a step wants to have done.
type Decisions struct {
	// Entries go to the log in this order.
	Entries []record.Entry
	// Syncs go to the workers, in any order.
	Syncs []worker.Sync
}

// Scheduler holds the owner's knowledge for one epoch. It is not safe for
// concurrent use.
type Scheduler struct {
	epoch  id.Epoch
	state  *state.State
	policy place.Policy

	gangs   map[id.Job]*run
	workers map[id.Worker]*health
	where   map[id.Worker]spot
	// seenConfig is the configuration that where was made of.
	seenConfig id.Offset
	// ends lists pending jobs whose refusal is under way.
	ends map[id.Job]bool
	// bad lists the workers on which a job crashed.
	bad map[id.Job]map[id.Worker]bool
	// firmSizes remembers, for the configuration indexed, whether a gang that
	// can't be stopped could ever be placed beside all guarantees.
	firmSizes map[int]bool
	// truth learns how run times compare with what customers declare.
	truth map[id.Customer]*ratio

	// asked counts the gangs that were asked for.
	asked uint64
	// dirty is set when something changed that the queue may profit from.
	dirty  bool
	passed unit.Instant
	stats  Stats
	out    Decisions
}

// run is a gang and what the scheduler remembers of it.
type run struct {
	*gang.Gang
	// placed is set once the placement went to the log and settled once its
	// verdict is known; ended once the end went to the log.
	placed, settled, ended bool
	// began is when the gates were opened, or when the gang was adopted.
	began unit.Instant
	// dropped has the first sync to each worker that no longer listed the gang.
	dropped map[id.Worker]id.Seq
	// blamed is set once a crash was counted against its worker.
	blamed bool
}

// spot is the place of a worker.
type spot struct {
	rack id.Rack
	span block.Block
}

// Stats counts what the scheduler did and shows what it sees.
type Stats struct {
	// Pending, Running and Quarantined are current numbers.
	Pending, Running, Quarantined int
	// Preempted counts gangs that were stopped to make room.
	Preempted int
	// AtRisk is set while some guaranteed block has no place on live workers.
	AtRisk bool
	// Fragmentation is the share of free accelerators that can't serve the
	// gang sizes that wait or are guaranteed, from 0 to 1.
	Fragmentation float64
}

// New returns the scheduler of the owner of the given epoch. It reads st and never
// changes it.
func New(epoch id.Epoch, st *state.State, p place.Policy) *Scheduler {
	return &Scheduler{
		epoch: epoch, state: st, policy: p,
		gangs: map[id.Job]*run{}, workers: map[id.Worker]*health{},
		where: map[id.Worker]spot{}, ends: map[id.Job]bool{},
		bad:   map[id.Job]map[id.Worker]bool{},
		truth: map[id.Customer]*ratio{}, dirty: true,
	}
}

// Epoch returns the epoch that the scheduler decides for.
func (s *Scheduler) Epoch() id.Epoch { return s.epoch }

// Stats returns the current numbers.
func (s *Scheduler) Stats() Stats { return s.stats }

// Step decides what to do at now.
func (s *Scheduler) Step(now unit.Instant) Decisions {
	s.out = Decisions{}
	s.index()
	s.adopt(now)
	s.advance(now)
	if s.dirty || now.Sub(s.passed) >= passEvery {
		s.dirty, s.passed = false, now
		s.pass(now)
	}
	s.sync(now)
	return s.out
}

// Changed tells the scheduler that the log moved on.
func (s *Scheduler) Changed() { s.dirty = true }

// Settled tells the verdict on an entry of this scheduler.
func (s *Scheduler) Settled(now unit.Instant, e record.Entry, verdict error) {
	s.dirty = true
	switch {
	case e.Place != nil:
		s.settlePlace(now, *e.Place, verdict)
	case e.End != nil:
		delete(s.ends, e.End.Job)
		r, ok := s.gangs[e.End.Job]
		if ok && r.Attempt == e.End.Attempt && r.ended {
			delete(s.gangs, e.End.Job)
		}
	}
}

func (s *Scheduler) settlePlace(now unit.Instant, p record.Place, verdict error) {
	r, ok := s.gangs[p.Job]
	if !ok || r.Attempt != p.Attempt {
		return
	}
	r.settled = true
	if verdict != nil {
		r.End(now, gang.Void, record.Requeued, verdict.Error())
		return
	}
	r.Apply(now, gang.Accepted)
	r.began = now
	if r.State != gang.Open {
		// A cancel overtook the commit: the log holds the placement, the gang stops.
		r.Commit()
	}
	s.wake(r)
}

// Report takes in a worker's answer.
func (s *Scheduler) Report(now unit.Instant, rep worker.Report) {
	h, ok := s.workers[rep.Worker]
	if !ok || rep.Epoch != s.epoch {
		return
	}
	if !h.alive(now) {
		s.dirty = true
	}
	h.heard = now
	reborn := h.life != 0 && h.life != rep.Life
	h.life = rep.Life
	named := map[id.Job]bool{}
	for _, t := range rep.Tasks {
		r, ok := s.gangs[t.Job]
		if !ok || r.Lease != t.Lease {
			continue
		}
		named[t.Job] = true
		r.Report(now, rep.Worker, rep.Clock, t.State)
		s.judge(now, r, rep.Worker, h, t.State)
	}
	for name, r := range s.gangs {
		// A worker that was told to drop a task, or that was restarted, and no
		// longer names it, doesn't hold it.
		seq, told := r.dropped[rep.Worker]
		if !named[name] && (reborn || told && rep.Seq >= seq) {
			r.Report(now, rep.Worker, rep.Clock, worker.Missing)
		}
	}
}

// judge counts the end of a task for or against its worker.
func (s *Scheduler) judge(now unit.Instant, r *run, w id.Worker, h *health, st worker.TaskState) {
	switch {
	case st == worker.Crashed && !r.blamed:
		r.blamed = true
		h.blame(now, r.Job.ID)
		if s.bad[r.Job.ID] == nil {
			s.bad[r.Job.ID] = map[id.Worker]bool{}
		}
		s.bad[r.Job.ID][w] = true
	case st == worker.Exited:
		h.praise()
	}
}

// index notes where each worker is, and forgets workers that are gone.
func (s *Scheduler) index() {
	if s.seenConfig == s.state.ConfigAt {
		return
	}
	s.seenConfig, s.dirty = s.state.ConfigAt, true
	s.firmSizes = map[int]bool{}
	s.where = map[id.Worker]spot{}
	for _, k := range config.Sorted(s.state.Config.Racks) {
		r := s.state.Config.Racks[k]
		for i, w := range r.Workers {
			s.where[w.ID] = spot{k, r.Span(i)}
			if s.workers[w.ID] == nil {
				s.workers[w.ID] = &health{}
			}
		}
	}
	for w := range s.workers {
		if _, ok := s.where[w]; !ok {
			delete(s.workers, w)
		}
	}
}

// members returns the members of a gang on block b.
func (s *Scheduler) members(b block.Block) []gang.Member {
	var out []gang.Member
	r := s.state.Config.Racks[b.Rack]
	for i, w := range r.Workers {
		span := r.Span(i)
		if m := span.Mask() & b.Mask(); m != 0 {
			out = append(out, gang.Member{Worker: w.ID, Mask: m >> span.Start})
		}
	}
	return out
}
