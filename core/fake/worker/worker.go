// Package worker is a worker for tests and stand-ins. It keeps to the rules of
// core/worker and runs nothing: a task is a time until it exits.
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

// event is an event of the task's chart.
type event string

const (
	open  event = "open"
	exit  event = "exit"
	crash event = "crash"
	stop  event = "stop"
	lapse event = "lapse"
)

var taskChart = chart.MustParse[worker.TaskState, event]("task.chart", charts.Read("task"))

// Run says how a task behaves once its gate is open.
type Run struct {
	// For is how long it runs.
	For time.Duration
	// Crash makes it end with an error.
	Crash bool
}

// Hooks connect a worker with its surroundings. Each may be nil.
type Hooks struct {
	// Plan says how a task will behave.
	Plan func(worker.Want) Run
	// Started is told when a gate opens and Ended when a task ends.
	Started func(id.Job, id.Lease)
	Ended   func(id.Job, id.Lease, worker.TaskState)
}

type name struct {
	job   id.Job
	lease id.Lease
}

type task struct {
	want  worker.Want
	state worker.TaskState
	// until is the end of the lease and done the end of the run.
	until, done time.Duration
	// ended is when the task ended.
	ended time.Duration
	run   Run
}

// remember is how long an ended task is reported and not created again.
const remember = time.Minute

// Worker is one fake worker. It is not safe for concurrent use.
type Worker struct {
	id     id.Worker
	life   uint64
	hooks  Hooks
	free   uint64
	epoch  id.Epoch
	seq    id.Seq
	tasks  map[name]*task
	clock  time.Duration
	faulty bool
	// base is the last whole list that was taken, and told what was reported then.
	base id.Seq
	told map[name]worker.TaskState
}

// New returns a worker with the given number of accelerators, in its life'th life.
func New(w id.Worker, accelerators int, life uint64, h Hooks) *Worker {
	if h.Plan == nil {
		h.Plan = func(worker.Want) Run { return Run{For: time.Second} }
	}
	free := uint64(1)<<accelerators - 1
	return &Worker{id: w, life: life, hooks: h, free: free, tasks: map[name]*task{}}
}

// Break makes every task that starts from now on crash at once.
func (w *Worker) Break(faulty bool) { w.faulty = faulty }

// Advance moves the worker's clock on and ends what is due.
func (w *Worker) Advance(clock time.Duration) {
	w.clock = clock
	for _, n := range w.names() {
		t := w.tasks[n]
		switch {
		case t.state.Ended() && clock-t.ended > remember:
			delete(w.tasks, n)
		case t.state.Ended():
		case clock >= t.until:
			w.step(n, t, lapse)
		case t.state == worker.Running && clock >= t.done && t.run.Crash:
			w.step(n, t, crash)
		case t.state == worker.Running && clock >= t.done:
			w.step(n, t, exit)
		}
	}
}

// Sync takes in what the owner wants and answers with what the worker holds.
func (w *Worker) Sync(clock time.Duration, s worker.Sync) worker.Report {
	w.Advance(clock)
	if s.Epoch < w.epoch || s.Epoch == w.epoch && s.Seq <= w.seq {
		return worker.Report{Worker: w.id, Epoch: w.epoch, Seq: w.seq, Clock: clock, Life: w.life}
	}
	if s.Epoch != w.epoch {
		w.base = 0
	}
	w.epoch, w.seq = s.Epoch, s.Seq
	rep := worker.Report{Worker: w.id, Epoch: w.epoch, Seq: w.seq, Clock: clock, Life: w.life}
	if s.Base != 0 && s.Base == w.base && s.Life == w.life {
		w.renew(s.Until)
		if w.unchanged() {
			rep.Base = s.Base
			return rep
		}
	}
	named := map[name]bool{}
	if s.Base == 0 && s.Life == w.life {
		named = w.obey(s, &rep)
		w.base, w.told = s.Seq, map[name]worker.TaskState{}
	}
	for _, n := range w.names() {
		t := w.tasks[n]
		if !named[n] {
			rep.Tasks = append(rep.Tasks, w.report(n, t.state, t.want.Mask))
		}
		if w.base == s.Seq {
			w.told[n] = t.state
		}
	}
	return rep
}

// renew extends the lease of every task that still runs.
func (w *Worker) renew(until time.Duration) {
	for _, t := range w.tasks {
		if !t.state.Ended() {
			t.until = max(t.until, until)
		}
	}
}

// unchanged reports whether every task is as the report to base said.
func (w *Worker) unchanged() bool {
	for n, t := range w.tasks {
		if w.told[n] != t.state {
			return false
		}
	}
	return true
}

// obey brings the tasks into the wanted state and returns those that were named.
func (w *Worker) obey(s worker.Sync, rep *worker.Report) map[name]bool {
	named := map[name]bool{}
	for _, t := range s.Tasks {
		named[name{t.Job, t.Lease}] = true
	}
	for _, n := range w.names() {
		if t := w.tasks[n]; !named[n] && !t.state.Ended() {
			w.step(n, t, stop)
		}
	}
	for _, t := range s.Tasks {
		rep.Tasks = append(rep.Tasks, w.take(t))
	}
	return named
}

// take brings one task into the wanted state as far as the rules allow.
func (w *Worker) take(t worker.Want) worker.Task {
	n := name{t.Job, t.Lease}
	have, ok := w.tasks[n]
	switch {
	case !ok && !t.Create:
		return w.report(n, worker.Missing, 0)
	case !ok && t.Mask&^w.free != 0:
		return w.report(n, worker.Denied, 0)
	case !ok:
		have = &task{want: t, state: taskChart.Start(), until: w.clock + worker.GatedTerm}
		w.tasks[n] = have
		w.free &^= t.Mask
	}
	if have.state.Ended() {
		return w.report(n, have.state, t.Mask)
	}
	have.until = max(have.until, t.Until)
	if t.Open && have.state == worker.Gated {
		have.run = w.hooks.Plan(t)
		if w.faulty {
			have.run = Run{Crash: true}
		}
		have.done = w.clock + have.run.For
		w.step(n, have, open)
	}
	return w.report(n, have.state, t.Mask)
}

func (w *Worker) step(n name, t *task, ev event) {
	to, err := taskChart.Next(t.state, ev)
	if err != nil {
		return
	}
	t.state = to
	if ev == open {
		if w.hooks.Started != nil {
			w.hooks.Started(n.job, n.lease)
		}
		return
	}
	t.ended = w.clock
	w.free |= t.want.Mask
	if w.hooks.Ended != nil {
		w.hooks.Ended(n.job, n.lease, to)
	}
}

func (w *Worker) report(n name, st worker.TaskState, mask uint64) worker.Task {
	return worker.Task{Job: n.job, Lease: n.lease, State: st, Mask: mask}
}

// Running returns the jobs that run here, in ascending order.
func (w *Worker) Running() []id.Job {
	out := map[id.Job]bool{}
	for n, t := range w.tasks {
		if t.state == worker.Running {
			out[n.job] = true
		}
	}
	return config.Sorted(out)
}

func (w *Worker) names() []name {
	out := make([]name, 0, len(w.tasks))
	for n := range w.tasks {
		out = append(out, n)
	}
	slices.SortFunc(out, func(a, b name) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.lease, b.lease))
	})
	return out
}
