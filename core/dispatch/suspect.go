package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// A task under which a worker has crashed may be the cause, or have run beside it. Started where nothing else is new, it
// shows by itself which: who else ran there has gone on for a while, and isn't blamed if the worker crashes again.

const (
	// isolateFrom is the count of crashes from which a task keeps its worker for as long as it runs: it seems to crash
	// workers after it has worked for a while, and two starts are left to it.
	isolateFrom = 3
	// ownWorkerWait is how long a suspect waits for an empty worker before it goes beside others.
	ownWorkerWait = time.Second
	// settledWait is how long it waits for one on which all that runs has gone on for a while, before it is placed like any
	// other task, unless one more crash would end its job. A service of which all workers begin something each second has none.
	settledWait = 5 * time.Second
	// shieldedWait is how long a renewal may wait for news on a worker where room is kept free beside a suspect: the answer shows that
	// the worker has not crashed. It costs a renewal each 100 ms for some 400 ms.
	shieldedWait = 100 * time.Millisecond
	// steadyAfter is how long a worker must be known to be preferred for suspects. One that has just crashed of itself may do so
	// again, and has most room.
	steadyAfter = 10 * time.Second
)

// suspect reports whether a task is to be started apart from others.
func (d *Dispatcher) suspect(s *stepState, index int) bool {
	return d.policy.IsolateSuspects && s.anyCrashes(index, func(c job.CrashCount) bool { return crashedSoon(c) || crashedOften(c) })
}

// placeSuspects places the suspects among a candidate's waiting tasks and takes those that don't go among others out of it. It reports whether
// none of these is left.
func (d *Dispatcher) placeSuspects(now unit.Instant, c *candidate, fits []*worker) bool {
	if len(c.step.job.progress.Crashes) == 0 {
		return true
	}
	s, all := c.step, true
	var others []int
	for _, i := range c.waiting {
		switch {
		case !d.suspect(s, i) || s.waitedSinceCrash(now, i) >= settledWait && s.crashCount(i).AtOnce < mostAtOnce-1:
			others = append(others, i)
		case !d.placeSuspect(now, s, i, fits):
			all = false
		}
	}
	c.waiting = others
	return all
}

// placeSuspect places a suspect if there is a worker for it.
func (d *Dispatcher) placeSuspect(now unit.Instant, s *stepState, index int, fits []*worker) bool {
	for _, tier := range s.shelters(now, index, fits) {
		if w := d.choose(now, s, tier.workers, true); w != nil {
			r := d.place(s, index, w, s.nextRun(index))
			d.isolate(r, tier.why)
			return true
		}
	}
	return false
}

// placeSuspectGang is placeSuspect for a gang. Its members may share workers.
func (d *Dispatcher) placeSuspectGang(now unit.Instant, c candidate, fits []*worker) bool {
	for _, tier := range c.step.shelters(now, 0, fits) {
		chosen := d.chooseGang(now, c, tier.workers, d.plainRoom)
		if chosen.workers == nil {
			continue
		}
		d.placeOn(c, chosen.workers)
		for _, i := range c.waiting {
			d.isolate(c.step.runs[i], tier.why)
		}
		return true
	}
	return false
}

// gangApart reports whether a candidate is a gang that is to be started apart from others.
func (d *Dispatcher) gangApart(now unit.Instant, c *candidate) bool {
	return c.step.step.Gang && d.suspect(c.step, 0) && c.step.waitedSinceCrash(now, 0) < settledWait
}

// shelter is a set of workers where a suspect may start, and why.
type shelter struct {
	workers []*worker
	why     string
}

// shelters returns where a suspect may start, the best first.
func (s *stepState) shelters(now unit.Instant, index int, fits []*worker) []shelter {
	var steady, empty, settled []*worker
	for _, w := range fits {
		switch {
		case w.empty() && now.Sub(w.since) >= steadyAfter:
			steady = append(steady, w)
		case w.empty():
			empty = append(empty, w)
		case w.settled():
			settled = append(settled, w)
		}
	}
	out := []shelter{{steady, "a worker of its own"}, {empty, "a worker of its own, which is new"}}
	if s.waitedSinceCrash(now, index) >= ownWorkerWait {
		out = append(out, shelter{settled, "beside tasks that have gone on for a while"})
	}
	return out
}

// settled reports whether all that runs on a worker has gone on for a while, so that it isn't blamed for a crash.
func (w *worker) settled() bool {
	for _, r := range w.runs {
		if r.workedFor() < settledAfter {
			return false
		}
	}
	return true
}

// waitedSinceCrash returns how long ago this owner learned of a suspect's last crash, or of its job.
func (s *stepState) waitedSinceCrash(now unit.Instant, index int) time.Duration {
	return now.Sub(max(s.job.seen, s.failures[s.failureKey(index)].at))
}

// isolate keeps what is free beside a run that was just placed from all others.
func (d *Dispatcher) isolate(r *run, why string) {
	r.raiseShield()
	d.noteRun(EventTaskIsolated, r, why, 0)
}

// raiseShield keeps what is free on its worker free beside a run.
func (r *run) raiseShield() {
	free := r.worker.free()
	r.shield = job.Resources{CPU: max(0, free.CPU), Memory: max(0, free.Memory), Accelerators: max(0, free.Accelerators)}
	r.worker.used = r.worker.used.Add(r.shield)
}

// reshield keeps free beside suspects what a worker's room leaves that has changed.
func (w *worker) reshield() {
	for _, r := range w.runs {
		if r.shield != (job.Resources{}) {
			r.dropShield()
			r.raiseShield()
		}
	}
}

// dropShield gives back what is kept free beside a run.
func (r *run) dropShield() {
	r.worker.used = r.worker.used.Sub(r.shield)
	r.shield = job.Resources{}
}

// shielded reports whether room is kept free beside some run of the worker.
func (w *worker) shielded() bool {
	for _, r := range w.runs {
		if r.shield != (job.Resources{}) {
			return true
		}
	}
	return false
}
