package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/unit"
)

// A machine has one life after the other, each a worker of its own, and the list may show two of them, in an order that
// says nothing of age: most runs that were given up by that order would still be there. Only answers tell.

// evidence is what shows that nothing runs any more on a worker that hasn't said so.
type evidence string

const (
	// leaseLapsed: every lease there has run out by the worst case of the worker's clock.
	leaseLapsed evidence = "its lease has lapsed"
	// anotherAnswers: an order to the worker was answered by another life at its address.
	anotherAnswers evidence = "another life at its address"
	// sameName: another life answered an order that left after this one had begun under their name. Of two lives under a name the later begins
	// after the end of the earlier, so that it is the later one whatever the starts say.
	sameName evidence = "another life under its name"
	// laterAnswered: another life at its address, or of its machine, has answered an order that left
	// after the worker's last answer had come.
	laterAnswered evidence = "a later life has answered"
)

// loseAll gives up every run on a worker. A lease that may still hold is an invariant that is violated:
// nothing is given up then.
func (d *Dispatcher) loseAll(now unit.Instant, w *worker, e evidence) {
	if w.crashed(now, e) {
		d.countCrashes(now, w)
	}
	d.loseRuns(now, w, e)
}

// loseRuns is loseAll for a life whose end was counted.
func (d *Dispatcher) loseRuns(now unit.Instant, w *worker, e evidence) {
	for _, r := range w.sorted() {
		if e == leaseLapsed && now <= w.lapse() {
			d.violated(now, r, "given up under a lease that may hold")
			continue
		}
		d.noteRun(EventTaskLost, r, string(e), w.silentFor(now))
		r.apply(evLost)
		d.lose(now, r, string(e))
	}
}

// replace gives up a life of a worker in whose place another one has answered; next is that one if both have one name, and else nil.
// If the life is listed again, it is asked again.
func (d *Dispatcher) replace(now unit.Instant, w *worker, e evidence, next *worker) {
	n := Note{Event: EventWorkerReplaced, Worker: w.ID, Why: string(e), Age: w.silentFor(now)}
	if next != nil {
		n.Why += ", " + string(next.ID)
	}
	d.note(n)
	if w.crashed(now, e) && (next == nil || fleet.TellsStart(w.ID)) {
		d.countCrashes(now, w)
	}
	if next != nil {
		if next.raise < w.raise {
			d.raiseFence(next)
		}
		d.inherit(now, w, next)
	}
	d.loseRuns(now, w, e)
	w.listed, w.replaced, w.synced = false, true, 0
	for _, o := range d.order {
		if o.rivals(w) {
			d.endContest(o)
		}
	}
}

// rivals reports whether two workers can't both be the present life of a machine.
func (w *worker) rivals(o *worker) bool {
	if w == o {
		return false
	}
	return w.name == o.name || w.Address != "" && w.Address == o.Address || w.Machine != "" && w.Machine == o.Machine
}

// contest notes that a worker and its rivals are lives of the same machine. Each of them is asked at once, and
// gets no new tasks until it has answered. A life that was replaced before contests nobody until it answers.
func (d *Dispatcher) contest(now unit.Instant, w *worker) {
	if w.replaced {
		w.replaced, w.contested = false, now
		return
	}
	for _, o := range d.order {
		if !o.rivals(w) || !o.stands() && !o.precedes(w) || w.contested != 0 && o.contested != 0 {
			continue
		}
		d.note(Note{Event: EventWorkerContested, Worker: w.ID, Why: "by " + string(o.ID), Age: w.silentFor(now)})
		d.note(Note{Event: EventWorkerContested, Worker: o.ID, Why: "by " + string(w.ID), Age: o.silentFor(now)})
		w.contested, o.contested = now, now
		w.nextHold, o.nextHold = min(w.nextHold, now), min(o.nextHold, now)
	}
}

// stands reports whether a worker may be the present life of its machine, as far as is known.
func (w *worker) stands() bool { return !w.replaced && (w.listed || len(w.runs) > 0) }

// confirmed reports whether a worker has answered this owner, and since another life was listed beside it.
func (w *worker) confirmed() bool { return w.synced > w.contested }

// follow takes in that a worker has answered: rivals whose last answer had come before the order left
// that it answered are earlier lives.
func (d *Dispatcher) follow(now unit.Instant, w *worker) {
	if w.contested == 0 {
		return
	}
	for _, o := range d.order {
		switch {
		case o.precedes(w) && o.since < w.synced:
			d.replace(now, o, sameName, w)
		case o.rivals(w) && o.stands() && o.answered != 0 && o.answered < w.synced:
			d.replace(now, o, laterAnswered, nil)
		}
	}
	d.endContest(w)
}

// endContest notes that a worker has no rival any more, if that is so.
func (d *Dispatcher) endContest(w *worker) {
	for _, o := range d.order {
		if o.rivals(w) && o.stands() {
			return
		}
	}
	w.contested = 0
}

// silentFor returns how long ago the worker's last answer came; 0 if it has never answered this owner.
func (w *worker) silentFor(now unit.Instant) time.Duration {
	if w.answered == 0 {
		return 0
	}
	return now.Sub(w.answered)
}
