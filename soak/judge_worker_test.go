package soak

import (
	"fmt"

	"curlewsill.org/curlewsill/platform/standin"
)

// handleWorkerEvent checks an event that a worker observed.
func (j *judge) handleWorkerEvent(e event) {
	w := j.workers[e.Worker]
	if w == nil {
		w = &workerRecord{}
		j.workers[e.Worker] = w
	}
	switch string(e.Kind) {
	case standin.EventStart:
		j.checkStart(e, w)
		j.startRun(e, w)
	case standin.EventEnd:
		j.endRun(e, w)
	case standin.EventNoted:
		j.handleNoted(e)
	case standin.EventFenced:
		j.handleFenced(e)
	case standin.EventGone:
		j.handleGone(e, w)
	case string(eventDraining):
		w.drainingSince = e.At
	case string(eventTaken):
		w.outageOverAt = e.At
	}
}

// task returns the record of a task, and creates it if there is none.
func (j *judge) task(name string) *taskRecord {
	if j.tasks[name] == nil {
		j.tasks[name] = &taskRecord{}
	}
	return j.tasks[name]
}

// checkStart checks a start against the events before it.
func (j *judge) checkStart(e event, w *workerRecord) {
	name, step, index, err := standin.ParseTask(e.Task)
	x := j.jobs[name]
	if err != nil || x == nil || step >= len(x.steps) || index >= x.steps[step].Count || e.Text != x.text {
		j.fail("unasked", "task %s with text %q was started on %s, but no submitted job contains it", e.Task, e.Text, e.Worker)
		return
	}
	x.started = true
	j.checkRefused(name, x)
	j.checkDomain(e)
	if x.cancelledAt > 0 && e.At > x.cancelledAt+toleranceFactor*cancelTime {
		j.fail("cancel", "task %s was started %v after the cancel of its job was acknowledged", e.Task, e.At-x.cancelledAt)
	}
	for _, before := range x.steps[step].After {
		if !j.stepDone(name, before, x.steps[before]) {
			j.fail("order", "task %s was started before step %d was done", e.Task, before)
		}
	}
	if e.Epoch < w.epoch {
		j.fail("fence", "task %s was started on %s with fencing token %d after token %d", e.Task, e.Worker, e.Epoch, w.epoch)
	}
	if w.running >= workerCapacity {
		j.fail("room", "task %s was started on %s, where %d other tasks run", e.Task, e.Worker, w.running)
	}
	if w.drainingSince > 0 && e.At > w.drainingSince+toleranceFactor*drainTime && j.allUndisturbed() {
		j.fail("drain", "task %s was started on %s, which has been draining since %v", e.Task, e.Worker, w.drainingSince)
	}
	if t := j.task(e.Task); t.crashes >= crashBudget {
		if t.startsAfter++; t.startsAfter > startsAfterCrashes {
			j.fail("budget", "task %s run %d is start number %d after the task had crashed %d workers", e.Task, e.Run, t.startsAfter, t.crashes)
		}
	}
	if j.failures(j.task(e.Task), true) >= maxAttempts {
		j.fail("budget", "task %s run %d was started after %d failed runs", e.Task, e.Run, maxAttempts)
	}
}

// checkRefused checks that a job has not started if all attempts to submit it
// were refused.
func (j *judge) checkRefused(name string, x *jobRecord) {
	if x.started && x.acceptedAt == 0 && x.inFlight+x.unanswered == 0 && x.refused > 0 {
		j.fail("refused", "job %s was started although all %d attempts to submit it were refused", name, x.refused)
	}
}

// stepDone reports whether all tasks of a step have a run that ended as done.
// In a gang, one done task stands for all.
func (j *judge) stepDone(name string, step int, s standin.Step) bool {
	n := 0
	for i := range s.Count {
		for _, r := range j.task(standin.TaskName(name, step, i)).runs {
			if r.how == "done" {
				n++
				break
			}
		}
	}
	return n == s.Count || s.Gang && n > 0
}

