package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// renewPause is the pause after a renewal that was refused or got no
	// answer. After a renewal that reported new ends, the next one is sent when
	// the ends are in the store, or after renewPause at the latest. After any
	// other answer the next renewal is sent at once.
	renewPause = 500 * time.Millisecond
	// busyPause is how long a worker that refused a start gets no new tasks. A
	// renewal that is sent at once reports its runs meanwhile.
	busyPause = 500 * time.Millisecond
)

// targetWorker returns the worker that an order was sent to, or nil if it isn't
// known any more or the order was sent under another epoch.
func (d *Dispatcher) targetWorker(t Target) *worker {
	if t.Fence.Epoch != d.epoch {
		return nil
	}
	return d.workers[t.Worker]
}

// run returns the worker's run of a task with a run number, or nil.
func (w *worker) run(t job.TaskID, number job.RunNumber) *run {
	r := w.runs.get(t)
	if r == nil || r.number != number {
		return nil
	}
	return r
}

// recordAnswer records that a worker has answered, and its clock.
func (d *Dispatcher) recordAnswer(now unit.Instant, w *worker, c fleet.ClockReading) {
	w.lastAnswerAt = now
	if c > 0 && c >= w.Clock {
		w.Clock, w.clockAt = c, now
	}
}

// applyVerdict handles what a verdict says about the worker itself. It reports
// whether the worker answered under this epoch.
func (d *Dispatcher) applyVerdict(now unit.Instant, w *worker, t Target, v fleet.Verdict, c fleet.ClockReading) bool {
	switch v {
	case fleet.Unknown, fleet.Unreachable:
		return false
	case fleet.Replaced:
		d.replace(now, w, anotherAnswers, nil)
		return false
	case fleet.Fenced:
		if d.raisedSince(t) {
			return false
		}
		if !d.fenced {
			d.note(Note{Event: EventOwnerFenced, Worker: w.ID, Why: "the worker has seen a later epoch"})
		}
		d.fenced = true
		return false
	default:
		d.recordAnswer(now, w, c)
		return true
	}
}

// runAnswer handles the answer to an order for a run. It returns the run, or
// nil if the run or its worker isn't known any more.
func (d *Dispatcher) runAnswer(now unit.Instant, t Target, v fleet.Verdict, c fleet.ClockReading, task job.TaskID, number job.RunNumber) *run {
	w := d.targetWorker(t)
	if w == nil {
		return nil
	}
	// If the worker's name may have several incarnations, a verdict other than
	// these two doesn't show which incarnation sent it.
	if v == fleet.Replaced || v == fleet.Fenced || !fleet.HasStart(w.ID) {
		d.applyVerdict(now, w, t, v, c)
	}
	return w.run(task, number)
}

// Started handles the result of a start order.
func (d *Dispatcher) Started(now unit.Instant, res StartResult) {
	if res.Verdict != fleet.CarriedOut && res.Verdict != fleet.Unknown && res.Verdict != fleet.Stale {
		d.startRefused(res.Start)
	}
	if res.Verdict == fleet.CarriedOut {
		d.noteStarted(now, res.Start)
	}
	d.recordStartResult(now, res)
	r := d.runAnswer(now, res.Start.Target, res.Verdict, res.Clock, res.Start.Task, res.Start.Run)
	if r == nil {
		return
	}
	r.inFlight = false
	r.worker.recordGrant(r.startLeaseExpiry, res.Verdict)
	r.startLeaseExpiry = 0
	switch res.Verdict {
	case fleet.CarriedOut:
		if r.apply(evStarted) && r.startedAt == 0 {
			r.startedAt = now
			r.noteStart(now)
		}
		d.window.noteAnswer(now, now.Sub(r.startSentAt))
	case fleet.Unknown:
		r.startUnanswered = true
		r.lateStartLeaseExpiry = d.noteUnansweredLease(r.worker, now)
	case fleet.Unreachable, fleet.Replaced, fleet.Fenced, fleet.LeaseExpired:
		// Either resend repeats the order, or runAnswer has already given up
		// the worker.
	case fleet.Stale:
		d.handleStaleStart(now, r)
	case fleet.NoTicket:
		if r.step != nil {
			r.step.dropPermit(r.worker)
		}
		d.startRejected(now, r, res.Verdict)
	case fleet.NoRoom, fleet.Busy, fleet.Invalid:
		r.worker.suspend(now, busyPause)
		d.startRejected(now, r, res.Verdict)
	}
}

// handleStaleStart handles a worker's answer that this run or a later one has
// already ended there. An earlier copy of the order was carried out, so the run
// has ended, perhaps with success: the next renewal lists its end, or else the
// run is lost.
func (d *Dispatcher) handleStaleStart(now unit.Instant, r *run) {
	d.noteRun(EventStartOvertaken, r, "", now.Sub(r.knownSince))
	if r.apply(evStarted) {
		r.startedAt = now
	}
	r.worker.nextRenewal = min(r.worker.nextRenewal, now)
}

