package dispatch

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/unit"
)

// A machine has one incarnation after the other, each a worker of its own. The
// platform's list may show two of them at a time, in an order that says nothing
// about their age: most runs that were given up because of that order would
// still be running. Only answers of workers show which incarnation is current.

// evidence is the reason to conclude that nothing runs any more on a worker
// that hasn't reported so itself.
type evidence string

const (
	// leaseLapsed: every lease on the worker has expired, even if its clock is
	// as slow as the platform allows.
	leaseLapsed evidence = "its lease has lapsed"
	// anotherAnswers: an order to the worker was answered by another
	// incarnation at its address.
	anotherAnswers evidence = "another life at its address"
	// sameName: another incarnation of the same name answered an order that was
	// sent after the owner learned of this incarnation. Incarnations of one
	// name never overlap, so the one that answered is the later one, whatever
	// the start times in their ids.
	sameName evidence = "another life under its name"
	// laterAnswered: another incarnation at its address, or on its machine, has
	// answered an order sent after the worker's last answer had arrived.
	laterAnswered evidence = "a later life has answered"
	// missingAfterOutage: the worker's entry in the platform's list went during
	// an outage of the store and hasn't come back since. It proves nothing of
	// runs that may have begun.
	missingAfterOutage evidence = "its entry is missing since an outage of the store"
	// onNoMachine: the worker's entry is missing since an outage of the store, or has
	// gone after the worker announced its end, and the platform's list of machines,
	// read after that, has the worker on no machine.
	onNoMachine evidence = "its entry has gone, and no machine has it"
)

// loseAll gives up every run on a worker because of evidence that nothing runs
// there any more, but for those that may still start or await a report. If the
// evidence suggests a crash, it counts the crash against the tasks. If the
// evidence is leaseLapsed but a lease may still be valid, it reports a violated
// invariant and gives up nothing.
func (d *Dispatcher) loseAll(now unit.Instant, w *worker, e evidence) {
	runs := slices.DeleteFunc(w.sorted(), func(r *run) bool {
		return r.mayStillStart(now) || e == leaseLapsed && d.awaitsReport(now, r)
	})
	if len(runs) == 0 {
		return
	}
	if w.crashed(now, e) {
		d.countCrashes(now, w, runs)
	}
	d.loseRuns(now, w, runs, e)
}

// loseRuns gives up runs of a worker like loseAll, without counting a crash. A
// run whose start order is open is kept until the order is too late.
func (d *Dispatcher) loseRuns(now unit.Instant, w *worker, runs runSet, e evidence) {
	for _, r := range runs {
		if r.mayStillStart(now) {
			continue
		}
		if e == leaseLapsed && now <= w.leaseExpiry() {
			d.noteViolation(now, r, "given up although its lease may not have expired")
			continue
		}
		d.noteRun(EventTaskLost, r, string(e), w.silentFor(now))
		if e == leaseLapsed || e == onNoMachine {
			d.noteLost(r)
		}
		r.apply(evLost)
		d.loseWithGang(now, r, string(e))
	}
}

// awaitsReport reports whether a run is kept although its lease has expired. The
// lease shows that the run is over, but not how it ended. A worker that lives
// lists the ends that nobody has acknowledged once it can be reached. Without
// the wait, a task that was done while its worker couldn't be reached would be
// done again. The wait is as long as a lease at most, for the sake of tasks whose
// worker is gone or stays out of reach. The list of workers tells the two apart
// only after an outage of the store: at other times a path that carries no calls
// may carry no heartbeats either.
func (d *Dispatcher) awaitsReport(now unit.Instant, r *run) bool {
	w, s := r.worker, r.step
	if w.hasLeft() || s == nil || !r.mayHaveStarted() {
		return false
	}
	if s.step.LongRunning || s.step.AllowDuplicates || now.Sub(w.leaseExpiry()) > d.config.MaxLease {
		return false
	}
	if !r.reportAwaited {
		r.reportAwaited = true
		d.noteRun(EventReportAwaited, r, "its lease has lapsed, and its worker may report that it was done", w.silentFor(now))
	}
	return true
}

// hasLeft reports whether a worker has ended, or is about to, by an announcement,
// by an order to take its machine down or by the list after an outage, or can't be
// asked.
func (w *worker) hasLeft() bool {
	return w.awaitingUpkeep || w.Draining && !w.listed || w.presumedEnded || w.Address == ""
}

