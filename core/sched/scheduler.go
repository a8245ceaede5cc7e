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

// fullPassInterval is the interval of full passes, which try every group of
// waiting jobs, and of the checks for silent workers.
const fullPassInterval = time.Second

// Decisions are the log entries and worker syncs that a step asks its caller to
// write and send.
type Decisions struct {
	// Entries are written to the log in this order.
	Entries []record.Entry
	// Syncs are sent to the workers in any order.
	Syncs []worker.Sync
}

// Scheduler makes the scheduling decisions of one owner epoch. It is not safe for
// concurrent use.
type Scheduler struct {
	epoch     id.Epoch
	state     *state.State
	policy    place.Policy
	inventory *inventory.Inventory
	backlog   *backlog.Backlog

	gangs map[id.Job]*run
	// toAdvance has the gangs that the next step advances.
	toAdvance map[id.Job]*run
	workers   map[id.Worker]*health
	locations map[id.Worker]location
	// runsOn has, for each worker, the gangs with a member on it.
	runsOn map[id.Worker]map[id.Job]*run
	// guarantees has each customer's guarantees in ascending order of their IDs.
	guarantees map[id.Customer][]config.Guarantee
	// indexedConfig is the offset, plus one, of the configuration from which
	// locations and guarantees were built; 0 if none was.
	indexedConfig id.Offset
	// refusing has the pending jobs whose refusal was emitted and has no verdict
	// yet.
	refusing map[id.Job]bool
	// crashedOn has, for each job, the workers on which it crashed.
	crashedOn map[id.Job]map[id.Worker]bool
	// couldFitBySize caches the results of couldFitGuarantees by gang size for the
	// configuration indexedConfig.
	couldFitBySize map[int]bool
	// runTimeRatios has, for each customer, the ratios of actual to declared run
	// times.
	runTimeRatios map[id.Customer]*ratioHistory

	// reserved is the block kept for job reservedFor, the first job that found no
	// room since the last full pass. Other jobs may use the block if they are
	// expected to run no longer than reservedFreeIn, the time until the block is
	// expected to be free. The blocks that inventory.Reserve sets aside for one
	// pass are independent of it: no other job may use those.
	reserved       block.Block
	reservedFor    id.Job
	reservedFreeIn time.Duration

	// demand has the gang sizes of all guarantees and waiting jobs.
	demand []int
	// preemptCosts caches the cost of preempting the gangs of each rack for one
	// pass.
	preemptCosts map[id.Rack]*rackCosts
	// leaseSeq numbers the leases of this epoch.
	leaseSeq uint64
	// reload is set when gangs and backlog must be reconciled with the whole state.
	reload bool
	// dirty is set when a change may allow a waiting job to start.
	dirty           bool
	lastFullPass    unit.Instant
	lastSilentCheck unit.Instant
	stats           Stats
	decisions       Decisions
}

// run is one attempt of a job: its gang and the scheduler's bookkeeping for it.
type run struct {
	*gang.Gang
	// placementEmitted is set once the placement entry was emitted, verdictKnown
	// once the verdict on that entry is known, and endEmitted once the end entry
	// was emitted.
	placementEmitted, verdictKnown, endEmitted bool
	// startedAt is when the log accepted the placement or when the gang was
	// adopted; before that, when its leases were first requested.
	startedAt unit.Instant
	// omittedSeq has, for each worker, the sequence number of the first sync that
	// no longer listed the gang.
	omittedSeq map[id.Worker]id.Seq
	// crashCounted is set once a crash of the gang was counted against a worker.
	crashCounted bool
}

// location is the rack of a worker and the span of its accelerators in it.
type location struct {
	rack id.Rack
	span block.Block
}

// Stats has counters and current values of the scheduler.
type Stats struct {
	// Pending is the number of waiting jobs, Running the number of gangs, and
	// Quarantined the number of workers in quarantine, all as of now.
	Pending     int `json:"pending"`
	Running     int `json:"running"`
	Quarantined int `json:"quarantined"`
	// Preempted counts the gangs that were stopped to make room for other jobs.
	Preempted int `json:"preempted"`
	// AtRisk is set while the live workers have no place for some guaranteed
	// block.
	AtRisk bool `json:"at_risk"`
	// Fragmentation is the share of free accelerators that can't serve the gang
	// sizes of waiting jobs and guarantees, from 0 to 1.
	Fragmentation float64 `json:"fragmentation"`
}

