package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/unit"
)

// The world's times.
const (
	// worldStep is the time between two passes.
	worldStep = 5 * time.Millisecond
	// worldTrip is how long an order and its answer take together unless a test says otherwise.
	worldTrip = 4 * time.Millisecond
	// worldWrite is how long an append takes.
	worldWrite = 8 * time.Millisecond
	// worldTimeout is how long the owner waits for an answer.
	worldTimeout = 800 * time.Millisecond
	// workersOfRack is how many workers stand in one rack.
	workersOfRack = 12
)

// happening is something that happens in a world at a time.
type happening struct {
	at unit.Instant
	// seq keeps what happens at one time in the order in which it was planned.
	seq int
	do  func()
}

// agenda holds what will happen, the earliest first.
type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// world is a dispatcher between a store and workers in virtual time. All that an owner sends
// leaves one after the other, each order after the time that sending one takes.
type world struct {
	tb    testing.TB
	d     *dispatch.Dispatcher
	table *jobtable.Table
	now   unit.Instant
	// sending is how long the host needs for one order; free is when it can send the next.
	sending time.Duration
	free    unit.Instant
	// trip is how long an order and its answer take together.
	trip    time.Duration
	agenda  agenda
	planned int
	writing bool
	random  *rand.Rand
	workers map[id.Worker]*simWorker
	order   []*simWorker
	jobs    int
	// starts counts the runs that workers began, accepted the tasks of all jobs.
	starts, accepted int
	// ended counts the runs that ended by themselves; done does so by job.
	ended int
	done  map[id.Job]int
}

// doneOf returns how many runs of the Nth job ended by themselves.
func (w *world) doneOf(n int) int { return w.done[jobName(n)] }

// jobName returns the name of the Nth job.
func jobName(n int) id.Job { return id.Job(fmt.Sprintf("%016x", n)) }

// simWorker is a worker of a world.
type simWorker struct {
	world   *world
	id      id.Worker
	rack    id.Rack
	runs    map[job.Task]*simRun
	highest map[job.Task]job.Run
	ends    []fleet.End
	seq     uint64
	until   fleet.Clock
	// held answers the renewal that waits for an end; nil if none does.
	held func()
	// mute is set while the worker neither takes nor answers orders to start.
	mute bool
}

// simRun is one run on a worker of a world.
type simRun struct {
	number job.Run
	ends   unit.Instant
}

// newWorld returns a world of so many idle workers.
func newWorld(tb testing.TB, workers int, sending time.Duration) *world {
	w := &world{
		tb: tb, table: jobtable.New(), now: unit.At(time.Unix(1000, 0)), sending: sending, trip: worldTrip,
		workers: map[id.Worker]*simWorker{}, done: map[id.Job]int{}, random: rand.New(rand.NewPCG(1, 2)),
	}
	w.free = w.now
	w.d = dispatch.New(config, policy.New(), 1, w.table)
	for i := range workers {
		x := &simWorker{
			world: w, id: id.Worker(fmt.Sprintf("worker-%04d", i)), rack: id.Rack(fmt.Sprintf("r%03d", i/workersOfRack)),
			runs: map[job.Task]*simRun{}, highest: map[job.Task]job.Run{},
		}
		w.workers[x.id] = x
		w.order = append(w.order, x)
		w.list(x)
	}
	return w
}

// list puts a worker on the platform's list.
func (w *world) list(x *simWorker) {
	w.d.List(w.now, fleet.Listing{
		ID: x.id, Address: string(x.id), Service: "svc", Rack: x.rack, Labels: []string{"a", string(x.rack)},
		Capacity: job.Resources{CPU: 32000, Memory: 128 * unit.GiB, Accelerators: 8}, Clock: w.clock(),
	})
}

// clock is what the workers' clocks show.
func (w *world) clock() fleet.Clock { return fleet.Clock(w.now.Sub(unit.At(time.Unix(900, 0)))) }

// plan makes something happen later.
func (w *world) plan(after time.Duration, do func()) {
	w.planned++
	heap.Push(&w.agenda, happening{at: w.now.Add(after), seq: w.planned, do: do})
}

// submit hands in a job of equal tasks.
func (w *world) submit(priority, count, gpus int, takes time.Duration) {
	w.submitStep(priority, takes, job.Step{
		Count: count, Estimate: takes, Need: job.Resources{CPU: 1000 * job.MilliCPU(gpus), Memory: unit.GiB, Accelerators: gpus},
	})
}

// submitStep hands in a job of one step.
func (w *world) submitStep(priority int, takes time.Duration, step job.Step) {
	w.jobs++
	w.accepted += step.Count
	spec := job.Spec{
		Customer: "c", Queue: "q", Service: "svc", Priority: priority, MaxAttempts: 3, Stretch: 3, Target: time.Second,
		Text: takes.String(), Accepted: w.now, Steps: []job.Step{step},
	}
	name := jobName(w.jobs)
	r, err := w.table.SpecRecord(name, spec)
	if err != nil {
		w.tb.Fatal(err)
	}
	if _, err := w.table.Apply(r); err != nil {
		w.tb.Fatal(err)
	}
	w.d.AddJob(w.now, name, &spec, job.Progress{}, false)
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now < end; {
		next := w.now.Add(worldStep)
		for len(w.agenda) > 0 && w.agenda[0].at <= next {
			h := heap.Pop(&w.agenda).(happening)
			w.now = h.at
			h.do()
		}
		w.now = next
		w.d.Pass(w.now, w.now)
		w.flush()
		w.send()
		w.d.Notes()
	}
}

