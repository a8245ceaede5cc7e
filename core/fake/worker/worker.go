// Package worker is a fake worker for tests and stand-ins. It implements the
// protocol of core/worker but executes nothing: a task exits or crashes after a
// given time.
package worker

import (
	"cmp"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/chart"
	"curlewsill.org/curlewsill/core/charts"
	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/worker"
)

// event is an event of the state chart of a task.
type event string

const (
	open  event = "open"
	exit  event = "exit"
	crash event = "crash"
	stop  event = "stop"
	lapse event = "lapse"
)

var taskChart = chart.MustParse[worker.TaskState, event]("task.chart", charts.Read("task"))

// Run describes how a task behaves once its gate is open.
type Run struct {
	// Duration is the time that the task runs.
	Duration time.Duration
	// Crash makes the task end as crashed instead of exited.
	Crash bool
}

// Hooks are callbacks of a worker. Each may be nil.
type Hooks struct {
	// RunOf returns how a task will behave. By default it exits after a second.
	RunOf func(worker.WantedTask) Run
	// Started is called when the gate of a task opens, and Ended when a task
	// ends.
	Started func(id.Job, id.Lease)
	Ended   func(id.Job, id.Lease, worker.TaskState)
}

// taskKey identifies a task on one worker.
type taskKey struct {
	job   id.Job
	lease id.Lease
}

type task struct {
	want  worker.WantedTask
	state worker.TaskState
	// leaseEnd is when the lease expires, and runEnd when the task exits or
	// crashes.
	leaseEnd, runEnd time.Duration
	// endedAt is when the task ended, if it has.
	endedAt time.Duration
	run     Run
}

// endedRetention is how long the worker keeps an ended task: until then it
// reports the task and doesn't create it again.
const endedRetention = time.Minute

// Worker is one fake worker. It is not safe for concurrent use.
type Worker struct {
	id          id.Worker
	incarnation uint64
	hooks       Hooks
	freeMask    uint64
	epoch       id.Epoch
	seq         id.Seq
	tasks       map[taskKey]*task
	clock       time.Duration
	faulty      bool
	// base is the sequence number of the last sync with a complete list that was
	// applied, and reported has the task states in the report on that sync.
	base     id.Seq
	reported map[taskKey]worker.TaskState
}

// New returns a worker with the given number of accelerators. Each restart of a
// worker needs a new incarnation number.
func New(w id.Worker, accelerators int, incarnation uint64, h Hooks) *Worker {
	if h.RunOf == nil {
		h.RunOf = func(worker.WantedTask) Run { return Run{Duration: time.Second} }
	}
	freeMask := uint64(1)<<accelerators - 1
	return &Worker{id: w, incarnation: incarnation, hooks: h, freeMask: freeMask, tasks: map[taskKey]*task{}}
}

// SetFaulty sets whether each task that starts from now on crashes at once.
func (w *Worker) SetFaulty(faulty bool) { w.faulty = faulty }

// Advance sets the worker's clock and ends the tasks whose lease or run ends by
// then. It also drops tasks that ended more than endedRetention ago.
func (w *Worker) Advance(clock time.Duration) {
	w.clock = clock
	for _, n := range w.sortedKeys() {
		t := w.tasks[n]
		switch {
		case t.state.Ended() && clock-t.endedAt > endedRetention:
			delete(w.tasks, n)
		case t.state.Ended():
		case clock >= t.leaseEnd:
			w.step(n, t, lapse)
		case t.state == worker.Running && clock >= t.runEnd && t.run.Crash:
			w.step(n, t, crash)
		case t.state == worker.Running && clock >= t.runEnd:
			w.step(n, t, exit)
		}
	}
}

// Sync applies a sync from the owner at the given clock time and returns the
// worker's report. A sync changes no task if it is of an earlier epoch, not newer
// than the last one of the same epoch, or meant for another incarnation.
func (w *Worker) Sync(clock time.Duration, s worker.Sync) worker.Report {
	w.Advance(clock)
	if s.Epoch < w.epoch || s.Epoch == w.epoch && s.Seq <= w.seq {
		return worker.Report{Worker: w.id, Epoch: w.epoch, Seq: w.seq, Clock: clock, Incarnation: w.incarnation}
	}
	if s.Epoch != w.epoch {
		w.base = 0
	}
	w.epoch, w.seq = s.Epoch, s.Seq
	rep := worker.Report{Worker: w.id, Epoch: w.epoch, Seq: w.seq, Clock: clock, Incarnation: w.incarnation}
	if s.Base != 0 && s.Base == w.base && s.Incarnation == w.incarnation {
		w.renew(s.Until)
		if w.unchanged() {
			rep.Base = s.Base
			return rep
		}
	}
	listed := map[taskKey]bool{}
	if s.Base == 0 && s.Incarnation == w.incarnation {
		listed = w.reconcile(s, &rep)
		w.base, w.reported = s.Seq, map[taskKey]worker.TaskState{}
	}
	for _, n := range w.sortedKeys() {
		t := w.tasks[n]
		if !listed[n] {
			rep.Tasks = append(rep.Tasks, w.taskReport(n, t.state, t.want.Mask))
		}
		if w.base == s.Seq {
			w.reported[n] = t.state
		}
	}
	return rep
}

