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
	// ErrSetup reports a setup that no world can begin with.
	ErrSetup = errors.New("world: a worker and a host are needed, with speeds and cores above 0")
	// ErrNeverFits reports a job that no moment of the site has room for.
	ErrNeverFits = errors.New("world: the job can never run")
	// ErrJob reports a job that isn't whole.
	ErrJob = errors.New("world: the job is not whole")
)

// Begin is the time at which every world begins.
const Begin = unit.Instant(1000 * time.Second)

// World is a site in virtual time. The zero value is not ready; call New.
type World struct {
	setup  Setup
	now    unit.Instant
	agenda agenda.Agenda[func()]
	table  *jobtable.Table
	store  store
	// link is when the owner's link is free.
	linkFreeAt unit.Instant
	hosts      []*host
	// owner is nil while no host is the owner.
	owner *owner
	epoch id.Epoch

	// machines holds the workers in the order of the setup; byLife finds the one of which an
	// id is a life.
	machines      []*machine
	byIncarnation map[id.Worker]*machine
	listed        []fleet.Listing
	gangs         map[gangKey]*gang
	lateOrders    lateOrders
	// evacuations holds the evacuated failure domains.
	evacuations map[id.Domain]evacuation

	jobs        map[id.Job]*submittedJob
	submissions []*submittedJob
	// open holds the jobs that had no outcome when they were last counted.
	openJobs []*submittedJob
	tally    Tally
	// broken lists what did not hold.
	violations []string
	// events counts what was decided, by the name of the event.
	events map[dispatch.Event]int
}

// New returns a world in which all workers are idle and the first host is the owner.
func New(s Setup) (*World, error) {
	if len(s.Workers) == 0 || len(s.Hosts) == 0 || s.Make == nil {
		return nil, ErrSetup
	}
	w := &World{
		setup: s, now: Begin, table: jobtable.New(), byIncarnation: map[id.Worker]*machine{}, gangs: map[gangKey]*gang{}, evacuations: map[id.Domain]evacuation{},
		jobs: map[id.Job]*submittedJob{}, events: map[dispatch.Event]int{}, linkFreeAt: Begin,
	}
	w.store = store{world: w, freeAt: Begin, upAt: Begin, slowdown: 1}
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
	return w, w.installFirstOwner()
}

// first makes the first host the owner, by a claim that is in the store.
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

// Now returns the time of the world.
func (w *World) Now() unit.Instant { return w.now }

// Plan makes something happen later.
func (w *World) Plan(after time.Duration, do func()) { w.agenda.Plan(w.now.Add(after), do) }

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for {
		at, some := w.agenda.Next()
		if !some || at > end {
			break
		}
		var do func()
		w.now, do = w.agenda.Take()
		do()
	}
	w.now = end
}

// Dispatcher returns the decisions of the present owner, or nil while there is none.
func (w *World) Dispatcher() *dispatch.Dispatcher {
	if w.owner == nil {
		return nil
	}
	return w.owner.core
}

// Submit hands in a job. It returns ErrNeverFits, and counts the job as refused, if the site
// with nothing on it has no room for one of its steps.
func (w *World) Submit(j Job) error {
	if len(j.Takes) != j.Spec.RoundCount()*j.Spec.Width() || len(j.Takes) == 0 || w.jobs[j.Name] != nil {
		return fmt.Errorf("%w: %s", ErrJob, j.Name)
	}
	s := &submittedJob{Job: j, submittedAt: w.now, state: Open, histories: map[job.Task]*taskHistory{}}
	w.jobs[j.Name] = s
	w.submissions = append(w.submissions, s)
	if !w.fits(&j.Spec) {
		s.state = Refused
		return fmt.Errorf("%w: %s", ErrNeverFits, j.Name)
	}
	if j.Spec.Rounds > 0 && j.Spec.First == 0 {
		s.Spec.First = w.now
	}
	s.Spec.Accepted = w.now
	w.openJobs = append(w.openJobs, s)
	r, err := w.table.SpecRecord(j.Name, s.Spec)
	if err != nil {
		return err
	}
	w.store.append(jobsLog, 0, []jobtable.Record{r}, func(bool) { w.notifyOwner(j.Name) })
	if j.CancelAfter > 0 {
		w.Plan(j.CancelAfter, func() { w.cancel(s) })
	}
	return nil
}

// Cancel hands in the cancellation of a job; one that nobody handed in is left out.
func (w *World) Cancel(name id.Job) {
	if s := w.jobs[name]; s != nil {
		w.cancel(s)
	}
}

// cancel hands in the cancellation of a job that has not ended.
func (w *World) cancel(s *submittedJob) {
	if s.state != Open {
		return
	}
	w.store.append(jobsLog, 0, []jobtable.Record{w.table.CancelRecord(s.Name)}, func(bool) { w.notifyOwner(s.Name) })
}

// announce lets the owner read what the store says of a job. An owner that takes over later reads it then.
func (w *World) notifyOwner(name id.Job) {
	w.Plan(w.setup.Times.Read, func() {
		if w.owner != nil {
			w.owner.enqueueEvent(func(o *owner) { o.loadJob(name) })
		}
	})
}

// fits reports whether each step has room on workers with nothing on them: a gang as a whole, any
// other step task by task.
func (w *World) fits(s *job.Spec) bool {
	for i := range s.Steps {
		step := &s.Steps[i]
		room := 0
		for _, m := range w.machines {
			if m.Service == s.Service && m.hasLabel(step.Label) {
				room += countFitting(step, m.fullCapacity)
			}
		}
		if room == 0 || step.Gang && room < step.Count {
			return false
		}
	}
	return true
}

// howMany returns how many tasks of a step a worker holds, as far as it counts: at most all.
func countFitting(s *job.Step, free job.Resources) int {
	n := 0
	most := s.Count
	if s.MaxPerWorker > 0 {
		most = min(most, s.MaxPerWorker)
	}
	need := s.Reserved()
	for n < most && need.Fits(free) {
		free = free.Sub(need)
		n++
	}
	return n
}

// chance returns a number from 0 to 1 that depends on the seed and on names alone.
func (w *World) draw(what string, parts ...any) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, what, parts)
	return rand.New(rand.NewPCG(w.setup.Seed, h.Sum64())).Float64()
}