// failures counts the failed runs of a task. If notedOnly is set, it counts
// only the runs whose end the owner has noted.
func (j *judge) failures(t *taskRecord, notedOnly bool) int {
	n := 0
	for _, r := range t.runs {
		if r.how == "failed" && (r.noted || !notedOnly) {
			n++
		}
	}
	return n
}

// startRun records the start of a run. If an earlier run has no recorded end,
// startRun only marks it as overlapping: its lease may have lapsed before the
// start, since a lapse is reported slightly late. settleOverlaps decides once
// the end is recorded.
func (j *judge) startRun(e event, w *workerRecord) {
	t := j.task(e.Task)
	j.noteResumed(t, e.At)
	r := &runRecord{worker: e.Worker, number: e.Run, start: e.At, crashesWorker: e.Text == crashingText}
	for _, other := range t.runs {
		if other.how == "done" && other.noted && e.At > other.end {
			j.fail("twice", "task %s run %d on %s was started although run %d was done at %v", e.Task, e.Run, e.Worker, other.number, other.end)
		}
		if other.end == 0 {
			r.overlapping = other
		}
	}
	t.runs = append(t.runs, r)
	w.running++
	w.epoch = max(w.epoch, e.Epoch)
}

// endRun records the end of a run and settles the overlaps with it.
func (j *judge) endRun(e event, w *workerRecord) {
	t := j.task(e.Task)
	for _, r := range t.runs {
		if r.worker == e.Worker && r.number == e.Run && r.end == 0 {
			r.end, r.how = e.At, e.How
			w.running--
			j.settleOverlaps(e.Task, t, r)
		}
	}
	if e.How == "alone" && j.allUndisturbed() {
		j.fail("gang", "task %s run %d waited on %s without the other members of its gang", e.Task, e.Run, e.Worker)
	}
}

// settleOverlaps is called when the end of a run is known. It checks whether
// later runs of the task started before that end.
func (j *judge) settleOverlaps(name string, t *taskRecord, ended *runRecord) {
	for _, r := range t.runs {
		if r.overlapping != ended {
			continue
		}
		r.overlapping = nil
		if r.start < ended.end {
			j.fail("twice", "task %s run %d started on %s %v before run %d ended on %s",
				name, r.number, r.worker, ended.end-r.start, ended.number, ended.worker)
		}
	}
}

// handleNoted records that the owner has noted the end of a run.
func (j *judge) handleNoted(e event) {
	t := j.task(e.Task)
	for _, r := range t.runs {
		if r.worker != e.Worker || r.number != e.Run {
			continue
		}
		r.noted = true
		for _, other := range t.runs {
			if r.how == "done" && other.start > r.end {
				j.fail("twice", "task %s run %d was started at %v after run %d was done", e.Task, other.number, other.start, r.number)
			}
		}
	}
}

// handleGone ends all runs of a worker's incarnation.
func (j *judge) handleGone(e event, w *workerRecord) {
	w.gone, w.running = true, 0
	for name, t := range j.tasks {
		for _, r := range t.runs {
			if r.worker == e.Worker && r.end == 0 {
				r.end, r.how = e.At, "gone"
				if r.crashesWorker {
					t.crashes++
				}
				j.settleOverlaps(name, t, r)
			}
		}
	}
}

// handleFenced counts the orders that a fenced owner still sends to a worker.
func (j *judge) handleFenced(e event) {
	key := fmt.Sprint(e.Worker, " ", e.Epoch)
	f := j.refusals[key]
	if f == nil {
		j.refusals[key] = &fenceRefusals{first: e.At}
		return
	}
	if e.At > f.first+toleranceFactor*handover {
		f.lateOrders++
	}
	if f.lateOrders == maxRefusedOrders+1 {
		j.fail("fence", "worker and fencing token %s: the fenced owner still sends orders %v after the first refusal", key, e.At-f.first)
	}
}