// renew extends the lease of every task that has not ended.
func (w *Worker) renew(until time.Duration) {
	for _, t := range w.tasks {
		if !t.state.Ended() {
			t.leaseEnd = max(t.leaseEnd, until)
		}
	}
}

// unchanged reports whether every task is still in the state of the report on the
// sync with the sequence number w.base.
func (w *Worker) unchanged() bool {
	for n, t := range w.tasks {
		if w.reported[n] != t.state {
			return false
		}
	}
	return true
}

// reconcile brings the tasks into the state that the sync lists, stops those that
// it doesn't list, and returns the keys of the listed tasks.
func (w *Worker) reconcile(s worker.Sync, rep *worker.Report) map[taskKey]bool {
	listed := map[taskKey]bool{}
	for _, t := range s.Tasks {
		listed[taskKey{t.Job, t.Lease}] = true
	}
	for _, n := range w.sortedKeys() {
		if t := w.tasks[n]; !listed[n] && !t.state.Ended() {
			w.step(n, t, stop)
		}
	}
	for _, t := range s.Tasks {
		rep.Tasks = append(rep.Tasks, w.reconcileTask(t))
	}
	return listed
}

// reconcileTask brings one listed task into the wanted state as far as the
// protocol allows, and returns its state: it creates the task if the sync
// allows that and the accelerators are free, extends its lease, and opens its
// gate.
func (w *Worker) reconcileTask(t worker.WantedTask) worker.Task {
	n := taskKey{t.Job, t.Lease}
	held, ok := w.tasks[n]
	switch {
	case !ok && !t.Create:
		return w.taskReport(n, worker.Missing, 0)
	case !ok && t.Mask&^w.freeMask != 0:
		return w.taskReport(n, worker.Denied, 0)
	case !ok:
		held = &task{want: t, state: taskChart.Start(), leaseEnd: w.clock + worker.GatedLeaseDuration}
		w.tasks[n] = held
		w.freeMask &^= t.Mask
	}
	if held.state.Ended() {
		return w.taskReport(n, held.state, t.Mask)
	}
	held.leaseEnd = max(held.leaseEnd, t.Until)
	if t.Open && held.state == worker.Gated {
		held.run = w.hooks.RunOf(t)
		if w.faulty {
			held.run = Run{Crash: true}
		}
		held.runEnd = w.clock + held.run.Duration
		w.step(n, held, open)
	}
	return w.taskReport(n, held.state, t.Mask)
}

// step applies an event to a task. If the task ends, it frees its accelerators.
// An event that the chart doesn't allow in the current state is ignored.
func (w *Worker) step(n taskKey, t *task, ev event) {
	next, err := taskChart.Next(t.state, ev)
	if err != nil {
		return
	}
	t.state = next
	if ev == open {
		if w.hooks.Started != nil {
			w.hooks.Started(n.job, n.lease)
		}
		return
	}
	t.endedAt = w.clock
	w.freeMask |= t.want.Mask
	if w.hooks.Ended != nil {
		w.hooks.Ended(n.job, n.lease, next)
	}
}

func (w *Worker) taskReport(n taskKey, st worker.TaskState, mask uint64) worker.Task {
	return worker.Task{Job: n.job, Lease: n.lease, State: st, Mask: mask}
}

// Running returns the jobs with a running task on this worker, in ascending
// order.
func (w *Worker) Running() []id.Job {
	out := map[id.Job]bool{}
	for n, t := range w.tasks {
		if t.state == worker.Running {
			out[n.job] = true
		}
	}
	return config.SortedKeys(out)
}

// sortedKeys returns the keys of all tasks, ordered by job and lease.
func (w *Worker) sortedKeys() []taskKey {
	out := make([]taskKey, 0, len(w.tasks))
	for n := range w.tasks {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b taskKey) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.lease, b.lease))
	})
	return out
}
