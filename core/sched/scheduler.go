package sched

import (
	"time"

	"curlewsill.org/curlewsill/core/backlog"
	"curlewsill.org/curlewsill/core/block"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/gang"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/inventory"
	"curlewsill.org/curlewsill/core/place"
	"curlewsill.org/curlewsill/core/record"
	"curlewsill.org/curlewsill/core/state"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/worker"
)

// passEvery is the longest time between two walks of the queue in which every group is
// tried, and between two looks for silent workers.
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
	epoch     id.Epoch
	state     *state.State
	policy    place.Policy
	inventory *inventory.Inventory
	backlog   *backlog.Backlog

	gangs map[id.Job]*run
	// hot lists the gangs that the next step has to look at.
	hot     map[id.Job]*run
	workers map[id.Worker]*health
	where   map[id.Worker]spot
	// tasks lists the gangs that have a member on a worker.
	tasks map[id.Worker]map[id.Job]*run
	// cells lists each customer's guarantees in ascending order.
	cells map[id.Customer][]config.Guarantee
	// seenConfig is the configuration, plus one, that where and cells were made of.
	seenConfig id.Offset
	// ends lists pending jobs whose refusal is under way.
	ends map[id.Job]bool
	// bad lists the workers on which a job crashed.
	bad map[id.Job]map[id.Worker]bool
	// firmSizes remembers, for the configuration seen, whether a gang that can't
	// be stopped could ever be placed beside all guarantees.
	firmSizes map[int]bool
	// truth learns how run times compare with what customers declare.
	truth map[id.Customer]*ratio

	// reserved is the block kept for the oldest job without room, and until how
	// long from now others may use it.
	reserved    block.Block
	reservedFor id.Job
	until       time.Duration

	// demand lists the sizes of gangs that are guaranteed or wait.
	demand []int
	// prices has what it would cost to stop the gangs of a rack, for one pass.
	prices map[id.Rack]*priced
	// asked counts the gangs that were asked for.
	asked uint64
	// reload is set when gangs and queue must be compared with the whole state.
	reload bool
	// dirty is set when something changed that the queue may profit from.
	dirty  bool
	passed unit.Instant
	swept  unit.Instant
	stats  Stats
	out    Decisions
}

// run is a gang and what the scheduler remembers of it.
type run struct {
	*gang.Gang
	// placed is set once the placement went to the log and settled once its
	// verdict is known; ended once the end went to the log.
	placed, settled, ended bool
	// began is when the gates were opened, or when the gang was adopted; before
	// that, when it was asked for.
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
	Pending     int `json:"pending"`
	Running     int `json:"running"`
	Quarantined int `json:"quarantined"`
	// Preempted counts gangs that were stopped to make room.
	Preempted int `json:"preempted"`
	// AtRisk is set while some guaranteed block has no place on live workers.
	AtRisk bool `json:"at_risk"`
	// Fragmentation is the share of free accelerators that can't serve the
	// gang sizes that wait or are guaranteed, from 0 to 1.
	Fragmentation float64 `json:"fragmentation"`
}

