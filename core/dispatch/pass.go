package dispatch

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// stopResendFactor times Config.StopTime is the time after a confirmed stop
	// from which the stop order is repeated if the worker still lists the run.
	stopResendFactor = 3
	// resendAfter is when an order without an answer is repeated. Workers
	// answer within a few milliseconds.
	resendAfter = 300 * time.Millisecond
	// startTimeout is how long a run may wait for an answer to its start orders
	// from a worker that answers renewals meanwhile. At least minStartOrders
	// orders must have been sent. Without this limit, tasks would stay forever
	// with a worker that ignores start orders.
	startTimeout   = 4 * time.Second
	minStartOrders = 5
	// renewWait is how long a worker may delay its answer to a renewal until a
	// run ends; the platform allows 2 s.
	renewWait = 2 * time.Second
	// renewTimeout is how long after its wait a renewal without an answer counts
	// as lost. It is the timeout of the platform's client.
	renewTimeout = 800 * time.Millisecond
	// maxResultDelay is how long after its timeout the result of a renewal may
	// arrive and still count as evidence about the worker.
	maxResultDelay = 500 * time.Millisecond
	// leaseShare is the fraction of a lease within which two lost renewals must
	// be over, so that the next one still extends the lease. Of the rest, 2 %
	// is for the drift of the worker's clock, and the remainder for the transit
	// time.
	leaseShare = 0.95
	// minRenewWait is how long a renewal may wait in deployments with the
	// shortest leases.
	minRenewWait = 100 * time.Millisecond
	// mixedRenewWait is renewWait for a worker that has both best-effort and
	// serving runs: the worker's latency figures cover the last half second.
	mixedRenewWait = 500 * time.Millisecond
	// unresponsiveAfter is the time after a worker's last answer from which it
	// gets no new tasks. One renewal that waits for its full time and one lost
	// renewal together take that long.
	unresponsiveAfter = 3500 * time.Millisecond
	// stopOverhead is the time that an order to stop needs to reach the worker
	// and its result to be recorded.
	stopOverhead = 500 * time.Millisecond
	// endReportTime is the time until the end of a run is reported and recorded.
	// A worker that has left reports no ends any more.
	endReportTime = 250 * time.Millisecond
	// minTrustedPercent is the least progress, in percent, from which a run's
	// remaining time is estimated; below it, the customer's estimate is used.
	minTrustedPercent = 10
)

// Pass does all work that is due: it gives up runs whose leases have expired,
// repeats orders, places tasks and renews leases. now is a steady clock; wall
// is the time of day, by which the rounds of timed jobs become due, and may
// jump.
func (d *Dispatcher) Pass(now, wall unit.Instant) {
	d.wallTime = wall
	if d.firstPassAt == 0 {
		d.firstPassAt = now
	}
	d.noteLeasesWithheld(now)
	d.noteStartsWithheld(now)
	d.forgetGone(now)
	d.compareSpeeds(now)
	for _, w := range d.workersByID {
		d.loseLapsed(now, w)
		d.loseKeptRuns(now, w)
		d.recordOpenStarts(now, w)
		d.resend(now, w)
		d.evictDraining(now, w)
	}
	d.failCrashedJobs(now)
	d.expire(now)
	d.advanceWaves(now)
	// If tasks were placed while none may start, each placement would be
	// withdrawn again, at the cost of a record and a run number.
	if d.mayStart(now) {
		d.placeAll(now)
	}
	for _, w := range d.workersByID {
		d.renew(now, w)
	}
}

// loseLapsed gives up the runs of a worker whose lease has certainly expired.
// It is not enough that the worker is off the list and refuses connections: it
// may be partitioned and still run its tasks. Nor is it enough that the lease
// has expired: this host may have been frozen and have sent no renewals, and
// the worker's next answer then says how the runs have ended. So a renewal must
// have failed as well, unless the worker's address is unknown, so that it can't
// be asked.
func (d *Dispatcher) loseLapsed(now unit.Instant, w *worker) {
	if w.leased() && now > w.leaseExpiry() && (w.renewalFailed || w.Address == "") {
		d.loseAll(now, w, leaseLapsed)
		// The worker now seems to be empty. It must answer again before it gets
		// tasks; otherwise it would be given the same tasks again.
		w.syncedAsOf = 0
	}
}

// leased reports whether an order to start may have reached the worker. Runs
// whose orders have not been sent don't depend on the worker's last lease.
func (w *worker) leased() bool {
	for _, r := range w.runs {
		if r.state != runOrdered {
			return true
		}
	}
	return false
}

