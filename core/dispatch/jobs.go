package dispatch

import (
	"cmp"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/speed"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// forgetBatch bounds how many ended jobs are dropped in one batch; each
	// takes three records.
	forgetBatch = 20
	// expireEvery is the interval between checks for ended jobs to drop. With
	// forgetBatch, 40 jobs a second can be dropped.
	expireEvery = 500 * time.Millisecond
)

// AddJob adds a job with what the store has of it. The entry must have a spec.
func (d *Dispatcher) AddJob(now unit.Instant, name id.Job, e *jobtable.Entry) {
	if d.jobs[name] != nil {
		return
	}
	js := newJobState(now, name, e)
	d.jobs[name] = js
	matches := js.progressMatchesSpec()
	if !matches {
		js.dropTasks()
	}
	d.resume(now, js)
	if js.progress.Outcome != job.Open {
		d.ended = append(d.ended, js)
		d.resumeEnded(now, js)
		return
	}
	d.insertOpen(js)
	if !matches {
		// It is unknown which tasks of the job are done, and no task may be
		// done twice, so the job fails.
		d.finish(now, js, job.Failed, "its spec and its progress have different tasks")
		return
	}
	if js.spec.Priority == 0 && len(js.progress.Tasks) == 0 {
		d.noteArrival(now, js.spec)
	}
	if js.summary == summaryNone && js.begun {
		d.begun = append(d.begun, js)
	}
	if e.Cancelled {
		d.CancelJob(now, name)
	}
}

// newJobState returns a job with all its steps, without runs.
func newJobState(now unit.Instant, name id.Job, e *jobtable.Entry) *jobState {
	p := e.ResumeProgress()
	p.Tasks, p.Crashes = slices.Clone(p.Tasks), slices.Clone(p.Crashes)
	js := &jobState{id: name, spec: e.Spec, progress: p, knownSince: now, summary: summaryOf(e), hasProgress: len(p.Tasks) > 0}
	base := 0
	for r := range e.Spec.RoundCount() {
		for i := range e.Spec.Steps {
			step := &e.Spec.Steps[i]
			js.steps = append(js.steps, &stepState{job: js, round: r, index: i, step: step, base: base, runs: map[int]*run{}})
			base += step.Count
		}
	}
	js.open = len(js.steps)
	js.begun = js.summary != summaryNone || js.begunBefore()
	return js
}

// progressMatchesSpec reports whether a job's progress has as many tasks as its
// spec. They differ if another writer has replaced the spec and this host,
// which began to read later, has read only the replacement.
func (js *jobState) progressMatchesSpec() bool {
	n := len(js.progress.Tasks)
	return n == 0 || n == js.spec.RoundCount()*js.spec.TasksPerRound()
}

// resumeEnded continues a job that ended under an earlier owner: it stops what
// still runs of it, and writes the records to the store that the earlier owner
// had not written.
func (d *Dispatcher) resumeEnded(now unit.Instant, js *jobState) {
	d.stopAll(now, js, "job ended")
	if !js.hasRuns() {
		js.dropTasks()
	}
	if js.hasProgress || js.summary != summaryEnded {
		d.markChanged(js)
	}
}

// summaryOf returns the phase of the job's summary in the store.
func summaryOf(e *jobtable.Entry) summaryPhase {
	switch {
	case e.Ended():
		return summaryEnded
	case e.Summary != nil:
		return summaryBegun
	}
	return summaryNone
}

// insertOpen adds a job to the open ones, which are sorted by id.
func (d *Dispatcher) insertOpen(js *jobState) {
	pos, _ := slices.BinarySearchFunc(d.open, js, compareJobs)
	d.open = slices.Insert(d.open, pos, js)
}

// removeOpen moves a job that has its outcome from the open jobs to the ended
// ones.
func (d *Dispatcher) removeOpen(js *jobState) {
	if pos, ok := slices.BinarySearchFunc(d.open, js, compareJobs); ok {
		d.open = slices.Delete(d.open, pos, pos+1)
	}
	d.ended = append(d.ended, js)
}

// compareJobs orders jobs by id.
func compareJobs(a, b *jobState) int { return cmp.Compare(a.id, b.id) }

// dropTasks drops the state of the tasks of a job that has ended.
func (js *jobState) dropTasks() {
	js.progress.Tasks, js.progress.Crashes = nil, nil
	for _, s := range js.steps {
		s.baseline = speed.Baseline{}
	}
}

// resume takes over the tasks of a job from its progress in the store, with the
// runs that an earlier owner has placed. A waiting task of a gang that still
// names a worker has a last run that was already counted as a failure; see
// rememberFailedWorker.
func (d *Dispatcher) resume(now unit.Instant, js *jobState) {
	if len(js.progress.Tasks) == 0 {
		return
	}
	for _, s := range js.steps {
		for i := range s.step.Count {
			t := &js.progress.Tasks[s.base+i]
			switch t.Phase {
			case job.Done:
				s.done++
			case job.Placed:
				d.resumeRun(now, s, i, t)
			case job.Waiting:
				if t.Worker != "" && s.step.Gang {
					s.failedRun = max(s.failedRun, t.Run)
				}
			}
		}
		if s.done == s.step.Count {
			s.doneCounted = true
			js.open--
		}
	}
}

// resumeRun takes over a run that an earlier owner has placed. It is unknown
// whether its order to start was sent, and by how much a best-effort run was
// slowed down.
func (d *Dispatcher) resumeRun(now unit.Instant, s *stepState, index int, t *job.TaskState) {
	w := d.worker(now, t.Worker)
	// The earlier owner may still grant leases, since it may not know of this
	// owner yet.
	w.formerLeaseExpiry = max(w.formerLeaseExpiry, d.maxLeaseExpiry(now.Add(soleOwnerValidity)))
	r := &run{
		task: s.task(index), number: t.Run, state: runStarting, worker: w, need: s.step.Reserved(), step: s,
		knownSince: now, startSentAt: now, fromEarlierOwner: true,
	}
	if fleet.HasStart(w.ID) && !t.StartConfirmed {
		r.markStartOpen(now.Add(soleOwnerValidity + maxStartLatency))
	}
	if r.bestEffort() {
		r.slowdownPercent = fullSpeed - minSpeed
	}
	d.occupy(r)
}

// forgettable reports whether an ended job has no runs left, and the store has
// its outcome and no progress of it.
func (js *jobState) forgettable() bool {
	return !js.hasRuns() && !js.changed && !js.hasProgress && js.summary == summaryEnded
}

// expire drops jobs that ended longer ago than Config.EndedRetention. The time of
// the end may be by another host's clock: callers would be told too early that there
// is no such job. So an owner keeps a job for that long itself, up to twice the time
// in all.
func (d *Dispatcher) expire(now unit.Instant) {
	if now.Sub(d.lastExpiryAt) < expireEvery {
		return
	}
	d.lastExpiryAt = now
	d.expireWithheld(now)
	kept := d.ended[:0]
	for _, js := range d.ended {
		if !js.forgettable() || len(d.forget) >= forgetBatch || now.Sub(js.keptSince(d.config.EndedRetention)) <= d.config.EndedRetention {
			kept = append(kept, js)
			continue
		}
		d.forget = append(d.forget, js.id)
		delete(d.jobs, js.id)
	}
	clear(d.ended[len(kept):])
	d.ended = kept
}

// keptSince returns from when on an ended job is kept for the retention.
func (js *jobState) keptSince(retention time.Duration) unit.Instant {
	return max(js.progress.Ended, min(js.knownSince, js.progress.Ended.Add(retention)))
}
