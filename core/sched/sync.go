package sched

import (
	"slices"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/gang"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/worker"
)

// requestSync makes the next sync due at once for each worker of a gang.
func (s *Scheduler) requestSync(r *run) {
	for _, m := range r.Members {
		if h := s.workers[m.Worker]; h != nil {
			h.nextSync = 0
		}
	}
}

// sync emits a sync with the list of wanted tasks for each worker that is due.
func (s *Scheduler) sync(now unit.Instant) {
	var due []id.Worker
	for w, h := range s.workers {
		if now >= h.nextSync {
			due = append(due, w)
		}
	}
	slices.Sort(due)
	for _, w := range due {
		s.syncWorker(now, w)
	}
}

func (s *Scheduler) syncWorker(now unit.Instant, w id.Worker) {
	h := s.workers[w]
	h.seq++
	h.nextSync = now.Add(idleSyncInterval)
	q := worker.Sync{Worker: w, Epoch: s.epoch, Seq: h.seq, Incarnation: h.incarnation}
	for _, jobID := range config.SortedKeys(s.runsOn[w]) {
		r := s.runsOn[w][jobID]
		h.nextSync = now.Add(gang.Renewal)
		if t, ok := r.Want(now, w); ok {
			q.Tasks = append(q.Tasks, t)
			continue
		}
		r.noteOmitted(w, h.seq)
	}
	s.decisions.Syncs = append(s.decisions.Syncs, h.shorten(q))
}

// shorten replaces the task list by a reference to the last complete list if the
// tasks are the same and the worker has answered that list. Otherwise it stores the
// list as the last complete one.
func (h *health) shorten(q worker.Sync) worker.Sync {
	if h.base != 0 && len(q.Tasks) > 0 && slices.EqualFunc(q.Tasks, h.lastList, equalExceptUntil) && sameUntil(q.Tasks) {
		q.Base, q.Until, q.Tasks = h.base, q.Tasks[0].Until, nil
		return q
	}
	h.lastList, h.lastListSeq, h.base = q.Tasks, q.Seq, 0
	return q
}

func equalExceptUntil(a, b worker.WantedTask) bool {
	a.Until, b.Until = 0, 0
	return a == b
}

// sameUntil reports whether all leases are extended to the same time.
func sameUntil(tasks []worker.WantedTask) bool {
	return !slices.ContainsFunc(tasks, func(t worker.WantedTask) bool { return t.Until != tasks[0].Until })
}

// noteOmitted records that sync seq to worker w no longer lists the gang.
func (r *run) noteOmitted(w id.Worker, seq id.Seq) {
	if r.omittedSeq == nil {
		r.omittedSeq = map[id.Worker]id.Seq{}
	}
	if _, ok := r.omittedSeq[w]; !ok {
		r.omittedSeq[w] = seq
	}
}
