package world

import (
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

// store is the platform's metadata store. It takes the appends in turn.
type store struct {
	world *World
	// free is when it can take the next append, up when it is there again.
	freeAt, upAt unit.Instant
	// slow times the usual time is how long an append takes.
	slowdown float64
	// fences are the highest epochs that its logs have seen.
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

// append puts records into a log of the store and calls done, with false if the epoch is below one that
// the log has seen. Epoch 0 is for records of clients' calls. An append that meets a store
// that is away is repeated until it is taken.
func (s *store) append(l logName, e id.Epoch, recs []jobtable.Record, done func(bool)) {
	w := s.world
	t := w.setup.Times
	begin := max(w.now, s.freeAt, s.upAt)
	s.freeAt = begin.Add(scale(t.AppendGap, s.slowdown))
	w.agenda.Plan(begin.Add(scale(t.Append, s.slowdown)), func() {
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

// apply takes one record in and notes the end of a job.
func (w *World) apply(l logName, r jobtable.Record) {
	if l == progressLog {
		if err := w.table.ApplyProgress(r); err != nil {
			w.recordViolation("the progress log has a record that isn't one: " + err.Error())
		}
		return
	}
	name, err := w.table.Apply(r)
	if err != nil {
		w.recordViolation("the store refused a record: " + err.Error())
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