// New returns the scheduler for the owner of the given epoch. The scheduler reads
// st and never changes it.
func New(epoch id.Epoch, st *state.State, p place.Policy) *Scheduler {
	return &Scheduler{
		epoch: epoch, state: st, policy: p, inventory: inventory.New(), backlog: backlog.New(),
		gangs: map[id.Job]*run{}, toAdvance: map[id.Job]*run{},
		workers: map[id.Worker]*health{}, locations: map[id.Worker]location{},
		runsOn: map[id.Worker]map[id.Job]*run{}, refusing: map[id.Job]bool{},
		crashedOn: map[id.Job]map[id.Worker]bool{}, runTimeRatios: map[id.Customer]*ratioHistory{}, preemptCosts: map[id.Rack]*rackCosts{},
		reload: true, dirty: true,
	}
}

// Epoch returns the owner epoch of the scheduler.
func (s *Scheduler) Epoch() id.Epoch { return s.epoch }

// Stats returns the statistics as of the last pass.
func (s *Scheduler) Stats() Stats { return s.stats }

// Step advances the gangs, runs a scheduling pass if one is due, and returns the
// resulting decisions.
func (s *Scheduler) Step(now unit.Instant) Decisions {
	s.decisions = Decisions{}
	s.indexConfig()
	if s.reload {
		s.reload = false
		s.reconcile(now)
	}
	if now.Sub(s.lastSilentCheck) >= fullPassInterval {
		s.lastSilentCheck = now
		s.checkSilent(now)
	}
	s.advance(now)
	if s.dirty || now.Sub(s.lastFullPass) >= fullPassInterval {
		s.pass(now)
	}
	s.sync(now)
	return s.decisions
}

// EntryAccepted processes an entry that the log accepted, whichever host wrote it.
func (s *Scheduler) EntryAccepted(now unit.Instant, e record.Entry) {
	switch {
	case e.Submit != nil:
		s.backlog.Add(e.Submit.Job, false)
		s.dirty = true
	case e.Cancel != nil:
		s.backlog.Remove(e.Cancel.Job)
		if r := s.gangs[e.Cancel.Job]; r != nil {
			s.stopGang(now, r, gang.Cancel, record.Requeued, "cancelled")
		}
		s.dirty = true
	}
}

// RequestReconcile makes the next step reconcile the scheduler with the whole
// state, because it may have missed entries.
func (s *Scheduler) RequestReconcile() { s.reload = true }

// EntrySettled processes the verdict on an entry that this scheduler emitted.
func (s *Scheduler) EntrySettled(now unit.Instant, e record.Entry, verdict error) {
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
	r.verdictKnown = true
	if verdict != nil {
		s.stopGang(now, r, gang.Void, record.Requeued, verdict.Error())
		return
	}
	r.Apply(now, gang.Accepted)
	r.startedAt = now
	if r.State != gang.Open {
		// The gang was stopped before the verdict arrived. The log holds its
		// placement, so its end must be written as well.
		r.MarkCommitted()
	}
	s.markForAdvance(r)
	s.requestSync(r)
}

func (s *Scheduler) settleEnd(e record.End, verdict error) {
	delete(s.refusing, e.Job)
	if verdict == nil && e.Outcome != record.Requeued {
		delete(s.crashedOn, e.Job)
	}
	if r, ok := s.gangs[e.Job]; ok && r.Attempt == e.Attempt && r.endEmitted {
		s.untrack(r)
	}
}