// replace gives up an incarnation after another one has answered in its place.
// next is that other incarnation if both have the same name, and nil otherwise.
// If the replaced incarnation is listed again later, the owner sends it
// renewals again.
func (d *Dispatcher) replace(now unit.Instant, w *worker, e evidence, next *worker) {
	n := Note{Event: EventWorkerReplaced, Worker: w.ID, Why: string(e), Age: w.silentFor(now)}
	if next != nil {
		n.Why += ", " + string(next.ID)
	}
	d.note(n)
	if w.crashed(now, e) && (next == nil || fleet.HasStart(w.ID)) {
		d.countCrashes(now, w, w.runs)
	}
	if next != nil {
		if next.fenceRevision < w.fenceRevision {
			d.raiseFence(next)
		}
		d.inherit(now, w, next)
	}
	d.loseRuns(now, w, w.sorted(), e)
	w.listed, w.replaced, w.syncedAsOf = false, true, 0
	for _, o := range d.workersByID {
		if o.conflictsWith(w) {
			d.endContest(o)
		}
	}
}

// conflictsWith reports whether at most one of two workers can be the current
// incarnation of its machine.
func (w *worker) conflictsWith(o *worker) bool {
	if w == o {
		return false
	}
	return w.name == o.name || w.Address != "" && w.Address == o.Address || w.Machine != "" && w.Machine == o.Machine
}

// contest records that a worker conflicts with others that have the same name,
// address or machine. Each of them gets a renewal at once, and no new tasks
// until it has answered. If the worker was replaced before, only the worker
// itself must answer again; the others are unaffected until it does.
func (d *Dispatcher) contest(now unit.Instant, w *worker) {
	if w.replaced {
		w.replaced, w.rivalSeenAt = false, now
		return
	}
	for _, o := range d.workersByID {
		if !o.conflictsWith(w) || !o.mayBeCurrent() && !o.unreplacedNamesake(w) || w.rivalSeenAt != 0 && o.rivalSeenAt != 0 {
			continue
		}
		d.note(Note{Event: EventWorkerContested, Worker: w.ID, Why: "by " + string(o.ID), Age: w.silentFor(now)})
		d.note(Note{Event: EventWorkerContested, Worker: o.ID, Why: "by " + string(w.ID), Age: o.silentFor(now)})
		w.rivalSeenAt, o.rivalSeenAt = now, now
		w.nextRenewal, o.nextRenewal = min(w.nextRenewal, now), min(o.nextRenewal, now)
	}
}

// mayBeCurrent reports whether a worker may be the current incarnation of its
// machine, as far as is known.
func (w *worker) mayBeCurrent() bool { return !w.replaced && (w.listed || len(w.runs) > 0) }

// confirmed reports whether a worker has answered an order that this owner sent
// after a conflicting incarnation was last listed, if there was one.
func (w *worker) confirmed() bool { return w.syncedAsOf > w.rivalSeenAt }

// resolveContest processes an answer of a worker that conflicts with others.
// The answered order was sent at the worker's syncedAsOf. A conflicting worker
// is an earlier incarnation if its last answer arrived before syncedAsOf. It is
// also an earlier one if it has the same name and this owner learned of it
// before syncedAsOf.
func (d *Dispatcher) resolveContest(now unit.Instant, w *worker) {
	if w.rivalSeenAt == 0 {
		return
	}
	for _, o := range d.workersByID {
		switch {
		case o.unreplacedNamesake(w) && o.knownSince < w.syncedAsOf:
			d.replace(now, o, sameName, w)
		case o.conflictsWith(w) && o.mayBeCurrent() && o.lastAnswerAt != 0 && o.lastAnswerAt < w.syncedAsOf:
			d.replace(now, o, laterAnswered, nil)
		}
	}
	d.endContest(w)
}

// endContest clears the conflict of a worker if no other worker conflicts with
// it any more.
func (d *Dispatcher) endContest(w *worker) {
	for _, o := range d.workersByID {
		if o.conflictsWith(w) && o.mayBeCurrent() {
			return
		}
	}
	w.rivalSeenAt = 0
}

// silentFor returns how long ago the worker's last answer arrived; 0 if it has
// never answered this owner.
func (w *worker) silentFor(now unit.Instant) time.Duration {
	if w.lastAnswerAt == 0 {
		return 0
	}
	return now.Sub(w.lastAnswerAt)
}
