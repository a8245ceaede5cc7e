package dispatch

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/speed"
	"curlewsill.org/curlewsill/core/unit"
)

// Workers may differ in speed although their list entries are the same. How
// slow a worker is, is learned from the progress and the ends of its runs; see
// package speed. The estimate belongs to one incarnation of a worker and the
// baseline to one step, so both are forgotten together with these. Each owner
// learns anew.

const (
	// compareEvery is the least time between two comparisons of all workers.
	compareEvery = 250 * time.Millisecond
	// maxStartDelay is the longest time between a start order and its answer
	// with which the time of the start counts as known.
	maxStartDelay = 250 * time.Millisecond
)

// SpeedClasses returns the number of listed workers in each speed class, as of
// the latest pass.
func (d *Dispatcher) SpeedClasses() [speed.Classes]int { return d.speedClasses }

// prompt reports whether an answer to a renewal arrived in time. One that took
// longer than the wait plus the timeout was delayed in this host, and the
// progress that it reports is out of date.
func (res RenewResult) prompt(now unit.Instant) bool {
	return now.Sub(res.Sent) <= res.Renew.Wait+renewTimeout
}

// noteStart records whether the time of a run's start is known and the run
// began its task from the start. A start order that was sent several times may
// have been carried out long before its answer.
func (r *run) noteStart(now unit.Instant) {
	if r.step == nil || r.startOrders != 1 || r.fromEarlierOwner || now.Sub(r.startSentAt) > maxStartDelay || r.checkpoint != "" {
		return
	}
	if len(r.step.job.progress.Tasks) == 0 || r.step.job.progress.Tasks[r.step.base+r.task.Index].Checkpoint != "" {
		return
	}
	r.startKnown = true
	if !r.step.step.Gang {
		r.progress.Begin(now)
	}
}

// beginGang records when a member of a gang began to work, if the starts of all
// members are known: they wait for each other.
func (r *run) beginGang() {
	if !r.step.step.Gang || r.progress.Begun() {
		return
	}
	for _, m := range r.step.runs {
		if !m.startKnown {
			return
		}
	}
	if since, working := r.step.workingSince(r); working {
		r.progress.Begin(since)
	}
}

// showsSpeed reports whether the time that a run takes depends on the speed of
// its worker alone.
func (r *run) showsSpeed() bool {
	return r.step != nil && !r.step.step.LongRunning && !r.bestEffort() && !r.isServing() && r.slowdownPercent == 0
}

// placedAsAsked reports whether a run is near its data, and in one rack with the
// rest of its gang if its step asks for that. Runs elsewhere take longer on any
// worker, and so do the other members of their gang.
func (r *run) placedAsAsked() bool {
	s := r.step
	if !s.step.Gang {
		return s.nearData(r.worker)
	}
	if !s.step.SameRack && s.step.DataRack == "" {
		return true
	}
	for _, m := range s.runs {
		if !s.nearData(m.worker) || s.step.SameRack && m.worker.Rack != r.worker.Rack {
			return false
		}
	}
	return true
}

// observeProgress learns a worker's speed from a report of a run's progress.
func (d *Dispatcher) observeProgress(now unit.Instant, r *run, percent int) {
	if r.state != runRunning || !r.showsSpeed() {
		return
	}
	if percent > 0 {
		r.beginGang()
	}
	if o, ok := r.progress.Report(now, percent, r.step.step.Gang); ok {
		d.observe(now, r, o)
	}
}

// observeEnd learns a worker's speed from the success of a single task. The
// members of a gang end together. The end may have been reported late if no
// renewal was waiting at the worker.
func (d *Dispatcher) observeEnd(now unit.Instant, r *run, e fleet.End, res RenewResult) {
	if e.Reason != fleet.EndDone || !r.showsSpeed() || r.step.step.Gang || !res.prompt(now) {
		return
	}
	asked := res.Sent
	if res.Renew.Wait == 0 {
		asked = now
	}
	if o, ok := r.progress.Done(now, asked.Sub(max(r.startedAt, r.reportedAt))); ok {
		d.observe(now, r, o)
	}
}

// observe updates the estimate of a run's worker.
func (d *Dispatcher) observe(now unit.Instant, r *run, o speed.Observation) {
	if !r.placedAsAsked() {
		r.progress.Stop()
		return
	}
	r.worker.speed.Observe(now, &r.step.baseline, o)
}

// compareSpeeds compares the workers, if that is due, and sets the slowness of
// each.
func (d *Dispatcher) compareSpeeds(now unit.Instant) {
	if d.speedsComparedAt != 0 && now.Sub(d.speedsComparedAt) < compareEvery {
		return
	}
	d.speedsComparedAt = now
	d.estimates = d.estimates[:0]
	for _, w := range d.workersByID {
		if w.listed {
			d.estimates = append(d.estimates, &w.speed)
		}
	}
	d.speeds.Update(now, d.estimates)
	d.differ = d.policy.UseSpeeds && d.speeds.Differ()
	d.speedClasses = [speed.Classes]int{}
	for _, w := range d.workersByID {
		w.slowness = 1
		if d.differ {
			w.slowness = w.speed.Factor(now)
		}
		if w.listed {
			d.speedClasses[w.speed.Class()]++
		}
		d.noteSpeedClass(now, w)
	}
	d.divideWorkers()
}

// noteSpeedClass notes a change of a worker's class. Changes between unknown
// and typical aren't noted: they happen whenever a worker has been idle.
func (d *Dispatcher) noteSpeedClass(now unit.Instant, w *worker) {
	before, after := w.speedClass, w.speed.Class()
	if before == after {
		return
	}
	w.speedClass = after
	if !before.Off() && !after.Off() {
		return
	}
	d.note(Note{
		Event: EventWorkerSpeed, Worker: w.ID, Age: w.speed.Age(now),
		Why: fmt.Sprintf("%s before, now %s: takes %.2f times as long as usual, by %d observations", before, after, w.speed.Factor(now), w.speed.Count()),
	})
}