// resend repeats orders that got no answer. A run that an earlier owner placed
// is started again only after the worker has reported to this owner what runs
// and what has ended.
func (d *Dispatcher) resend(now unit.Instant, w *worker) {
	if w.Address == "" {
		return
	}
	if !w.hasUnconfirmed() {
		return
	}
	for _, r := range w.sorted() {
		if r.inFlight {
			continue
		}
		switch {
		case r.state == runStarting && w.Draining && r.startedAt == 0 && w.syncedAsOf != 0:
			d.stopWithGang(now, r, "its worker leaves before it has started")
		case r.state == runStarting && r.startedAt == 0 && w.syncedAsOf != 0 && r.blockedByEvacuation():
			d.stopWithGang(now, r, whyEvacuated)
		case r.state == runStarting && r.startedAt == 0 && w.syncedAsOf != 0 && w.overcommitted():
			d.stopWithGang(now, r, whyNoRoom)
		case r.state == runStarting && r.startIgnored(now):
			d.stopWithGang(now, r, "its worker answers renewals, but not its orders to start")
			d.countUnansweredStart(now, r)
		case r.state == runStarting && r.mayRepeatStart() && now.Sub(r.startSentAt) >= resendAfter && w.syncedAsOf != 0 &&
			w.responsive(now) && d.mayStart(now) && !r.blockedByEvacuation():
			d.orderStart(now, r)
		case r.state == runStopping && r.stopConfirmedAt == 0 && now.Sub(r.stopSentAt) >= resendAfter:
			d.orderStop(now, r)
		}
	}
}

// startIgnored reports whether a run's orders to start have been unanswered for
// too long, although its worker answered a renewal that was sent after the
// first of them.
func (r *run) startIgnored(now unit.Instant) bool {
	return r.startUnanswered && r.startedAt == 0 && r.startOrders >= minStartOrders && now.Sub(r.knownSince) >= startTimeout &&
		r.worker.syncedAsOf > r.knownSince
}

// hasUnconfirmed reports whether some order for a run on the worker may have to
// be repeated.
func (w *worker) hasUnconfirmed() bool {
	for _, r := range w.runs {
		if !r.inFlight && (r.state == runStarting || r.state == runStopping) {
			return true
		}
	}
	return false
}

// evictDraining stops the tasks on a draining worker that can't complete before
// it ends. Tasks with checkpoints continue until there is only just enough time
// to stop them. A stop saves nothing of the other tasks, so those that may just
// complete in time are left to run.
func (d *Dispatcher) evictDraining(now unit.Instant, w *worker) {
	if !w.Draining || len(w.runs) == 0 {
		return
	}
	left := w.drainEndsAt.Sub(now)
	for _, r := range w.sorted() {
		if r.step == nil || r.state != runRunning && r.state != runStarting {
			continue
		}
		margin := d.config.StopTime + stopOverhead
		if !r.step.step.Checkpointing {
			margin = endReportTime
		}
		if d.remaining(now, r)+margin <= left {
			continue
		}
		if !r.step.step.Checkpointing || left <= margin+renewWait/2 {
			d.stopWithGang(now, r, "its worker leaves")
		}
	}
}

// remaining estimates how much longer a run takes: from its progress if that is
// at least minTrustedPercent, otherwise from the customer's estimate and the
// slowness of the worker. A long-running task has no end; for it, remaining
// returns the length of a lease.
func (d *Dispatcher) remaining(now unit.Instant, r *run) time.Duration {
	if r.step.step.LongRunning {
		return d.config.MaxLease
	}
	ran := now.Sub(r.startedAt)
	if r.startedAt == 0 {
		ran = 0
	}
	if r.percent >= minTrustedPercent && r.reportedAt > r.startedAt {
		whole := scale(r.reportedAt.Sub(r.startedAt), 100/float64(r.percent))
		return max(0, whole-ran)
	}
	whole := r.step.step.Estimate
	if d.differ {
		whole = scale(whole, r.worker.slowness)
	}
	return max(0, whole-ran)
}

