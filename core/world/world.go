package world

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"curlewsill.org/curlewsill/core/agenda"
	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

var (
	// ErrSetup reports a setup without workers, hosts or NewDispatcher, or with
	// a speed or a number of cores that isn't above 0.
	ErrSetup = errors.New("world: a setup needs NewDispatcher, and workers and hosts with speeds and cores above 0")
	// ErrNeverFits reports a job that doesn't fit even on the empty site.
	ErrNeverFits = errors.New("world: the job does not fit even on the empty site")
	// ErrJob reports an incomplete job, or one whose name is taken.
	ErrJob = errors.New("world: the job is incomplete or its name is taken")
)

// Begin is the time at which every simulation begins.
const Begin = unit.Instant(1000 * time.Second)

// World is a simulated site in virtual time. The zero value is not ready for
// use; call New.
type World struct {
	setup  Setup
	now    unit.Instant
	agenda agenda.Agenda[func()]
	table  *jobtable.Table
	store  store
	// linkFreeAt is when the owner's network link is free for the next order.
	linkFreeAt unit.Instant
	hosts      []*host
	// owner is nil while no host is the owner.
	owner *owner
	epoch id.Epoch

	// machines holds the workers in the order of the setup. byIncarnation maps
	// the id of each incarnation to its worker.
	machines      []*machine
	byIncarnation map[id.Worker]*machine
	listings      []fleet.Listing
	gangs         map[gangKey]*gang
	lateOrders    lateOrders
	outage        outage
	// evacuations holds the evacuated failure domains.
	evacuations map[id.Domain]evacuation

	jobs        map[id.Job]*submittedJob
	submissions []*submittedJob
	// openJobs holds the jobs that had no outcome when they were last counted.
	openJobs []*submittedJob
	callers  callers
	tally    Tally
	// violations describes the invariants that did not hold.
	violations []string
	// events counts the events that the owners noted, by name.
	events map[dispatch.Event]int
}

// New returns a World in which all workers are idle and the first host is the
// owner.
func New(s Setup) (*World, error) {
	if len(s.Workers) == 0 || len(s.Hosts) == 0 || s.NewDispatcher == nil {
		return nil, ErrSetup
	}
	w := &World{
		setup: s, now: Begin, table: jobtable.New(), byIncarnation: map[id.Worker]*machine{},
		gangs: map[gangKey]*gang{}, evacuations: map[id.Domain]evacuation{},
		jobs: map[id.Job]*submittedJob{}, events: map[dispatch.Event]int{}, linkFreeAt: Begin,
	}
	w.store = store{world: w, freeAt: Begin, upAt: Begin, slowdown: 1}
	w.startCallers()
	for i, x := range s.Workers {
		if x.Speed <= 0 {
			return nil, fmt.Errorf("%w: worker %s", ErrSetup, x.ID)
		}
		w.addMachine(i, x)
	}
	for i, h := range s.Hosts {
		if h.Cores <= 0 {
			return nil, fmt.Errorf("%w: host %s", ErrSetup, h.ID)
		}
		w.addHost(i, h)
	}
	w.callers.begin()
	return w, w.installFirstOwner()
}

// installFirstOwner makes the first host the owner. Its claim is applied
// without the delay of an append.
func (w *World) installFirstOwner() error {
	w.epoch = 1
	r, err := w.table.OwnerRecord(jobtable.Owner{Host: w.hosts[0].ID, Epoch: w.epoch})
	if err != nil {
		return err
	}
	w.apply(jobsLog, r)
	w.takeOver(w.hosts[0], w.epoch)
	return nil
}

// Now returns the current virtual time.
func (w *World) Now() unit.Instant { return w.now }

// Schedule schedules a function after a delay.
func (w *World) Schedule(after time.Duration, do func()) { w.agenda.Add(w.now.Add(after), do) }

// Run advances the virtual time by d and runs what is scheduled until then.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for {
		at, found := w.agenda.Next()
		if !found || at > end {
			break
		}
		var do func()
		w.now, do = w.agenda.Pop()
		do()
	}
	w.now = end
}

// Dispatcher returns the dispatcher of the current owner, or nil while there is
// none.
func (w *World) Dispatcher() *dispatch.Dispatcher {
	if w.owner == nil {
		return nil
	}
	return w.owner.dispatcher
}