// New returns the scheduler of the owner of the given epoch. It reads st and never
// changes it.
func New(epoch id.Epoch, st *state.State, p place.Policy) *Scheduler {
	return &Scheduler{
		epoch: epoch, state: st, policy: p, inventory: inventory.New(), backlog: backlog.New(),
		gangs: map[id.Job]*run{}, hot: map[id.Job]*run{},
		workers: map[id.Worker]*health{}, where: map[id.Worker]spot{},
		tasks: map[id.Worker]map[id.Job]*run{}, ends: map[id.Job]bool{},
		bad: map[id.Job]map[id.Worker]bool{}, truth: map[id.Customer]*ratio{}, prices: map[id.Rack]*priced{},
		reload: true, dirty: true,
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
	if s.reload {
		s.reload = false
		s.compare(now)
	}
	if now.Sub(s.swept) >= passEvery {
		s.swept = now
		s.sweep(now)
	}
	s.advance(now)
	if s.dirty || now.Sub(s.passed) >= passEvery {
		s.pass(now)
	}
	s.sync(now)
	return s.out
}

// Accepted tells the scheduler of an entry that the log accepted, whoever wrote it.
func (s *Scheduler) Accepted(now unit.Instant, e record.Entry) {
	switch {
	case e.Submit != nil:
		s.backlog.Add(e.Submit.Job, false)
		s.dirty = true
	case e.Cancel != nil:
		s.backlog.Remove(e.Cancel.Job)
		if r := s.gangs[e.Cancel.Job]; r != nil {
			s.end(now, r, gang.Cancel, record.Requeued, "cancelled")
		}
		s.dirty = true
	}
}

// Reload makes the scheduler compare what it knows with the whole state, because it
// may have missed entries.
func (s *Scheduler) Reload() { s.reload = true }

// Settled tells the verdict on an entry of this scheduler.
func (s *Scheduler) Settled(now unit.Instant, e record.Entry, verdict error) {
	s.dirty = true
	switch {
	case e.Place != nil:
		s.settlePlace(now, *e.Place, verdict)
	case e.End != nil:
		s.settleEnd(*e.End, verdict)
	}
}

func (s *Scheduler) settlePlace(now unit.Instant, p record.Place, verdict error) {
	r, ok := s.gangs[p.Job]
	if !ok || r.Lease != p.Lease {
		return
	}
	r.settled = true
	if verdict != nil {
		s.end(now, r, gang.Void, record.Requeued, verdict.Error())
		return
	}
	r.Apply(now, gang.Accepted)
	r.began = now
	if r.State != gang.Open {
		// A cancel overtook the commit: the log holds the placement, the gang stops.
		r.Commit()
	}
	s.touch(r)
	s.wake(r)
}

func (s *Scheduler) settleEnd(e record.End, verdict error) {
	delete(s.ends, e.Job)
	if verdict == nil && e.Outcome != record.Requeued {
		delete(s.bad, e.Job)
	}
	if r, ok := s.gangs[e.Job]; ok && r.Attempt == e.Attempt && r.ended {
		s.forget(r)
	}
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
	if h.life != rep.Life {
		// The worker took nothing of a sync for another life.
		h.due = 0
	}
	h.life = rep.Life
	if rep.Base != 0 {
		s.unchanged(now, rep, h)
		return
	}
	h.base = 0
	if rep.Seq == h.fullSeq && !reborn {
		h.base = rep.Seq
	}
	named := map[id.Job]bool{}
	for _, t := range rep.Tasks {
		r, ok := s.gangs[t.Job]
		if !ok || r.Lease != t.Lease {
			continue
		}
		named[t.Job] = true
		r.Report(now, rep.Worker, rep.Clock, t.State)
		s.judge(now, r, rep.Worker, h, t.State)
		s.touch(r)
	}
	for name, r := range s.tasks[rep.Worker] {
		// A worker that was told to drop a task, or that was restarted, and no
		// longer names it, doesn't hold it.
		seq, told := r.dropped[rep.Worker]
		if !named[name] && (reborn || told && rep.Seq >= seq) {
			r.Report(now, rep.Worker, rep.Clock, worker.Missing)
			s.touch(r)
		}
	}
}

// unchanged takes in that a worker's tasks are as it reported before.
func (s *Scheduler) unchanged(now unit.Instant, rep worker.Report, h *health) {
	if rep.Base != h.base {
		return
	}
	for _, r := range s.tasks[rep.Worker] {
		r.Heard(now, rep.Worker, rep.Clock)
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
		h.clearBlame()
	}
}

// index takes over a new configuration.
func (s *Scheduler) index() {
	if s.seenConfig == s.state.ConfigAt+1 {
		return
	}
	s.seenConfig, s.dirty = s.state.ConfigAt+1, true
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
	s.cells = map[id.Customer][]config.Guarantee{}
	for _, k := range config.Sorted(s.state.Config.Guarantees) {
		g := s.state.Config.Guarantees[k]
		s.cells[g.Customer] = append(s.cells[g.Customer], g)
	}
	s.inventory.Configure(s.state.Config)
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
