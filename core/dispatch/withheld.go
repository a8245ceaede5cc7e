package dispatch

import (
	"fmt"
	"maps"
	"slices"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

// A worker that was out of reach until its leases had expired may report later
// that a run was done. If the task was started again meanwhile, that end must not
// be acknowledged: for the platform, an acknowledged success is one after which
// the task doesn't start any more. An acknowledgement covers all earlier ends,
// so those that follow aren't acknowledged either, and the worker gets no new
// tasks.

// lostRun is a run that was given up without a report of how it ended. It is kept
// with its job, since the owner may forget the worker meanwhile.
type lostRun struct {
	worker id.Worker
	task   job.TaskID
	number job.RunNumber
	// startedAgain is set once a later run of the task, or of its gang, was
	// ordered to start.
	startedAgain bool
}

// noteLost records that a run was given up without a report, also for the next owner,
// which may be the one that starts the task again.
func (d *Dispatcher) noteLost(r *run) {
	s := r.step
	if s == nil || s.step.LongRunning || s.step.AllowDuplicates || !r.mayHaveStarted() {
		return
	}
	s.lostRuns = append(s.lostRuns, lostRun{worker: r.worker.ID, task: r.task, number: r.number})
	x, g := d.withheldOf(r.worker.ID), jobtable.GivenUpRun{Task: r.task, Run: r.number}
	if !slices.Contains(x.record.Runs, g) {
		x.record.Runs, x.changed = append(x.record.Runs, g), true
	}
}

// replaces reports whether a run of a lost run's task, or of its gang, is another
// start of that task.
func (r *run) replaces(l lostRun) bool { return r.step.step.Gang || l.task == r.task }

// noteStartedAgain records that a run is ordered to start, for the lost runs that
// it replaces.
func (r *run) noteStartedAgain() {
	for i := range r.step.lostRuns {
		l := &r.step.lostRuns[i]
		l.startedAgain = l.startedAgain || r.replaces(*l)
	}
}

// startedAgain reports whether the task of a run that is no longer known was, or
// may have been, started again after the run was done.
func (d *Dispatcher) startedAgain(w *worker, e fleet.End) bool {
	if e.Reason != fleet.EndDone {
		return false
	}
	x := d.withheld[w.ID]
	givenUpBefore := x != nil && x.inherited && slices.Contains(x.record.Runs, jobtable.GivenUpRun{Task: e.Task, Run: e.Run})
	s := d.stepOfTask(e.Task)
	if s == nil || s.step.LongRunning || s.step.AllowDuplicates {
		return givenUpBefore
	}
	again := func(l lostRun) bool {
		return l.startedAgain && l.worker == w.ID && l.task == e.Task && l.number == e.Run
	}
	if slices.ContainsFunc(s.lostRuns, again) {
		return true
	}
	if len(s.job.progress.Tasks) == 0 {
		return givenUpBefore // the job is over, and the task was done by a later run if it was done
	}
	newest, r := s.job.progress.Tasks[s.base+e.Task.Index].Run, s.runs[e.Task.Index]
	onlyOrdered := newest == e.Run+1 && r != nil && !r.anyMember((*run).mayHaveStarted)
	return newest > e.Run && !onlyOrdered
}

// withhold records that neither an end nor any that follow may be acknowledged.
func (d *Dispatcher) withhold(w *worker, e fleet.End) {
	d.note(Note{Event: EventEndWithheld, Job: e.Task.Job, Task: e.Task, Worker: w.ID, Run: e.Run, Why: "the task was started again after it was done there"})
	if w.withheldEnd != 0 && w.withheldEnd <= e.Seq {
		return
	}
	w.withheldEnd = e.Seq
	x := d.withheldOf(w.ID)
	x.record.Seq, x.changed = e.Seq, true
}

// withheld is what is kept for the next owner of the ends of a worker that must not
// be acknowledged.
type withheld struct {
	record jobtable.Withheld
	// inherited is set if an earlier owner has written the record.
	inherited bool
	// changed is set while the record in the store is older. dropped is set if it
	// is to be deleted.
	changed, dropped bool
	// missingSince is since when the worker isn't known; 0 if it is.
	missingSince unit.Instant
}

// withheldOf returns what is kept of a worker, adding it if there is nothing.
func (d *Dispatcher) withheldOf(name id.Worker) *withheld {
	x := d.withheld[name]
	if x == nil {
		x = &withheld{}
		d.withheld[name] = x
	}
	x.dropped = false
	return x
}

// inheritWithheld takes over what earlier owners have recorded.
func (d *Dispatcher) inheritWithheld(recorded map[id.Worker]jobtable.Withheld) {
	for name, r := range recorded {
		r.Runs = slices.Clone(r.Runs)
		d.withheld[name] = &withheld{record: r, inherited: true}
	}
}

// expireWithheld drops the records of the workers that haven't been known for as
// long as the state of ended jobs is kept.
func (d *Dispatcher) expireWithheld(now unit.Instant) {
	for _, name := range slices.Sorted(maps.Keys(d.withheld)) {
		x := d.withheld[name]
		switch {
		case d.workers[name] != nil:
			x.missingSince = 0
		case x.missingSince == 0:
			x.missingSince = now
		case now.Sub(x.missingSince) > d.config.EndedRetention:
			x.changed, x.dropped = true, true
		}
	}
}

// withheldRecords returns the records that have changed.
func (d *Dispatcher) withheldRecords() ([]jobtable.Record, error) {
	var out []jobtable.Record
	for _, name := range slices.Sorted(maps.Keys(d.withheld)) {
		x := d.withheld[name]
		if !x.changed {
			continue
		}
		x.changed = false
		if x.dropped {
			delete(d.withheld, name)
			out = append(out, jobtable.DropWithheldRecord(name))
			continue
		}
		r, err := d.table.WithheldRecord(name, x.record)
		if err != nil {
			return nil, fmt.Errorf("dispatch: withheld ends of %s: %w", name, err)
		}
		out = append(out, r)
	}
	return out, nil
}

// lastToAck returns the number of the last end that may be acknowledged.
func (w *worker) lastToAck() uint64 {
	if w.withheldEnd == 0 {
		return w.lastEndStored
	}
	return min(w.lastEndStored, w.withheldEnd-1)
}
