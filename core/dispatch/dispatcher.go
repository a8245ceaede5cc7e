package dispatch

import (
	"cmp"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/unit"
)

// Dispatcher is the owner's state. The zero value is not ready; call New.
type Dispatcher struct {
	config Config
	// policy says which mechanisms are on.
	policy policy.Policy
	epoch  id.Epoch
	table  *jobtable.Table

	jobs map[id.Job]*jobState
	// open holds the jobs without an outcome by id, so that walks are the same on every
	// host; ended the others, until nobody needs to know them.
	open, ended []*jobState
	// expired is when ended was last looked through.
	expired unit.Instant
	workers map[id.Worker]*worker
	// awaiting counts the renewals that wait for news at workers.
	awaiting int
	// order holds the workers by id, so that walks are the same on every host.
	order []*worker
	// guaranteed is how many accelerators each customer can always have.
	guaranteed map[id.Customer]int
	// arrivals holds the rate of urgent work of each service.
	arrivals map[id.Service]*arrivals

	// wall is the time of day at the last pass.
	wall unit.Instant
	// pools holds what this pass knows of the workers, by service; racks how empty each rack
	// is.
	pools map[id.Service]*pool
	racks map[rackName]*rackUse
	// lifeEnds holds the crashes of workers of the last commonCause.
	lifeEnds []*lifeEnd
	// window bounds the starts under way.
	window window
	// inPlace counts the runs that take room.
	inPlace int
	// claims counts the gangs that room is kept for without stopping anybody.
	claims int
	// lastingWaits holds the services in which long-running tasks wait for room.
	lastingWaits map[id.Service]bool

	// waves holds the waves of maintenance that are asked for.
	waves map[id.Wave]*wave
	// began is when this owner's first pass was; 0 before.
	began unit.Instant
	// advice is the state of the questions to the advice service.
	advice consultation

	orders Orders
	notes  []Note
	// starts are placed runs whose orders wait for the next batch.
	starts []*run
	// changed lists the jobs whose record is older than their state.
	changed []*jobState
	forget  []id.Job
	// acks is set if some worker's ends were noted since the last batch.
	acks   bool
	fenced bool
	// raise is the last one that was given to a worker's fence; it never falls.
	raise id.Raise
	// assured is as of when it is known that nobody else was the owner; 0 if nobody tells, as in a model that has no
	// other host: leases are granted then.
	assured unit.Instant
	// withholds is set while leases aren't extended because of that.
	withholds bool
	// evacuated holds the failure domains where nothing may start, as of informed; 0 if nothing is known yet.
	evacuated []id.Domain
	informed  unit.Instant
	// uninformed is set while nothing starts because that is too long ago.
	uninformed bool
}

// New returns the dispatcher of an owner with the given epoch, that decides by the given policy.
// The table encodes records and tells how far an earlier owner's waves are; it is not changed.
func New(c Config, p policy.Policy, epoch id.Epoch, table *jobtable.Table) *Dispatcher {
	return &Dispatcher{
		config: c, policy: p, epoch: epoch, table: table,
		jobs: map[id.Job]*jobState{}, workers: map[id.Worker]*worker{}, guaranteed: map[id.Customer]int{},
		arrivals: map[id.Service]*arrivals{}, racks: map[rackName]*rackUse{}, waves: map[id.Wave]*wave{},
		advice: consultation{yield: firstYield}, window: newWindow(),
	}
}

// Assure notes as of when it is known that nobody else was the owner.
func (d *Dispatcher) Assure(at unit.Instant) { d.assured = max(d.assured, at) }

// Fenced reports whether a worker has seen a later owner.
func (d *Dispatcher) Fenced() bool { return d.fenced }

// InPlace returns how many runs take room on workers, as far as is known.
func (d *Dispatcher) InPlace() int { return d.inPlace }

// Take returns the orders that may leave at once.
func (d *Dispatcher) Take() Orders {
	o := d.orders
	d.orders = Orders{}
	return o
}

// Notes returns what was decided since the last call.
func (d *Dispatcher) Notes() []Note {
	n := d.notes
	d.notes = nil
	return n
}

// Guarantee sets how many accelerators a customer can always have.
func (d *Dispatcher) Guarantee(c id.Customer, accelerators int) { d.guaranteed[c] = accelerators }

// List takes in a worker's entry in the platform's list.
func (d *Dispatcher) List(now unit.Instant, l fleet.Listing) {
	w := d.worker(now, l.ID)
	if !w.listed {
		d.note(Note{Event: EventWorkerListed, Worker: l.ID, Why: l.Address})
	}
	if l.Draining && !w.Draining {
		d.note(Note{Event: EventWorkerDraining, Worker: l.ID, Age: l.Remaining})
	}
	if l.Machine == "" {
		l.Machine = w.Machine // it may be known from elsewhere
	}
	told := l.Clock
	if l.Clock > w.Clock {
		w.clockAt = now
	} else {
		l.Clock = w.Clock // a worker's answer may be newer than the list
	}
	resized := l.Capacity != w.Capacity
	w.Listing, w.listed = l, true
	w.evacuated = slices.Contains(d.evacuated, l.Domain)
	if resized {
		w.reshield()
	}
	if l.Draining {
		w.leaves, w.leavesAt = now.Add(l.Remaining), 0
		if told > 0 {
			w.leavesAt = told + fleet.Clock(l.Remaining)
		}
	}
	d.contest(now, w)
}

// Unlist notes that the platform's list has dropped a worker. It may live on, cut off
// from the platform's store.
func (d *Dispatcher) Unlist(_ unit.Instant, name id.Worker) {
	w := d.workers[name]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	d.note(Note{Event: EventWorkerUnlisted, Worker: name})
}

// worker returns a worker by name. One that isn't known yet is taken to hold leases that
// an earlier owner granted up to now.
func (d *Dispatcher) worker(now unit.Instant, name id.Worker) *worker {
	w := d.workers[name]
	if w != nil {
		return w
	}
	w = &worker{Listing: fleet.Listing{ID: name}, name: fleet.NameOf(name), clockAt: now, since: now}
	w.grantedUntil = d.lapseOf(now)
	d.raiseFence(w)
	d.workers[name] = w
	at, _ := slices.BinarySearchFunc(d.order, w, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	d.order = slices.Insert(d.order, at, w)
	return w
}

// forgetGone drops the workers that are surely gone. Otherwise passes would cost by all lives that
// the owner has ever known.
func (d *Dispatcher) forgetGone(now unit.Instant) {
	d.order = slices.DeleteFunc(d.order, func(w *worker) bool {
		gone := w.gone(now, d.config.KeepEnded)
		if gone {
			delete(d.workers, w.ID)
		}
		return gone
	})
}

// gone reports whether a worker can be forgotten: the platform doesn't list it, nothing can run
// there, and no end is left that it would tell again. Ends that it was never told of keep it for
// as long as the jobs that ended.
func (w *worker) gone(now unit.Instant, keepEnded time.Duration) bool {
	if w.listed || w.holding || len(w.runs) > 0 || now <= w.lapse() {
		return false
	}
	return w.replaced || w.told == w.seen || now > w.lapse().Add(keepEnded)
}

// mark notes that the job's record must be written again.
func (d *Dispatcher) mark(js *jobState) {
	if !js.changed {
		js.changed = true
		d.changed = append(d.changed, js)
	}
}
