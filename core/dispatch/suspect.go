package dispatch

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// A task under which a worker has crashed may be the cause, or may only have
// run beside the cause. To tell the two cases apart, it is restarted on a
// worker where no other task has recently started. Tasks that have run there
// for a while aren't blamed if the worker crashes again.

const (
	// isolateAfterCrashes is the number of crashes from which no other task
	// starts on a task's worker for as long as the task runs. Such a task seems
	// to crash workers after some time of work, and it has only two starts
	// left.
	isolateAfterCrashes = 3
	// emptyWorkerWait is how long a suspect waits for an empty worker before it
	// is placed beside others.
	emptyWorkerWait = time.Second
	// isolationMaxWait is how long a suspect waits for a worker whose other
	// runs have all worked for a while; after that it is placed like any other
	// task, unless one more crash would fail its job. There may be no such
	// worker in a service where every worker starts a task each second.
	isolationMaxWait = 5 * time.Second
	// isolationRenewWait is how long a renewal may wait at a worker where room
	// is kept free beside a suspect; the answer shows that the worker has not
	// crashed. The cost is a renewal every 100 ms for some 400 ms.
	isolationRenewWait = 100 * time.Millisecond
	// steadyWorkerAge is how long a worker must be known to be preferred for
	// suspects. A worker that has just crashed by its own fault may crash
	// again, and has the most room.
	steadyWorkerAge = 10 * time.Second
)

// suspect reports whether a task is to be started apart from other tasks
// because workers crashed under it.
func (d *Dispatcher) suspect(s *stepState, index int) bool {
	return d.policy.IsolateSuspects && s.anyCrashCount(index, func(c job.CrashCount) bool { return lastCrashEarly(c) || needsOwnWorker(c) })
}

// placeSuspects places the suspects among a candidate's waiting tasks, and
// removes from the candidate those that must not be placed like other tasks. It
// reports whether all of these were placed.
func (d *Dispatcher) placeSuspects(now unit.Instant, c *candidate, fits []*worker) bool {
	if len(c.step.job.progress.Crashes) == 0 {
		return true
	}
	s, all := c.step, true
	var others []int
	for _, i := range c.waiting {
		switch {
		case !d.suspect(s, i) || s.waitedSinceCrash(now, i) >= isolationMaxWait && !oneCrashLeft(*s.crashCount(i)):
			others = append(others, i)
		case !d.placeSuspect(now, s, i, fits):
			all = false
		}
	}
	c.waiting = others
	return all
}

// placeSuspect places a suspect if there is a suitable worker, and reports
// whether it did.
func (d *Dispatcher) placeSuspect(now unit.Instant, s *stepState, index int, fits []*worker) bool {
	for _, tier := range s.isolationTiers(now, index, fits) {
		if w := d.choose(now, s, tier.workers, true, 0); w != nil {
			r := d.place(s, index, w, s.nextRun(index))
			d.isolate(r, tier.why)
			return true
		}
	}
	return false
}

// placeSuspectGang is placeSuspect for a gang, whose members may share workers.
func (d *Dispatcher) placeSuspectGang(now unit.Instant, c candidate, fits []*worker) bool {
	for _, tier := range c.step.isolationTiers(now, 0, fits) {
		chosen := d.chooseGang(now, c, tier.workers, d.freeRoom)
		if chosen.workers == nil {
			continue
		}
		d.placeOnWorkers(c, chosen.workers)
		for _, i := range c.waiting {
			d.isolate(c.step.runs[i], tier.why)
		}
		return true
	}
	return false
}

// isolatesGang reports whether a candidate is a gang that is to be started
// apart from other tasks.
func (d *Dispatcher) isolatesGang(now unit.Instant, c *candidate) bool {
	return c.step.step.Gang && d.suspect(c.step, 0) && c.step.waitedSinceCrash(now, 0) < isolationMaxWait
}

// isolationTier is a set of workers where a suspect may start, and the reason
// to choose it.
type isolationTier struct {
	workers []*worker
	why     string
}

// isolationTiers returns the sets of workers where a suspect may start, in
// order of preference.
func (s *stepState) isolationTiers(now unit.Instant, index int, fits []*worker) []isolationTier {
	var steady, empty, settled []*worker
	for _, w := range fits {
		switch {
		case w.empty() && now.Sub(w.knownSince) >= steadyWorkerAge:
			steady = append(steady, w)
		case w.empty():
			empty = append(empty, w)
		case w.runsSettled():
			settled = append(settled, w)
		}
	}
	out := []isolationTier{{steady, "an empty worker"}, {empty, "an empty worker, known only recently"}}
	if s.waitedSinceCrash(now, index) >= emptyWorkerWait {
		out = append(out, isolationTier{settled, "beside tasks that have run for a while"})
	}
	return out
}

// runsSettled reports whether all runs on a worker have worked for a while, so
// that they aren't blamed for a crash.
func (w *worker) runsSettled() bool {
	for _, r := range w.runs {
		if r.confirmedRuntime() < earlyCrashTime {
			return false
		}
	}
	return true
}

// waitedSinceCrash returns how long ago this owner learned of a suspect's last
// crash, or of its job if that was later.
func (s *stepState) waitedSinceCrash(now unit.Instant, index int) time.Duration {
	return now.Sub(max(s.job.knownSince, s.lastFailures[s.failureKey(index)].at))
}

// isolate reserves the free room of a worker beside a run that was just placed
// there, so that no other task is placed there.
func (d *Dispatcher) isolate(r *run, why string) {
	r.isolated = true
	r.setIsolationReserve()
	d.noteRun(EventTaskIsolated, r, why, 0)
}

// setIsolationReserve reserves all room that is free on a run's worker, and
// records it in the run. It replaces an earlier reserve of the run.
func (r *run) setIsolationReserve() {
	r.worker.used = r.worker.used.Sub(r.isolationReserve)
	free := r.worker.free()
	r.isolationReserve = job.Resources{CPU: max(0, free.CPU), Memory: max(0, free.Memory), Accelerators: max(0, free.Accelerators)}
	r.worker.used = r.worker.used.Add(r.isolationReserve)
}

// updateIsolationReserves adjusts the room reserved beside isolated runs on a
// worker whose capacity has changed, or where another run has ended.
func (w *worker) updateIsolationReserves() {
	for _, r := range w.runs {
		if r.isolated {
			r.setIsolationReserve()
		}
	}
}

// dropIsolationReserve ends the isolation of a run and releases the room that is
// reserved beside it.
func (r *run) dropIsolationReserve() {
	r.worker.used = r.worker.used.Sub(r.isolationReserve)
	r.isolated, r.isolationReserve = false, job.Resources{}
}

// hasIsolatedRun reports whether some run of the worker is isolated.
func (w *worker) hasIsolatedRun() bool {
	return slices.ContainsFunc(w.runs, func(r *run) bool { return r.isolated })
}
