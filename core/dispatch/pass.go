package dispatch

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// stopPatience times the time that a stop may take is when a run that is still listed is
	// ordered to stop again.
	stopPatience = 3
	// resendAfter is when an order without an answer is repeated. Workers answer
	// within a few milliseconds.
	resendAfter = 300 * time.Millisecond
	// startPatience is how long a run may wait for an answer to its orders to start, startTries of them at
	// least, from a worker that answers renewals meanwhile. Without it tasks stay for ever
	// with a worker that takes no starts.
	startPatience = 4 * time.Second
	startTries    = 5
	// renewWait is how long a renewal may wait at the worker for news; the
	// platform allows 2 s.
	renewWait = 2 * time.Second
	// renewLimit is how long after its wait a renewal without an answer counts as lost, by the limit
	// of the platform's client.
	renewLimit = 800 * time.Millisecond
	// lateResult is how long after its limit the end of a renewal may be taken in to tell something of the worker.
	lateResult = 500 * time.Millisecond
	// leaseShare is the part of a lease within which a renewal must come after two were lost. The
	// worker's clock may run 2 % off; the rest is for the way.
	leaseShare = 0.95
	// leastWait is how long a renewal may wait on deployments with the shortest leases.
	leastWait = 100 * time.Millisecond
	// sharedWait is renewWait on a worker where tasks that use what others leave run beside
	// serving ones: the worker's figures are those of the last half second.
	sharedWait = 500 * time.Millisecond
	// silentAfter is how long after its last answer a worker gets no new tasks.
	// It is one renewal that waited in full, and one lost.
	silentAfter = 3500 * time.Millisecond
	// moveSlack is the time that a stop needs on its way and to be noted.
	moveSlack = 500 * time.Millisecond
	// trustPercent is the least progress, in percent, from which a run's remaining time
	// is estimated; below, the customer's estimate counts.
	trustPercent = 10
)

// Pass does what is due: it gives up lapsed leases, repeats orders, renews leases and
// places tasks. Now is a steady clock; wall is the time of day, by which the rounds of
// timed jobs fall due, and may jump.
func (d *Dispatcher) Pass(now, wall unit.Instant) {
	d.wall = wall
	if d.began == 0 {
		d.began = now
	}
	d.noteGrants(now)
	d.noteNews(now)
	d.forgetGone(now)
	for _, w := range d.order {
		d.giveUp(now, w)
		d.resend(now, w)
		d.moveOff(now, w)
	}
	d.giveUpSpent(now)
	d.expire(now)
	d.maintain(now)
	if d.mayStart(now) { // else each order would be taken back, with a record and a number of its own
		d.placeAll(now)
	}
	for _, w := range d.order {
		d.renew(now, w)
	}
}

// giveUp loses the runs of a worker whose lease has surely run out. That it is off the list and takes no connections
// is not enough: such a worker may run on, cut off. Nor is the time alone: while this host stood still it hasn't asked, and the worker's answer
// tells how the runs have ended. One whose address isn't known can't be asked.
func (d *Dispatcher) giveUp(now unit.Instant, w *worker) {
	if w.leased() && now > w.lapse() && (w.askedInVain || w.Address == "") {
		d.loseAll(now, w, leaseLapsed)
		w.synced = 0 // it seems to be empty: without an answer it would get the same tasks again
	}
}

// leased reports whether an order to start may have reached the worker. Runs whose
// orders have not left are not bound to the worker's last lease.
func (w *worker) leased() bool {
	for _, r := range w.runs {
		if r.state != runOrdered {
			return true
		}
	}
	return false
}

// resend repeats orders that got no answer. A run that an earlier owner placed is
// started again only after the worker has told this owner what runs and what has ended.
func (d *Dispatcher) resend(now unit.Instant, w *worker) {
	if w.Address == "" {
		return
	}
	if !w.unsettled() {
		return
	}
	for _, r := range w.sorted() {
		if r.inFlight {
			continue
		}
		switch {
		case r.state == runStarting && w.Draining && r.started == 0 && w.synced != 0:
			d.stopRun(now, r, "its worker leaves before it has started")
		case r.state == runStarting && r.started == 0 && w.synced != 0 && r.shut():
			d.stopRun(now, r, whyEvacuated)
		case r.state == runStarting && r.started == 0 && w.synced != 0 && w.overfull():
			d.stopRun(now, r, noRoomLeft)
		case r.state == runStarting && r.ignored(now):
			d.stopRun(now, r, "its worker answers renewals, but not its orders to start")
			d.countIgnored(now, r)
		case r.state == runStarting && r.inherited == "" && now.Sub(r.asked) >= resendAfter && w.synced != 0 && w.heard(now) && d.mayStart(now) && !r.shut():
			d.orderStart(now, r)
		case r.state == runStopping && r.stopDone == 0 && now.Sub(r.stopAsked) >= resendAfter:
			d.orderStop(now, r)
		}
	}
}

// ignored reports whether a run's orders to start were left unanswered for long, while its worker
// answered a renewal that was sent after the first of them.
func (r *run) ignored(now unit.Instant) bool {
	return r.unanswered && r.started == 0 && r.orders >= startTries && now.Sub(r.since) >= startPatience && r.worker.synced > r.since
}