// Report processes a worker's answer to a sync.
func (s *Scheduler) Report(now unit.Instant, rep worker.Report) {
	h, ok := s.workers[rep.Worker]
	if !ok || rep.Epoch != s.epoch {
		return
	}
	if !h.available(now) {
		s.dirty = true
	}
	h.lastReport = now
	restarted := h.incarnation != 0 && h.incarnation != rep.Incarnation
	if h.incarnation != rep.Incarnation {
		// The worker ignored the last sync, which was for another incarnation, so
		// it needs a new one at once.
		h.nextSync = 0
	}
	h.incarnation = rep.Incarnation
	if rep.Base != 0 {
		s.reportUnchanged(now, rep, h)
		return
	}
	h.base = 0
	if rep.Seq == h.lastListSeq && !restarted {
		h.base = rep.Seq
	}
	listed := map[id.Job]bool{}
	for _, t := range rep.Tasks {
		r, ok := s.gangs[t.Job]
		if !ok || r.Lease != t.Lease {
			continue
		}
		listed[t.Job] = true
		r.RecordState(now, rep.Worker, rep.Clock, t.State)
		s.countTaskEnd(now, r, rep.Worker, h, t.State)
		s.markForAdvance(r)
	}
	for jobID, r := range s.runsOn[rep.Worker] {
		// The worker no longer lists the task. If it was restarted, or has
		// processed a sync that omitted the task, it doesn't hold the task.
		seq, omitted := r.omittedSeq[rep.Worker]
		if !listed[jobID] && (restarted || omitted && rep.Seq >= seq) {
			r.RecordState(now, rep.Worker, rep.Clock, worker.Missing)
			s.markForAdvance(r)
		}
	}
}

// reportUnchanged processes a report without a task list, which says that the
// worker's tasks are as in its report on the sync rep.Base.
func (s *Scheduler) reportUnchanged(now unit.Instant, rep worker.Report, h *health) {
	if rep.Base != h.base {
		return
	}
	for _, r := range s.runsOn[rep.Worker] {
		r.RecordAnswer(now, rep.Worker, rep.Clock)
	}
}

// countTaskEnd counts a crash against the worker and the job. A normal exit resets
// the crash count of the worker.
func (s *Scheduler) countTaskEnd(now unit.Instant, r *run, w id.Worker, h *health, st worker.TaskState) {
	switch {
	case st == worker.Crashed && !r.crashCounted:
		r.crashCounted = true
		h.noteCrash(now, r.Job.ID)
		if s.crashedOn[r.Job.ID] == nil {
			s.crashedOn[r.Job.ID] = map[id.Worker]bool{}
		}
		s.crashedOn[r.Job.ID][w] = true
	case st == worker.Exited:
		h.clearCrashes()
	}
}

// indexConfig rebuilds what is derived from the configuration if it has changed.
func (s *Scheduler) indexConfig() {
	if s.indexedConfig == s.state.ConfigAt+1 {
		return
	}
	s.indexedConfig, s.dirty = s.state.ConfigAt+1, true
	s.couldFitBySize = map[int]bool{}
	s.locations = map[id.Worker]location{}
	for _, k := range config.SortedKeys(s.state.Config.Racks) {
		r := s.state.Config.Racks[k]
		for i, w := range r.Workers {
			s.locations[w.ID] = location{k, r.WorkerBlock(i)}
			if s.workers[w.ID] == nil {
				s.workers[w.ID] = &health{}
			}
		}
	}
	for w := range s.workers {
		if _, ok := s.locations[w]; !ok {
			delete(s.workers, w)
		}
	}
	s.guarantees = map[id.Customer][]config.Guarantee{}
	for _, k := range config.SortedKeys(s.state.Config.Guarantees) {
		g := s.state.Config.Guarantees[k]
		s.guarantees[g.Customer] = append(s.guarantees[g.Customer], g)
	}
	s.inventory.Configure(s.state.Config)
}

// membersOn returns the members of a gang on block b.
func (s *Scheduler) membersOn(b block.Block) []gang.Member {
	var out []gang.Member
	r := s.state.Config.Racks[b.Rack]
	for i, w := range r.Workers {
		span := r.WorkerBlock(i)
		if m := span.Mask() & b.Mask(); m != 0 {
			out = append(out, gang.Member{Worker: w.ID, Mask: m >> span.Start})
		}
	}
	return out
}
