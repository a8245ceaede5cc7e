package dispatch

import (
	"fmt"

	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

// Flush returns the batch that has to be in the store before more can be done,
// or false if there is none. The caller passes the batch to Committed once it
// is in the store.
func (d *Dispatcher) Flush() (Batch, bool, error) {
	var b Batch
	for _, js := range d.changed {
		js.changed = false
		if err := d.record(&b, js); err != nil {
			return Batch{}, false, fmt.Errorf("dispatch: job %s: %w", js.id, err)
		}
	}
	for _, name := range d.forget {
		b.Jobs = append(b.Jobs, d.table.DeleteRecords(name)...)
	}
	b.Jobs = append(b.Jobs, d.tombstones.takeRecords()...)
	if err := d.recordBegun(&b); err != nil {
		return Batch{}, false, err
	}
	d.changed, d.forget = nil, nil
	records, err := d.waveRecords()
	if err != nil {
		return Batch{}, false, err
	}
	b.Progress = append(b.Progress, records...)
	if records, err = d.withheldRecords(); err != nil {
		return Batch{}, false, err
	}
	b.Progress = append(b.Progress, records...)
	b.starts, d.starts = d.starts, nil
	if d.newEnds {
		for _, w := range d.workersByID {
			if w.lastEndSeen > w.lastEndStored {
				b.acks = append(b.acks, ack{worker: w, seen: w.lastEndSeen})
			}
		}
		d.newEnds = false
	}
	return b, !b.Empty() || len(b.starts)+len(b.acks) > 0, nil
}

// Empty reports whether the batch has no records for the store.
func (b *Batch) Empty() bool { return len(b.Jobs)+len(b.Progress) == 0 }

// record adds the records of a job that has changed. The summary for callers is
// written when the job has begun and when it ends. The progress is dropped only
// once the outcome is in the store: if the store had neither, the next owner
// would treat the job as a new one.
func (d *Dispatcher) record(b *Batch, js *jobState) error {
	if err := d.recordSummary(b, js); err != nil {
		return err
	}
	switch {
	case len(js.progress.Tasks) > 0:
		r, err := d.table.ProgressRecord(js.id, js.progress)
		if err != nil {
			return err
		}
		b.Progress = append(b.Progress, r)
		js.hasProgress = true
	case js.hasProgress && js.summary == summaryEnded:
		b.Progress = append(b.Progress, jobtable.DropProgressRecord(js.id))
		js.hasProgress = false
	}
	return nil
}

// recordSummary adds the summary of a job that has begun or ended, unless the
// store has it.
func (d *Dispatcher) recordSummary(b *Batch, js *jobState) error {
	ended := js.progress.Outcome != job.Open
	if js.summary >= summaryEnding || !ended && (js.summary != summaryNone || !js.begun) {
		return nil
	}
	r, err := d.table.SummaryRecord(js.id, jobtable.Summary{Outcome: js.progress.Outcome, Ended: js.progress.Ended})
	if err != nil {
		return err
	}
	b.Jobs = append(b.Jobs, r)
	js.summary = summaryBegun
	if ended {
		js.summary = summaryEnding
		b.ended = append(b.ended, js)
	}
	return nil
}

// Committed must be called once a batch is in the store: its orders may then be
// sent.
func (d *Dispatcher) Committed(now unit.Instant, b Batch) {
	for _, r := range b.starts {
		if r.state == runOrdered {
			d.sendFirstStart(now, r)
		}
	}
	for _, js := range b.ended {
		js.summary = summaryEnded
		if js.hasProgress && len(js.progress.Tasks) == 0 {
			d.markChanged(js)
		}
	}
	for _, a := range b.acks {
		a.worker.lastEndStored = max(a.worker.lastEndStored, a.seen)
		a.worker.dropStored(a.seen)
		if !a.worker.renewalInFlight {
			a.worker.nextRenewal = now
		}
	}
}

// target returns the target of an order to a worker, under this owner's epoch.
func (d *Dispatcher) target(w *worker) Target {
	return Target{Worker: w.ID, Address: w.Address, Fence: d.fence(w)}
}

// sendFirstStart sends the first start order of a run whose placement is in the
// store, or stops the run if the placement is no longer valid.
func (d *Dispatcher) sendFirstStart(now unit.Instant, r *run) {
	if r.workerDraining() {
		d.stopWithGang(now, r, "its worker is draining")
		return
	}
	if r.workerOvercommitted() {
		d.stopWithGang(now, r, whyNoRoom)
		return
	}
	if r.blockedByEvacuation() {
		d.stopWithGang(now, r, whyEvacuated)
		return
	}
	if !d.mayGrantLeases(now) {
		d.stopWithGang(now, r, "another host may be the owner")
		return
	}
	if !d.knowsEvacuations(now) {
		d.stopWithGang(now, r, "its failure domain may be evacuated")
		return
	}
	if !d.knowsCancels(now) {
		d.stopWithGang(now, r, "its job may be cancelled")
		return
	}
	if !r.step.mayRunOn(now, r.worker) {
		d.stopWithGang(now, r, "its permit has expired")
		return
	}
	if violation := d.checkStart(r); violation != "" {
		d.noteViolation(now, r, violation)
		d.stopWithGang(now, r, violation)
		return
	}
	if r.apply(evCommitted) {
		d.orderStart(now, r)
	}
}

// whyNoRoom is the reason logged when a run isn't started because the capacity
// of its worker has shrunk. A worker that doesn't check its capacity would
// start the run and exceed it.
const whyNoRoom = "its worker has less room now"

// workerDraining reports whether the worker of a run, or of a member of its
// gang, is draining.
func (r *run) workerDraining() bool {
	return r.anyWorker(func(w *worker) bool { return w.Draining })
}

// workerOvercommitted reports whether the worker of a run, or of a member of
// its gang, has more runs than it has room for.
func (r *run) workerOvercommitted() bool { return r.anyWorker((*worker).overcommitted) }

// anyWorker reports whether a predicate holds for the worker of a run, or of a
// member of its gang.
func (r *run) anyWorker(holds func(*worker) bool) bool {
	return r.anyMember(func(m *run) bool { return holds(m.worker) })
}

// anyMember reports whether a predicate holds for a run, or for a member of its
// gang.
func (r *run) anyMember(holds func(*run) bool) bool {
	if r.step == nil || !r.step.step.Gang {
		return holds(r)
	}
	for _, m := range r.step.runs {
		if holds(m) {
			return true
		}
	}
	return false
}

// orderStart sends a start order, for the first time or again.
func (d *Dispatcher) orderStart(now unit.Instant, r *run) {
	if r.knownSince == 0 {
		r.knownSince = now
	}
	r.startSentAt, r.inFlight, r.startInFlight, r.startLeaseExpiry = now, true, true, d.maxLeaseExpiry(now)
	r.startOrders++
	r.worker.changeSent = true
	r.noteStartedAgain()
	s := r.step
	d.orders.Starts = append(d.orders.Starts, Start{
		Target: d.target(r.worker), Domain: r.worker.Domain, Task: r.task, Run: r.number, Payload: s.job.spec.Payload,
		Checkpoint: s.job.progress.Tasks[s.base+r.task.Index].Checkpoint, Ticket: s.permits[r.worker.ID].ticket,
		Until: d.lease(now, r.worker), MayHaveStarted: r.startUnanswered || r.fromEarlierOwner, SendBefore: d.cancelsValidUntil(),
	})
}

// orderStop sends a stop order, for the first time or again.
func (d *Dispatcher) orderStop(now unit.Instant, r *run) {
	r.stopSentAt, r.inFlight = now, true
	d.orders.Stops = append(d.orders.Stops, Stop{Target: d.target(r.worker), Task: r.task, Run: r.number})
}

// place assigns a task to a worker and returns the run. The start order is sent
// once the next batch, which records the placement, is in the store.
func (d *Dispatcher) place(s *stepState, index int, w *worker, number job.RunNumber) *run {
	js := s.job
	if len(js.progress.Tasks) == 0 {
		js.progress.Tasks = make([]job.TaskState, js.spec.RoundCount()*js.spec.TasksPerRound())
	}
	t := &js.progress.Tasks[s.base+index]
	t.Phase, t.Run, t.Worker, t.StartConfirmed, t.StartOpenUntil = job.Placed, number, w.ID, false, 0
	r := &run{task: s.task(index), number: number, state: runOrdered, worker: w, need: s.step.Reserved(), step: s}
	d.occupy(r)
	d.starts = append(d.starts, r)
	d.window.pendingStarts++
	d.markChanged(js)
	d.noteRun(EventTaskPlaced, r, string(w.Rack), 0)
	return r
}
