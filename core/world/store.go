package world

import (
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

// store is the platform's metadata store. It serializes appends.
type store struct {
	world *World
	// freeAt is when the store can begin the next append. upAt is when the
	// store is available again.
	freeAt, upAt unit.Instant
	// slowdown is the factor by which an append takes longer than usual.
	slowdown float64
	// slowUntil is until when the store may be slow.
	slowUntil unit.Instant
	// fences holds the highest epoch that each log has seen.
	fences [logs]id.Epoch
}

// logName names a log of the store.
type logName int

// The logs: the one that every host follows, and the progress log.
const (
	jobsLog logName = iota
	progressLog
	logs
)

// append appends records to a log of the store and calls done when the append
// has ended. If the log has seen a higher epoch, the append is refused and done
// is called with false. Epoch 0 stands for records of clients' calls, which are
// never refused. An append to an unavailable store takes effect once the store
// is available, as if it had been retried.
func (s *store) append(l logName, e id.Epoch, recs []jobtable.Record, done func(bool)) {
	w := s.world
	t := w.setup.Times
	begin := max(w.now, s.freeAt, s.upAt)
	s.freeAt = begin.Add(scale(t.AppendGap, s.slowdown))
	w.agenda.Add(begin.Add(scale(t.Append, s.slowdown)), func() {
		if e != 0 && e < s.fences[l] {
			done(false)
			return
		}
		s.fences[l] = max(s.fences[l], e)
		for _, r := range recs {
			w.apply(l, r)
		}
		done(true)
	})
}

// apply applies one record. If the record ends a job, apply also records the
// job's outcome.
func (w *World) apply(l logName, r jobtable.Record) {
	if l == progressLog {
		if err := w.table.ApplyProgress(r); err != nil {
			w.recordViolation("the progress log has an invalid record: " + err.Error())
		}
		w.callers.storedProgress(r)
		return
	}
	w.callers.stored(r)
	name, err := w.table.Apply(r)
	if err != nil {
		w.recordViolation("the jobs log has an invalid record: " + err.Error())
		return
	}
	e, s := w.table.Get(name), w.jobs[name]
	if e == nil || s == nil || s.state != Open {
		return
	}
	if e.Summary == nil {
		return
	}
	switch e.Summary.Outcome {
	case job.Completed:
		w.recordOutcome(s, Completed)
	case job.Failed:
		w.recordOutcome(s, Failed)
	case job.Cancelled:
		w.recordOutcome(s, Cancelled)
	case job.Open:
	}
}
