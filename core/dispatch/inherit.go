package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/speed"
	"curlewsill.org/curlewsill/core/unit"
)

// A worker may restart under its name. Its next incarnation accepts orders that
// were meant for the previous one. Every run on the previous incarnation has
// ended, but the next one may have received the start order of such a run. The
// task is placed again only after the next incarnation has reported whether it
// has the run.

// maxOrderDelay is the time after its sending within which the platform may
// still carry out an unanswered order.
const maxOrderDelay = 12 * time.Second

// maxAnswerAgeForAck is how recent a worker's last answer must be for a renewal
// to acknowledge task ends, which lets the worker forget them. Recording an end
// takes some 10 ms; a worker takes longer than this to restart, and longer
// still until it has ended a task.
const maxAnswerAgeForAck = 250 * time.Millisecond

// whyLateStart is the reason logged when a run is stopped on the next
// incarnation of its worker.
const whyLateStart = "an order to start it may reach the next incarnation under its worker's name"

// unreplacedNamesake reports whether an incarnation that isn't known to have
// ended has the same name as another one.
func (w *worker) unreplacedNamesake(o *worker) bool { return w != o && w.name == o.name && !w.replaced }

// successor returns the incarnation that answered in place of another one of
// its name. The successor's own list entry may not have been read yet. If a
// third incarnation has already replaced the successor, the successor gets
// another renewal, and the runs that it inherits are passed on to the third one
// after that.
func (d *Dispatcher) successor(now unit.Instant, w *worker, successorID id.Worker) *worker {
	next := d.worker(now, successorID)
	if next.Address == "" {
		next.Address, next.Machine = w.Address, w.Machine
	}
	next.replaced = false
	return next
}

// noteUnansweredLease records that an order that grants a lease was sent at the
// given time and got no answer. The next incarnation under the worker's name
// may still carry it out; the lease then starts at that time, on the clock of
// that incarnation. noteUnansweredLease returns when the lease has expired for
// certain, or 0 if there can't be such an incarnation.
func (d *Dispatcher) noteUnansweredLease(w *worker, sent unit.Instant) unit.Instant {
	if !fleet.HasStart(w.ID) {
		return 0
	}
	until := d.maxLeaseExpiry(sent.Add(maxOrderDelay))
	w.lateLeaseExpiry = max(w.lateLeaseExpiry, until)
	return until
}

// inherit transfers runs and lease expiries from a worker to next, the next
// incarnation under its name. That incarnation may have received orders that were
// meant for the worker, or may still receive them.
func (d *Dispatcher) inherit(now unit.Instant, w, next *worker) {
	if w.renewalLeaseExpiry != 0 {
		d.noteUnansweredLease(w, now)
	}
	for _, r := range w.sorted() {
		if r.startLeaseExpiry != 0 {
			d.noteUnansweredLease(w, now)
		}
		if r.mayReachSuccessor() {
			d.moveRun(now, r, next)
		}
	}
	next.lateAckAt = max(next.lateAckAt, w.lateAckAt)
	next.grantedLeaseExpiry = max(next.grantedLeaseExpiry, w.lateLeaseExpiry)
	next.lateLeaseExpiry = max(next.lateLeaseExpiry, w.lateLeaseExpiry)
	if remaining := w.lateAckAt.Add(maxOrderDelay).Sub(now); w.lateAckAt != 0 && remaining > 0 {
		next.suspend(now, remaining)
		d.note(Note{Event: EventWorkerSuspended, Worker: next.ID, Why: "a delayed renewal could make it forget unread task ends", Age: remaining})
	}
	next.nextRenewal = min(next.nextRenewal, now)
}

// mayReachSuccessor reports whether the next incarnation under the worker's name
// may receive, or may have received, an order to start the run. That is so if the
// order got no answer, even if it is too late by now, or if nothing proves that
// the present incarnation started the run. An order that was never sent can't
// reach it.
func (r *run) mayReachSuccessor() bool {
	unanswered := r.startOpenUntil != 0 || r.startInFlight
	answeredOnly := r.startedAt != 0 && r.worker.syncedAsOf <= r.startedAt
	unsure := r.reportedAt == 0 && (r.fromEarlierOwner || r.inheritedFrom != "" || answeredOnly) // nothing proves that this incarnation started it
	return r.state != runOrdered && (unanswered || unsure)
}

// moveRun assigns a run to the next incarnation under its worker's name until
// that one reports whether it has the run.
func (d *Dispatcher) moveRun(now unit.Instant, r *run, next *worker) {
	if next.runs.get(r.task) != nil {
		return
	}
	old := r.worker
	r.dropIsolationReserve()
	old.updateCounts(func() { old.runs.remove(r.task) })
	old.used = old.used.Sub(r.taken())
	d.placedRuns--
	if r.inheritedFrom == "" {
		r.inheritedFrom = old.ID
	}
	r.worker = next
	r.startUnanswered = r.startUnanswered || r.startInFlight
	r.inFlight, r.startLeaseExpiry = false, 0
	r.startedAt, r.signAt, r.reportedAt, r.missingAt, r.stopSentAt, r.stopConfirmedAt = 0, 0, 0, 0, 0, 0
	r.progress, r.startKnown = speed.Progress{}, false
	d.occupy(r)
	d.noteRun(EventTaskInherited, r, "placed on "+string(old.ID), now.Sub(r.knownSince))
	if r.state == runStopping {
		d.orderStop(now, r)
	}
	if t := r.record(); t != nil {
		t.Worker = next.ID
		d.markChanged(r.step.job)
	}
}

// inheritedMissing handles an answer of the next incarnation under a name that
// doesn't list a run placed on the previous one. If a start order is open, it may
// still arrive, so the run is stopped there. Otherwise the run ended with the
// previous incarnation, or it ended on this one while the worker collected its
// lists of running and ended tasks.
func (d *Dispatcher) inheritedMissing(now unit.Instant, r *run, sent unit.Instant) {
	if r.mayStillStart(sent) {
		d.stopWithGang(now, r, whyLateStart)
		return
	}
	d.recordMissing(now, r, sent)
}

// inheritedFound handles an answer of the next incarnation under a name that
// reports a run placed on the previous one. If only one start order was sent,
// the previous incarnation never had the run, so the crash of that incarnation
// isn't counted against the run.
func (d *Dispatcher) inheritedFound(r *run) {
	if r.inheritedFrom == "" {
		return
	}
	if r.startOrders == 1 {
		d.retractCrash(r.inheritedFrom, r.task, r.number, "the next incarnation under its worker's name has the run")
	}
	r.inheritedFrom = ""
}

// endsToAck returns the number of the last end that a renewal acknowledges, so
// that the worker forgets the ends up to it; 0 for none. The next incarnation
// under the name may receive the renewal instead. It would then forget ends of
// its own that the owner has never read, and their tasks would run again. To
// prevent this, each number is sent only once, and only shortly after this
// incarnation has answered. If its last answer is too old, another renewal
// without an acknowledgement is sent first.
func (w *worker) endsToAck(now unit.Instant) uint64 {
	last := w.lastToAck()
	switch {
	case !fleet.HasStart(w.ID):
		return last
	case w.lastEndAcked >= last || w.renewalUnanswered || now.Sub(w.lastAnswerAt) > maxAnswerAgeForAck:
		return 0
	}
	return last
}
