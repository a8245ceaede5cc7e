package dispatch

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// A worker may begin again under its name, and its next life takes orders that were meant for the one before. All that ran there is
// over; what may have come to the next life is looked for there before its task is placed anew.

// lateOrders is how long after it left an order without an answer may be carried out on the platform.
const lateOrders = 12 * time.Second

// tellWithin is how old a worker's last answer may be as it is told which ends it may forget. It takes some 10 ms to note an end; a worker that
// begins again takes longer, and longer still until it has ended something.
const tellWithin = 250 * time.Millisecond

// strayOrder is why a run is stopped on the next life under its worker's name.
const strayOrder = "an order to start it may come to the next life under its worker's name"

// strayStart is an order to start a run that is over, of which a copy got no answer.
type strayStart struct {
	task   job.Task
	number job.Run
	// asked is when the last copy left.
	asked unit.Instant
}

// precedes reports whether a life that isn't known to be over has the name of another one.
func (w *worker) precedes(o *worker) bool { return w != o && w.name == o.name && !w.replaced }

// successor returns the life that has answered in place of another one under its name. Its own entry may not have been read yet. If a third one has
// answered in its place it is asked once more, and hands on what it inherits.
func (d *Dispatcher) successor(now unit.Instant, w *worker, life id.Worker) *worker {
	next := d.worker(now, life)
	if next.Address == "" {
		next.Address, next.Machine = w.Address, w.Machine
	}
	next.replaced = false
	return next
}

// strayed notes that an order which grants a lease left at a time and got no answer. It returns when that lease has surely run out on the next life
// under the worker's name, by whose clock it begins as the order is carried out; 0 if there can't be such a life.
func (d *Dispatcher) strayed(w *worker, sent unit.Instant) unit.Instant {
	if !fleet.TellsStart(w.ID) {
		return 0
	}
	until := d.lapseOf(sent.Add(lateOrders))
	w.strayUntil = max(w.strayUntil, until)
	return until
}

// inherit makes the next life under a name answer for the orders that it may have taken, or may yet take, in place of the one before.
func (d *Dispatcher) inherit(now unit.Instant, w, next *worker) {
	if w.renewalLapse != 0 {
		d.strayed(w, now)
	}
	for _, r := range w.sorted() {
		if r.startLapse != 0 {
			d.strayed(w, now)
		}
		if r.mayStray(now) {
			d.moveRun(now, r, next)
		}
	}
	for _, s := range w.strays {
		if now.Sub(s.asked) <= lateOrders {
			d.blockStart(now, next, s)
			next.strays = append(next.strays, s) // the life after that knows of no stop
		}
	}
	w.strays = nil
	next.toldStray = max(next.toldStray, w.toldStray)
	next.grantedUntil = max(next.grantedUntil, w.strayUntil)
	next.strayUntil = max(next.strayUntil, w.strayUntil)
	if rest := w.toldStray.Add(lateOrders).Sub(now); w.toldStray != 0 && rest > 0 {
		next.pause(now, rest)
		d.note(Note{Event: EventWorkerSuspended, Worker: next.ID, Why: "a renewal that may come late would let it forget ends that nobody has read", Age: rest})
	}
	next.nextHold = min(next.nextHold, now)
}

// mayStray reports whether an order to start the run may reach, or may have reached, the next life under its worker's name.
func (r *run) mayStray(now unit.Instant) bool {
	unanswered := (r.unanswered || r.startLapse != 0) && now.Sub(r.asked) <= lateOrders
	answeredOnly := r.started != 0 && r.worker.synced <= r.started
	unsure := r.reported == 0 && (r.resumed || r.inherited != "" || answeredOnly) // nothing says that this life began it
	return r.state != runOrdered && (unanswered || unsure)
}

// moveRun makes a run count as one of the next life under its worker's name, until that says whether it has it.
func (d *Dispatcher) moveRun(now unit.Instant, r *run, next *worker) {
	if next.runs.get(r.task) != nil {
		return
	}
	old := r.worker
	r.dropShield()
	old.recount(func() { old.runs.remove(r.task) })
	old.used = old.used.Sub(r.taken())
	d.inPlace--
	if r.inherited == "" {
		r.inherited = old.ID
	}
	r.worker = next
	r.unanswered = r.unanswered || r.startLapse != 0
	r.inFlight, r.startLapse = false, 0
	r.started, r.reported, r.missed, r.stopAsked, r.stopDone = 0, 0, 0, 0, 0
	d.occupy(r)
	d.noteRun(EventTaskInherited, r, "placed on "+string(old.ID), now.Sub(r.since))
	if r.step == nil || len(r.step.job.progress.Tasks) == 0 {
		return
	}
	t := &r.step.job.progress.Tasks[r.step.base+r.task.Index]
	if t.Phase == job.Placed && t.Run == r.number {
		t.Worker = next.ID
		d.mark(r.step.job)
	}
}

// blockStart keeps an order whose fate is unknown from starting a run that is over: a worker refuses a run that was stopped before it came.
func (d *Dispatcher) blockStart(now unit.Instant, next *worker, s strayStart) {
	if r := next.runs.get(s.task); r != nil {
		r.unanswered = true // a stop of the later run keeps the earlier from starting, too
		return
	}
	r := &run{task: s.task, number: s.number, state: runStarting, worker: next, since: now, resumed: true}
	if step := d.stepOfTask(s.task); step != nil {
		r.need = step.step.Reserved() // it may be there already
	}
	d.occupy(r)
	d.stop(now, r, strayOrder)
}

// inheritedMissing takes in that the next life under a name doesn't tell of a run that was placed on the one before. An order that got no answer may
// still come to it; else the run was over with that life, or has ended here between the worker's two lists.
func (d *Dispatcher) inheritedMissing(now unit.Instant, r *run, sent unit.Instant) {
	if r.unanswered {
		d.stopRun(now, r, strayOrder)
		return
	}
	d.miss(now, r, sent)
}

// inheritedFound takes in that the next life under a name tells of a run that was placed on the one before. If a single order to start had
// left, that one never had it, and its end is not the run's doing.
func (d *Dispatcher) inheritedFound(r *run) {
	if r.inherited == "" {
		return
	}
	if r.orders == 1 {
		d.retractCrash(r.inherited, r.task, r.number, "the next life under its worker's name has the run")
	}
	r.inherited = ""
}

// keepStray notes, as a run is over, an order to start it that may be carried out yet.
func (r *run) keepStray() {
	w := r.worker
	if !r.unanswered && r.startLapse == 0 || !fleet.TellsStart(w.ID) {
		return
	}
	w.strays = slices.DeleteFunc(w.strays, func(s strayStart) bool { return r.asked.Sub(s.asked) > lateOrders })
	w.strays = append(w.strays, strayStart{task: r.task, number: r.number, asked: r.asked})
}

// tell returns the last end that a renewal lets the worker forget; 0 for none. The next life under its name may get the renewal, and would
// forget ends of its own that nobody has read, so that their tasks would run again: each number is told once, and only shortly after this
// life has answered. Another renewal asks for such an answer first.
func (w *worker) tell(now unit.Instant) uint64 {
	switch {
	case !fleet.TellsStart(w.ID):
		return w.durable
	case w.told >= w.durable || w.lastUnanswered || now.Sub(w.answered) > tellWithin:
		return 0
	}
	return w.durable
}
