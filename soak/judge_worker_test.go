package soak

import (
	"fmt"

	"curlewsill.org/curlewsill/platform/standin"
)

// seeWorker checks what a worker has seen.
func (j *judge) seeWorker(e event) {
	w := j.workers[e.Worker]
	if w == nil {
		w = &workerSeen{}
		j.workers[e.Worker] = w
	}
	switch string(e.Kind) {
	case standin.SeenStart:
		j.checkStart(e, w)
		j.start(e, w)
	case standin.SeenEnd:
		j.end(e, w)
	case standin.SeenNoted:
		j.noted(e)
	case standin.SeenFenced:
		j.fenced(e)
	case standin.SeenGone:
		j.gone(e, w)
	case string(draining):
		w.drainsAt = e.At
	}
}

// task returns what is known of a task.
func (j *judge) task(name string) *taskSeen {
	if j.tasks[name] == nil {
		j.tasks[name] = &taskSeen{}
	}
	return j.tasks[name]
}

// checkStart checks a start against what came before it.
func (j *judge) checkStart(e event, w *workerSeen) {
	name, step, index, err := standin.ParseTask(e.Task)
	x := j.jobs[name]
	if err != nil || x == nil || step >= len(x.steps) || index >= x.steps[step].Count || e.Text != x.text {
		j.fail("unasked", "%s %q was started on %s", e.Task, e.Text, e.Worker)
		return
	}
	x.started = true
	j.checkRefused(name, x)
	j.checkDomain(e)
	if x.cancelledAt > 0 && e.At > x.cancelledAt+patience*cancelTime {
		j.fail("cancel", "%s was started %v after its job was cancelled", e.Task, e.At-x.cancelledAt)
	}
	for _, before := range x.steps[step].After {
		if !j.done(name, before, x.steps[before]) {
			j.fail("order", "%s was started before step %d was done", e.Task, before)
		}
	}
	if e.Epoch < w.epoch {
		j.fail("fence", "%s was started on %s by %d after %d", e.Task, e.Worker, e.Epoch, w.epoch)
	}
	if w.running >= workerRoom {
		j.fail("room", "%s was started on %s, where %d others run", e.Task, e.Worker, w.running)
	}
	if w.drainsAt > 0 && e.At > w.drainsAt+patience*drainTime && j.allCalm() {
		j.fail("drain", "%s was started on %s, which leaves since %v", e.Task, e.Worker, w.drainsAt)
	}
	if t := j.task(e.Task); t.crashes >= mostCrashes {
		if t.startsAfter++; t.startsAfter > lastStarts {
			j.fail("budget", "%s run %d is start %d after it had crashed %d workers", e.Task, e.Run, t.startsAfter, t.crashes)
		}
	}
	if j.failures(j.task(e.Task), true) >= maxAttempts {
		j.fail("budget", "%s run %d follows %d that failed", e.Task, e.Run, maxAttempts)
	}
}

// checkRefused checks that a job of which all attempts were refused has not started.
func (j *judge) checkRefused(name string, x *jobSeen) {
	if x.started && x.acceptedAt == 0 && x.open+x.unknown == 0 && x.refused > 0 {
		j.fail("refused", "%s was refused %d times and runs", name, x.refused)
	}
}

// done reports whether each task of a step has ended so; of a gang, one stands for all.
func (j *judge) done(name string, step int, s standin.Step) bool {
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

// failures counts the runs that have ended failed, or only those that the owner knows of.
func (j *judge) failures(t *taskSeen, known bool) int {
	n := 0
	for _, r := range t.runs {
		if r.how == "failed" && (r.noted || !known) {
			n++
		}
	}
	return n
}

// start notes a run. Another one that seems to go on is only suspected: the end of a lease is told a
// little late.
func (j *judge) start(e event, w *workerSeen) {
	t := j.task(e.Task)
	r := &runSeen{worker: e.Worker, number: e.Run, start: e.At, crashes: e.Text == crashes}
	for _, other := range t.runs {
		if other.how == "done" && other.noted && e.At > other.end {
			j.fail("twice", "%s run %d on %s was started although run %d was done at %v", e.Task, e.Run, e.Worker, other.number, other.end)
		}
		if other.end == 0 {
			r.against = other
		}
	}
	t.runs = append(t.runs, r)
	w.running++
	w.epoch = max(w.epoch, e.Epoch)
}

// end notes the end of a run, and settles suspicions.
func (j *judge) end(e event, w *workerSeen) {
	t := j.task(e.Task)
	for _, r := range t.runs {
		if r.worker == e.Worker && r.number == e.Run && r.end == 0 {
			r.end, r.how = e.At, e.How
			w.running--
			j.acquit(e.Task, t, r)
		}
	}
	if e.How == "alone" && j.allCalm() {
		j.fail("gang", "%s run %d waited alone on %s", e.Task, e.Run, e.Worker)
	}
}

// acquit settles whether later runs began before the end of a run.
func (j *judge) acquit(name string, t *taskSeen, ended *runSeen) {
	for _, r := range t.runs {
		if r.against != ended {
			continue
		}
		r.against = nil
		if r.start < ended.end {
			j.fail("twice", "%s run %d began on %s %v before run %d ended on %s", name, r.number, r.worker, ended.end-r.start, ended.number, ended.worker)
		}
	}
}

// noted takes in that the owner knows of an end.
func (j *judge) noted(e event) {
	t := j.task(e.Task)
	for _, r := range t.runs {
		if r.worker != e.Worker || r.number != e.Run {
			continue
		}
		r.noted = true
		for _, other := range t.runs {
			if r.how == "done" && other.start > r.end {
				j.fail("twice", "%s run %d was started at %v after run %d was done", e.Task, other.number, other.start, r.number)
			}
		}
	}
}

// gone ends all runs of a worker's life.
func (j *judge) gone(e event, w *workerSeen) {
	w.gone, w.running = true, 0
	for name, t := range j.tasks {
		for _, r := range t.runs {
			if r.worker == e.Worker && r.end == 0 {
				r.end, r.how = e.At, "gone"
				if r.crashes {
					t.crashes++
				}
				j.acquit(name, t, r)
			}
		}
	}
}

// fenced counts the orders that an owner goes on to send after a worker has refused it.
func (j *judge) fenced(e event) {
	key := fmt.Sprint(e.Worker, " ", e.Epoch)
	f := j.fences[key]
	if f == nil {
		j.fences[key] = &refusedFence{first: e.At}
		return
	}
	if e.At > f.first+patience*handover {
		f.later++
	}
	if f.later == refusals+1 {
		j.fail("fence", "orders of %s go on %v after the first refusal", key, e.At-f.first)
	}
}
