package dispatch

import (
	"cmp"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/speed"
	"curlewsill.org/curlewsill/core/unit"
)

// Dispatcher is the owner's scheduling state. The zero value is not usable;
// call New.
type Dispatcher struct {
	config Config
	// policy tells which optional mechanisms are on.
	policy policy.Policy
	epoch  id.Epoch
	table  *jobtable.Table

	jobs map[id.Job]*jobState
	// open holds the jobs without an outcome, sorted by id so that every host
	// iterates in the same order; ended holds the other jobs until their
	// retention is over.
	open, ended []*jobState
	// lastExpiryAt is when ended was last searched for jobs whose retention is over.
	lastExpiryAt unit.Instant
	workers      map[id.Worker]*worker
	// waitingRenewals counts the renewals in flight that wait at a worker until
	// it has something to report.
	waitingRenewals int
	// workersByID holds the workers sorted by id, so that every host iterates
	// in the same order.
	workersByID []*worker
	// withheld holds what is kept for the next owner of the ends that must not be
	// acknowledged.
	withheld map[id.Worker]*withheld
	// guaranteed is the number of accelerators guaranteed to each customer.
	guaranteed map[id.Customer]int
	// arrivals holds the arrival rate of urgent work for each service.
	arrivals map[id.Service]*arrivals

	// wallTime is the time of day at the last pass.
	wallTime unit.Instant
	// pools holds the usable workers of each service in this pass, racks the
	// numbers of usable and of empty workers of each rack.
	pools map[id.Service]*pool
	racks map[rackName]*rackUse
	// incarnationEnds holds the worker crashes of the most recent period of
	// length commonCause.
	incarnationEnds []*incarnationEnd
	// window bounds the number of start orders in flight.
	window window
	// placedRuns counts the runs that occupy room on workers.
	placedRuns int
	// claimsWithoutStop counts the gangs that have room reserved without a run
	// being stopped for them.
	claimsWithoutStop int
	// longRunningWaits holds the services in which long-running tasks wait for
	// room.
	longRunningWaits map[id.Service]bool

	// waves holds the requested waves of maintenance.
	waves map[id.Wave]*wave
	// firstPassAt is when this owner's first pass was; 0 before.
	firstPassAt unit.Instant
	// advice is the state of the questions to the advice service.
	advice adviceState

	orders Orders
	notes  []Note
	// starts are the placed runs whose start orders wait for the next batch.
	starts []*run
	// changed lists the jobs whose records in the store are older than their
	// state.
	changed []*jobState
	// begun lists the jobs that have begun since the last batch, or under an
	// earlier owner that hadn't recorded it.
	begun []*jobState
	// forget lists the jobs whose records are to be deleted from the store.
	forget []id.Job
	// tombstones holds which tombstones are to end.
	tombstones tombstones
	// newEnds is set if new ends reported by workers were handled since the
	// last batch.
	newEnds bool
	fenced  bool
	// lastFenceRevision is the latest revision that was assigned to the fence
	// of a worker; it never decreases.
	lastFenceRevision id.FenceRevision
	// soleOwnerAt is the latest time as of which no other host was the owner; 0
	// if ConfirmSoleOwner was never called, as in a model without other hosts.
	// Leases are granted then.
	soleOwnerAt unit.Instant
	// leasesWithheld is set while leases aren't extended because soleOwnerAt is
	// too old.
	leasesWithheld bool
	// evacuated holds the failure domains where nothing may start, as of
	// evacuationsKnownAt, which is 0 before anything is known.
	evacuated          []id.Domain
	evacuationsKnownAt unit.Instant
	// jobsKnownAt is the time as of which all jobs and cancellations are known; 0
	// before any are.
	jobsKnownAt unit.Instant
	// startsWithheld and cancelsUnknown are set while nothing starts because
	// evacuationsKnownAt or jobsKnownAt is too old.
	startsWithheld, cancelsUnknown bool

	// outageEnded is when the latest outage of the store ended, or a later time if
	// only other hosts have seen it; 0 if none is known. inheritedOutage is the
	// latest record of other hosts that was used.
	outageEnded     unit.Instant
	inheritedOutage jobtable.Outage

	// speeds compares the workers' speeds, for the last time at
	// speedsComparedAt; 0 before. estimates is the buffer for that.
	speeds           speed.Comparison
	speedsComparedAt unit.Instant
	estimates        []*speed.Estimate
	// speedClasses is the number of listed workers in each speed class.
	speedClasses [speed.Classes]int
	// differ is set while workers are shown to differ in speed and the policy
	// uses that.
	differ bool
	// tierSlowness is the mean slowness of each tier of a service, for the
	// services whose workers are in several tiers.
	tierSlowness map[id.Service][]float64
}

// New returns the dispatcher of an owner with the given epoch and policy. The
// table encodes records and has the waves of earlier owners; New doesn't change
// it.
func New(c Config, p policy.Policy, epoch id.Epoch, table *jobtable.Table) *Dispatcher {
	d := &Dispatcher{
		config: c, policy: p, epoch: epoch, table: table,
		jobs: map[id.Job]*jobState{}, workers: map[id.Worker]*worker{}, guaranteed: map[id.Customer]int{},
		arrivals: map[id.Service]*arrivals{}, racks: map[rackName]*rackUse{}, tierSlowness: map[id.Service][]float64{}, waves: map[id.Wave]*wave{},
		advice: adviceState{yield: initialYield}, window: newWindow(), withheld: map[id.Worker]*withheld{},
	}
	d.inheritWithheld(table.Withheld())
	return d
}