// renew renews a worker's lease if that is due.
func (d *Dispatcher) renew(now unit.Instant, w *worker) {
	if w.renewalInFlight || !w.needsRenewal() || w.Address == "" || now < w.nextRenewal {
		return
	}
	if w.firstRenewalAt == 0 {
		w.firstRenewalAt = now
	}
	o := Renew{Target: d.target(w), AckedEnd: w.endsToAck(now)}
	if len(w.runs) > 0 && w.responsive(now) && d.mayGrantLeases(now) {
		o.Until, w.renewalLeaseExpiry = d.lease(now, w), d.maxLeaseExpiry(now)
	}
	if w.syncedAsOf != 0 && w.lastEndSeen == w.lastEndStored && len(w.runs) > 0 && w.responsive(now) &&
		!w.renewalUnanswered && !w.needsPromptAnswer(now) && !w.hasForgettableEnds() {
		o.Wait = renewalWait(d.config.MaxLease)
		// A renewal that grants no lease must not wait long: the next one may
		// grant a lease, and must be sent before an earlier lease of 6 s
		// expires.
		if w.hasMixedLoad() || o.Until == 0 {
			o.Wait = min(o.Wait, mixedRenewWait)
		}
		if d.policy.MoveStalled && w.runsUrgentWork() {
			o.Wait = min(o.Wait, urgentRenewWait)
		}
		if until := w.firstOpenUntil(now); until != 0 {
			o.Wait = min(o.Wait, until.Sub(now))
		}
		if w.hasIsolatedRun() {
			o.Wait = min(o.Wait, isolationRenewWait)
		}
	}
	if d.config.MaxWaitingRenewals > 0 && d.waitingRenewals >= d.config.MaxWaitingRenewals {
		// Renewals that wait at other workers take up all the connections that
		// they may use, so this worker is polled instead.
		o.Wait = 0
	}
	if o.Wait > 0 {
		w.renewalWaits = true
		d.waitingRenewals++
	}
	w.renewalInFlight = true
	d.orders.Renews = append(d.orders.Renews, o)
}

// responsive reports whether the worker has answered, or this owner's first
// renewal was sent to it, within unresponsiveAfter. Orders extend the lease
// only of a responsive worker. Otherwise a worker that never answers would keep
// its lease indefinitely.
func (w *worker) responsive(now unit.Instant) bool {
	return now.Sub(max(w.lastAnswerAt, w.firstRenewalAt)) < unresponsiveAfter
}

// needsRenewal reports whether a renewal must ask the worker what runs there, or
// acknowledge ends.
func (w *worker) needsRenewal() bool {
	if w.replaced {
		return false
	}
	return len(w.runs) > 0 || w.lastToAck() > w.lastEndAcked || w.listed && !w.confirmed()
}

// renewalWait returns how long a renewal may wait at the worker under leases of
// this length. The wait is short enough for two consecutive renewals to be lost
// without the lease expiring. Only the first of the two waits at the worker.
func renewalWait(lease time.Duration) time.Duration {
	spare := scale(lease, leaseShare) - 2*renewTimeout
	return max(minRenewWait, min(renewWait, spare/2))
}

// hasForgettableEnds reports whether this renewal or the next one must
// acknowledge ends, so that the worker may forget them. Such a renewal must not
// wait at the worker: while it is unanswered, the worker's next incarnation may
// receive it instead. That incarnation would then get no tasks until
// maxOrderDelay after the renewal was sent.
func (w *worker) hasForgettableEnds() bool {
	return fleet.HasStart(w.ID) && w.lastToAck() > w.lastEndAcked
}

// needsPromptAnswer reports whether a renewal to the worker must be answered at
// once, because decisions depend on it. The owner may need a first answer since
// the worker was suspended or a rival incarnation was listed, a report whether
// an inherited run is there, a second answer about a missing run, or the first
// report since a stop was confirmed or a start order became too late.
func (w *worker) needsPromptAnswer(now unit.Instant) bool {
	if w.syncedAsOf < w.suspendedAt || !w.confirmed() {
		return true
	}
	for _, r := range w.runs {
		if r.startOpen(now) && r.startedAt == 0 {
			continue
		}
		if r.inheritedFrom != "" || r.startExpired(now) {
			return true
		}
		absenceCounts := r.startedAt != 0 || r.stopConfirmedAt != 0
		if absenceCounts && r.missingAt != 0 || r.state == runStopping && r.stopConfirmedAt != 0 && w.syncedAsOf < r.stopConfirmedAt {
			return true
		}
	}
	return false
}

// usable reports whether new tasks may be placed on a worker.
func (w *worker) usable(now unit.Instant) bool {
	return w.listed && !w.Draining && !w.awaitingUpkeep && !w.evacuated && w.withheldEnd == 0 && w.confirmed() && now >= w.suspendedUntil && w.healthy(now)
}

// healthy reports whether a worker is idle or responsive.
func (w *worker) healthy(now unit.Instant) bool {
	return len(w.runs) == 0 || w.responsive(now)
}

// nearData reports whether a worker is where the step's data is.
func (s *stepState) nearData(w *worker) bool {
	return s.step.DataRack == "" || slices.Contains(w.Labels, s.step.DataRack)
}