// unsettled reports whether some order for a run on the worker may have to be repeated.
func (w *worker) unsettled() bool {
	for _, r := range w.runs {
		if !r.inFlight && (r.state == runStarting || r.state == runStopping) {
			return true
		}
	}
	return false
}

// moveOff moves tasks off a worker that leaves, if they can't end there in time.
func (d *Dispatcher) moveOff(now unit.Instant, w *worker) {
	if !w.Draining || len(w.runs) == 0 {
		return
	}
	left := w.leaves.Sub(now)
	for _, r := range w.sorted() {
		if r.step == nil || r.state != runRunning && r.state != runStarting {
			continue
		}
		margin := d.config.StopTime + moveSlack
		needed := d.remaining(now, r)
		if needed+margin <= left {
			continue
		}
		if !r.step.step.Checkpointing || left <= margin+renewWait/2 {
			d.stopRun(now, r, "its worker leaves")
		}
	}
}

// remaining guesses how long a run still takes.
func (d *Dispatcher) remaining(now unit.Instant, r *run) time.Duration {
	if r.step.step.LongRunning {
		return d.config.MaxLease
	}
	ran := now.Sub(r.started)
	if r.started == 0 {
		ran = 0
	}
	if r.percent >= trustPercent && r.reported > r.started {
		whole := scale(r.reported.Sub(r.started), 100/float64(r.percent))
		return max(0, whole-ran)
	}
	return max(0, r.step.step.Estimate-ran)
}

// renew renews a worker's lease when that is due.
func (d *Dispatcher) renew(now unit.Instant, w *worker) {
	if w.holding || !w.asks() || w.Address == "" || now < w.nextHold {
		return
	}
	if w.firstAsked == 0 {
		w.firstAsked = now
	}
	o := Renew{Target: d.target(w), Told: w.tell(now)}
	if len(w.runs) > 0 && w.heard(now) && d.grants(now) {
		o.Until, w.renewalLapse = d.lease(now, w), d.lapseOf(now)
	}
	if w.synced != 0 && w.seen == w.durable && len(w.runs) > 0 && w.heard(now) && !w.lastUnanswered && !w.hurry() && !w.forgets() {
		o.Wait = renewalWait(d.config.MaxLease)
		if w.shared() || o.Until == 0 { // the next one may grant, before a lease of 6 s has lapsed
			o.Wait = min(o.Wait, sharedWait)
		}
		if d.policy.MoveStalled && w.urgent() {
			o.Wait = min(o.Wait, urgentWait)
		}
		if w.shielded() {
			o.Wait = min(o.Wait, shieldedWait)
		}
	}
	if d.config.MostWaits > 0 && d.awaiting >= d.config.MostWaits {
		o.Wait = 0 // others have all the connections on which news may be waited for: this worker is asked again and again
	}
	if o.Wait > 0 {
		w.waits = true
		d.awaiting++
	}
	w.holding = true
	d.orders.Renews = append(d.orders.Renews, o)
}

// heard reports whether the worker has answered lately, or was first asked lately. Only then orders extend its
// lease: those to a worker that never answers would put the end of its lease off for ever.
func (w *worker) heard(now unit.Instant) bool {
	return now.Sub(max(w.answered, w.firstAsked)) < silentAfter
}

// asks reports whether the worker is to be asked what runs there, or to be told of ends.
func (w *worker) asks() bool {
	if w.replaced {
		return false
	}
	return len(w.runs) > 0 || w.durable > w.told || w.listed && !w.confirmed()
}

// renewalWait returns how long a renewal may wait for news under leases of a length: so long that
// after one that was answered two in a row may be lost, of which the second doesn't wait.
func renewalWait(lease time.Duration) time.Duration {
	spare := scale(lease, leaseShare) - 2*renewLimit
	return max(leastWait, min(renewWait, spare/2))
}

// forgets reports whether the worker is to be told which ends it may forget, by this renewal or the next one. It is asked for an answer at once: as
// long as there is none, its next life may get what was told, and no tasks for as long as orders may be late.
func (w *worker) forgets() bool { return fleet.TellsStart(w.ID) && w.durable > w.told }

// hurry reports whether an answer is wanted at once.
func (w *worker) hurry() bool {
	if w.synced < w.pausedAt || !w.confirmed() {
		return true
	}
	for _, r := range w.runs {
		if r.inherited != "" {
			return true
		}
		settles := r.started != 0 || r.stopDone != 0
		if settles && r.missed != 0 || r.state == runStopping && r.stopDone != 0 && w.synced < r.stopDone {
			return true
		}
	}
	return false
}

// usable reports whether new tasks may go to a worker.
func (w *worker) usable(now unit.Instant) bool {
	return w.listed && !w.Draining && !w.held && !w.evacuated && w.confirmed() && now >= w.pausedUntil && w.healthy(now)
}

// healthy reports whether a worker that is at work answers.
func (w *worker) healthy(now unit.Instant) bool {
	return len(w.runs) == 0 || w.heard(now)
}

// near reports whether a worker is where the step's data is.
func (s *stepState) near(w *worker) bool {
	return s.step.DataRack == "" || slices.Contains(w.Labels, s.step.DataRack)
}