// ConfirmSoleOwner records that no other host was the owner at a time.
func (d *Dispatcher) ConfirmSoleOwner(at unit.Instant) { d.soleOwnerAt = max(d.soleOwnerAt, at) }

// Fenced reports whether this owner must give way: a worker has seen a later
// epoch, or the fence can't be raised any more.
func (d *Dispatcher) Fenced() bool { return d.fenced }

// PlacedRuns returns the number of runs that occupy room on workers, as far as
// is known.
func (d *Dispatcher) PlacedRuns() int { return d.placedRuns }

// TakeOrders returns the orders that may be sent at once.
func (d *Dispatcher) TakeOrders() Orders {
	o := d.orders
	d.orders = Orders{}
	return o
}

// TakeNotes returns the decisions made since the last call.
func (d *Dispatcher) TakeNotes() []Note {
	n := d.notes
	d.notes = nil
	return n
}

// SetGuarantee sets the number of accelerators guaranteed to a customer.
func (d *Dispatcher) SetGuarantee(c id.Customer, accelerators int) { d.guaranteed[c] = accelerators }

// List adds or updates a worker from its entry in the platform's list, which the
// worker has just written.
func (d *Dispatcher) List(now unit.Instant, l fleet.Listing) {
	w := d.worker(now, l.ID)
	if !w.listed {
		d.note(Note{Event: EventWorkerListed, Worker: l.ID, Why: l.Address})
	}
	if l.Draining && !w.Draining {
		d.note(Note{Event: EventWorkerDraining, Worker: l.ID, Age: l.Remaining})
	}
	if l.Machine == "" {
		l.Machine = w.Machine // it may be known from the platform's list of machines
	}
	listedClock := l.Clock
	if l.Clock > w.Clock {
		w.clockAt = now
	} else {
		l.Clock = w.Clock // a worker's answer may be newer than the list
	}
	resized := l.Capacity != w.Capacity
	w.Listing, w.listed, w.unrenewed, w.presumedEnded = l, true, false, false
	w.evacuated = slices.Contains(d.evacuated, l.Domain)
	if resized {
		w.updateIsolationReserves()
	}
	if l.Draining {
		w.drainEndsAt, w.drainEndClock = now.Add(l.Remaining), 0
		if listedClock > 0 {
			w.drainEndClock = listedClock + fleet.ClockReading(l.Remaining)
		}
	}
	d.contest(now, w)
}

// Unlist records that the platform's list no longer contains a worker. The
// worker may still be up, but partitioned from the platform's store.
func (d *Dispatcher) Unlist(now unit.Instant, workerID id.Worker) {
	w := d.workers[workerID]
	if w == nil || !w.listed {
		return
	}
	w.listed, w.unlistedAt = false, now
	d.note(Note{Event: EventWorkerUnlisted, Worker: workerID})
}

// worker returns a worker by its id, adding it if it isn't known yet. A new one
// is assumed to hold leases that an earlier owner granted up to now.
func (d *Dispatcher) worker(now unit.Instant, name id.Worker) *worker {
	w := d.workers[name]
	if w != nil {
		return w
	}
	w = &worker{Listing: fleet.Listing{ID: name}, name: fleet.NameOf(name), clockAt: now, knownSince: now, slowness: 1}
	w.formerLeaseExpiry = d.maxLeaseExpiry(now)
	if x := d.withheld[name]; x != nil {
		w.withheldEnd = x.record.Seq
	}
	d.raiseFence(w)
	d.workers[name] = w
	at, _ := slices.BinarySearchFunc(d.workersByID, w, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	d.workersByID = slices.Insert(d.workersByID, at, w)
	return w
}

// forgetGone drops the workers that are gone for certain. Without it the cost
// of a pass would grow with every incarnation that the owner has ever known.
func (d *Dispatcher) forgetGone(now unit.Instant) {
	d.workersByID = slices.DeleteFunc(d.workersByID, func(w *worker) bool {
		gone := w.gone(now, d.config.EndedRetention)
		if gone {
			delete(d.workers, w.ID)
		}
		return gone
	})
}

// gone reports whether a worker can be forgotten: the platform doesn't list it,
// nothing can run there, and it has no end left to report again. Unless it was
// replaced, a worker with unacknowledged ends is kept for as long as ended jobs
// are, counted from the expiry of its leases.
func (w *worker) gone(now unit.Instant, keepEnded time.Duration) bool {
	if w.listed || w.renewalInFlight || len(w.runs) > 0 || now <= w.leaseExpiry() {
		return false
	}
	return w.replaced || w.lastEndAcked == w.lastEndSeen || now > w.leaseExpiry().Add(keepEnded)
}

// markChanged schedules the job's records to be written again.
func (d *Dispatcher) markChanged(js *jobState) {
	if !js.changed {
		js.changed = true
		d.changed = append(d.changed, js)
	}
}