// flush writes what has to be in the store.
func (w *world) flush() {
	if w.writing {
		return
	}
	b, some, err := w.d.Flush()
	if err != nil {
		w.tb.Fatal(err)
	}
	if !some {
		return
	}
	w.writing = true
	w.plan(worldWrite, func() {
		for _, r := range b.Records {
			if _, err := w.table.Apply(r); err != nil {
				w.tb.Fatal(err)
			}
		}
		w.writing = false
		w.d.Committed(w.now, b)
		w.flush()
		w.send()
	})
}

// send hands out what was decided.
func (w *world) send() {
	o := w.d.Take()
	for _, x := range o.Starts {
		w.order1(func() fleet.Verdict { return w.workers[x.Worker].start(x) }, func(v fleet.Verdict) {
			w.d.Started(w.now, dispatch.StartResult{Start: x, Verdict: v, Clock: w.clock()})
		})
	}
	for _, x := range o.Stops {
		w.order1(func() fleet.Verdict { return w.workers[x.Worker].stop(x) }, func(v fleet.Verdict) {
			w.d.Stopped(w.now, dispatch.StopResult{Stop: x, Verdict: v, Clock: w.clock()})
		})
	}
	for _, x := range o.Renews {
		sent := w.now
		w.plan(w.slot()+w.trip/2, func() { w.workers[x.Worker].renew(x, sent) })
	}
}

// slot returns after which time the next order leaves.
func (w *world) slot() time.Duration {
	w.free = max(w.free, w.now).Add(w.sending)
	return w.free.Sub(w.now)
}

// order1 carries one order out when its turn has come. An answer that comes too late is lost.
func (w *world) order1(carry func() fleet.Verdict, answered func(fleet.Verdict)) {
	sent := w.now
	w.plan(w.slot()+w.trip/2, func() {
		v := carry()
		if w.now.Sub(sent) > worldTimeout {
			v = fleet.Unknown
		}
		w.plan(w.trip/2, func() { answered(v) })
	})
}

// start begins a run.
func (x *simWorker) start(o dispatch.Start) fleet.Verdict {
	w := x.world
	switch {
	case x.mute:
		return fleet.Unknown
	case o.Until <= w.clock():
		return fleet.Expired
	case x.runs[o.Task] != nil && x.runs[o.Task].number == o.Run:
		return fleet.Carried
	case o.Run <= x.highest[o.Task]:
		return fleet.Stale
	}
	takes, err := time.ParseDuration(o.Text)
	if err != nil {
		w.tb.Fatal(err)
	}
	x.highest[o.Task] = o.Run
	r := &simRun{number: o.Run, ends: w.now.Add(takes)}
	x.runs[o.Task] = r
	w.starts++
	x.lease(o.Until)
	w.plan(takes, func() {
		if x.runs[o.Task] == r {
			w.ended++
			w.done[o.Task.Job]++
			x.end(o.Task, fleet.EndDone)
		}
	})
	return fleet.Carried
}

// stop ends a run.
func (x *simWorker) stop(o dispatch.Stop) fleet.Verdict {
	if r := x.runs[o.Task]; r != nil && r.number == o.Run {
		x.end(o.Task, fleet.EndStopped)
	}
	x.highest[o.Task] = max(x.highest[o.Task], o.Run)
	return fleet.Carried
}

// end lists the end of a run and answers the renewal that waits for it.
func (x *simWorker) end(t job.Task, how fleet.How) {
	r := x.runs[t]
	delete(x.runs, t)
	x.seq++
	x.ends = append(x.ends, fleet.End{Seq: x.seq, Task: t, Run: r.number, How: how})
	if x.held != nil {
		x.held()
	}
}

// lease makes all that runs last until a time, and ends it then.
func (x *simWorker) lease(until fleet.Clock) {
	if until <= x.until {
		return
	}
	x.until = until
	w := x.world
	w.plan(time.Duration(until-w.clock()), func() {
		if x.until != until {
			return
		}
		for t := range x.runs {
			x.end(t, fleet.EndLapsed)
		}
	})
}

// renew takes a renewal and answers it at an end, or after the time that it may wait.
func (x *simWorker) renew(o dispatch.Renew, sent unit.Instant) {
	w := x.world
	x.lease(o.Until)
	for len(x.ends) > 0 && x.ends[0].Seq <= o.Told {
		x.ends = x.ends[1:]
	}
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered, x.held = true, nil
		rep := fleet.Report{Clock: w.clock(), Ended: x.ends}
		for t, r := range x.runs {
			rep.Running = append(rep.Running, fleet.Running{Task: t, Run: r.number})
		}
		w.plan(w.trip/2, func() {
			w.d.Renewed(w.now, dispatch.RenewResult{Renew: o, Sent: sent, Verdict: fleet.Carried, Report: rep})
		})
	}
	if o.Wait == 0 || len(x.ends) > 0 {
		answer()
		return
	}
	x.held = answer
	w.plan(o.Wait, answer)
}

// arrive hands in a second's jobs of three kinds: many small urgent ones, some wide ones of
// large tasks, and some very wide ones of small tasks. Scale is 1 for 350 workers.
func (w *world) arrive(scale float64) {
	kinds := []struct {
		rate            float64
		priority, count int
		gpus            int
		takes           time.Duration
	}{
		{8.8, 0, 5, 4, 2500 * time.Millisecond},
		{2, 1, 13, 4, 8500 * time.Millisecond},
		{2, 2, 39, 1, 7600 * time.Millisecond},
	}
	for _, k := range kinds {
		n := int(k.rate * scale)
		if w.random.Float64() < k.rate*scale-float64(n) {
			n++
		}
		for range n {
			after := time.Duration(w.random.Int64N(int64(time.Second)))
			w.plan(after, func() { w.submit(k.priority, 1+w.random.IntN(2*k.count), k.gpus, k.takes) })
		}
	}
}