// Submit submits a job. It returns ErrNeverFits, and counts the job as refused,
// if one of its steps doesn't fit even on the empty site.
func (w *World) Submit(j Job) error {
	if len(j.RunTimes) != j.Spec.RoundCount()*j.Spec.TasksPerRound() || len(j.RunTimes) == 0 || w.jobs[j.Name] != nil {
		return fmt.Errorf("%w: %s", ErrJob, j.Name)
	}
	s := &submittedJob{Job: j, submittedAt: w.now, state: Open, histories: map[job.TaskID]*taskHistory{}}
	w.jobs[j.Name] = s
	w.submissions = append(w.submissions, s)
	if !w.fits(&j.Spec) {
		s.state = Refused
		return fmt.Errorf("%w: %s", ErrNeverFits, j.Name)
	}
	if j.Spec.Rounds > 0 && j.Spec.FirstDue == 0 {
		s.Spec.FirstDue = w.now
	}
	s.Spec.Accepted = w.now
	w.openJobs = append(w.openJobs, s)
	r, err := w.table.SpecRecord(j.Name, s.Spec)
	if err != nil {
		return err
	}
	w.callers.noteSubmitted(s)
	if j.StoredAfter > 0 {
		w.Schedule(j.StoredAfter, func() {
			w.store.append(jobsLog, 0, []jobtable.Record{r}, func(bool) { w.notifyOwner(j.Name) })
		})
	} else {
		w.store.append(jobsLog, 0, []jobtable.Record{r}, func(bool) {
			s.acceptedAt = w.now
			w.notifyOwner(j.Name)
		})
	}
	if j.CancelAfter > 0 {
		w.Schedule(j.CancelAfter, func() { w.cancel(s) })
	}
	return nil
}

// Cancel submits the cancellation of a job. It does nothing for an unknown job.
func (w *World) Cancel(name id.Job) {
	if s := w.jobs[name]; s != nil {
		w.cancel(s)
	}
}

// cancel submits the cancellation of a job unless the job has ended.
func (w *World) cancel(s *submittedJob) {
	if s.state != Open {
		return
	}
	if s.cancelSentAt == 0 {
		s.cancelSentAt = w.now
	}
	r := w.table.CancelRecord(s.Name)
	if e := w.table.Get(s.Name); s.StoredAfter > 0 && (e == nil || e.Spec == nil) {
		if w.setup.Callers.Wrong.UnknownUnrecorded {
			s.cancelledAt = w.now
			return
		}
		var err error
		if r, err = w.table.TombstoneRecord(s.Name, jobtable.Tombstone{Customer: s.Spec.Customer, Written: w.now}); err != nil {
			w.recordViolation("cannot encode a tombstone: " + err.Error())
			return
		}
	}
	w.store.append(jobsLog, 0, []jobtable.Record{r}, func(bool) {
		if s.cancelledAt == 0 {
			s.cancelledAt = w.now
		}
		w.notifyOwner(s.Name)
	})
}

// notifyOwner makes the owner read the stored record of a job after the read
// delay. An owner that takes over later reads it when it begins.
func (w *World) notifyOwner(name id.Job) {
	w.Schedule(w.setup.Times.ReadDelay, func() {
		if w.owner != nil {
			w.owner.enqueueEvent(func(o *owner) { o.loadJob(name) })
		}
	})
}

// fits reports whether each step fits on empty workers: a gang as a whole, any
// other step task by task.
func (w *World) fits(s *job.Spec) bool {
	for i := range s.Steps {
		step := &s.Steps[i]
		fitting := 0
		for _, m := range w.machines {
			if m.Service == s.Service && m.hasLabel(step.Label) {
				fitting += countFitting(step, m.fullCapacity)
			}
		}
		if fitting == 0 || step.Gang && fitting < step.Count {
			return false
		}
	}
	return true
}

// countFitting returns how many tasks of a step fit into the free resources of
// one worker, at most all tasks of the step.
func countFitting(s *job.Step, free job.Resources) int {
	fitting := 0
	limit := s.Count
	if s.MaxPerWorker > 0 {
		limit = min(limit, s.MaxPerWorker)
	}
	need := s.Reserved()
	for fitting < limit && need.Fits(free) {
		free = free.Sub(need)
		fitting++
	}
	return fitting
}

// draw returns a pseudo-random number from 0 to 1 that depends only on the seed
// and on its arguments.
func (w *World) draw(purpose string, parts ...any) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, purpose, parts)
	return rand.New(rand.NewPCG(w.setup.Seed, h.Sum64())).Float64()
}