// startRejected takes back a run that its worker did not start.
func (d *Dispatcher) startRejected(now unit.Instant, r *run, v fleet.Verdict) {
	if r.state == runRunning {
		return // the answer is older than one that was handled already
	}
	r.worker.nextRenewal = min(r.worker.nextRenewal, now)
	d.noteRun(EventStartRejected, r, v.String(), now.Sub(r.knownSince))
	if r.startUnanswered {
		// An earlier copy of the order may still be carried out; a stop
		// prevents that.
		d.stopWithGang(now, r, "refused while an earlier copy of its start order may still be carried out")
		return
	}
	if r.apply(evRejected) {
		d.loseWithGang(now, r, v.String())
	}
}

// Stopped handles the result of a stop order. The room is free only when the
// worker lists the end, or no longer lists the run.
func (d *Dispatcher) Stopped(now unit.Instant, res StopResult) {
	r := d.runAnswer(now, res.Stop.Target, res.Verdict, res.Clock, res.Stop.Task, res.Stop.Run)
	if r == nil {
		return
	}
	r.inFlight = false
	// Any other answer means that nothing was done; resend repeats the order.
	done := res.Verdict == fleet.CarriedOut || res.Verdict == fleet.Stale
	if done && r.stopConfirmedAt == 0 {
		r.stopConfirmedAt = now
		// A renewal after StopTime, which doesn't wait at the worker, shows
		// whether the worker ever had the run.
		r.worker.nextRenewal = min(r.worker.nextRenewal, now.Add(d.config.StopTime))
	}
}

// endRenewal handles the end of a renewal that was in flight, with or without
// an answer.
func (d *Dispatcher) endRenewal(now unit.Instant, w *worker, res RenewResult) {
	w.renewalInFlight = false
	if w.renewalWaits {
		w.renewalWaits = false
		d.waitingRenewals--
	}
	w.nextRenewal = now.Add(renewPause)
	w.renewalUnanswered = res.Verdict == fleet.Unknown
	w.renewalFailed = false
	if w.renewalUnanswered || res.Verdict == fleet.Unreachable {
		w.renewalFailed = now.Sub(res.Sent) <= res.Renew.Wait+renewTimeout+maxResultDelay
		w.changeSent = w.changeSent || w.renewalUnanswered && (res.Renew.Until != 0 || res.Renew.AckedEnd > 0)
		d.raiseAfterLoss(w)
		if w.firstLossAt == 0 {
			w.firstLossAt = now
		}
	}
	if w.renewalUnanswered {
		// The pause counts from when the lost renewal was sent, so that two
		// renewals in a row may be lost before a lease of 6 s expires.
		w.nextRenewal = max(now, res.Sent.Add(renewPause))
	}
	w.recordGrant(w.renewalLeaseExpiry, res.Verdict)
	w.renewalLeaseExpiry = 0
	if w.renewalUnanswered && res.Renew.Until != 0 {
		d.noteUnansweredLease(w, res.Sent)
	}
	if w.renewalUnanswered && res.Renew.AckedEnd > 0 {
		w.lateAckAt = res.Sent
	}
}

// Renewed handles a worker's answer to a renewal.
func (d *Dispatcher) Renewed(now unit.Instant, res RenewResult) {
	w := d.targetWorker(res.Renew.Target)
	if w == nil {
		return
	}
	d.endRenewal(now, w, res)
	if res.Verdict == fleet.Replaced && res.Report.Incarnation != "" {
		if !w.replaced {
			d.replace(now, w, sameName, d.successor(now, w, res.Report.Incarnation))
		}
		return
	}
	if !d.applyVerdict(now, w, res.Renew.Target, res.Verdict, res.Report.Clock) || res.Verdict != fleet.CarriedOut {
		return
	}
	w.lastEndAcked, w.firstLossAt = max(w.lastEndAcked, res.Renew.AckedEnd), 0
	if res.Sent > w.syncRequestedAt {
		w.syncedAsOf, w.syncedClock = res.Sent, res.Report.Clock
	}
	// The worker has seen this owner's fence, and obeys no earlier owner any more.
	w.formerLeaseExpiry = min(w.formerLeaseExpiry, d.maxLeaseExpiry(now))
	d.resolveContest(now, w)
	ended := map[job.TaskID]bool{}
	for _, e := range res.Report.Ended {
		ended[e.Task] = true
		if e.Seq > w.lastEndSeen {
			w.lastEndSeen, d.newEnds = e.Seq, true
			w.keepUnstored(e)
			d.runEnded(now, w, e, res)
		}
	}
	if w.replaced && fleet.HasStart(w.ID) {
		return // it answered before the next incarnation did: the runs that it lists are over
	}
	d.reconcile(now, w, res, ended)
	if res.prompt(now) {
		d.stopStalled(now, w)
	}
	w.endProbation(now)
	d.pace(now, w)
	d.noteMachineBack(w)
	if w.lastEndSeen == w.lastEndStored {
		w.nextRenewal = now
	}
}
