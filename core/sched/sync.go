package sched

import (
	"slices"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/gang"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/core/worker"
)

// wake makes the workers of a gang due for a sync at once.
func (s *Scheduler) wake(r *run) {
	for _, m := range r.Members {
		if h := s.workers[m.Worker]; h != nil {
			h.due = 0
		}
	}
}

// sync sends each worker that is due the list of what it should hold.
func (s *Scheduler) sync(now unit.Instant) {
	var due []id.Worker
	for w, h := range s.workers {
		if now >= h.due {
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
	h.due = now.Add(idleSync)
	q := worker.Sync{Worker: w, Epoch: s.epoch, Seq: h.seq, Life: h.life}
	for _, name := range config.Sorted(s.tasks[w]) {
		r := s.tasks[w][name]
		h.due = now.Add(gang.Renewal)
		if t, ok := r.Want(now, w); ok {
			q.Tasks = append(q.Tasks, t)
			continue
		}
		r.drop(w, h.seq)
	}
	s.out.Syncs = append(s.out.Syncs, h.shorten(q))
}

// shorten refers to the last whole list if it is the same and the worker has reported
// on it, and remembers the list otherwise.
func (h *health) shorten(q worker.Sync) worker.Sync {
	if h.base != 0 && len(q.Tasks) > 0 && slices.EqualFunc(q.Tasks, h.full, sameButLease) && oneLease(q.Tasks) {
		q.Base, q.Until, q.Tasks = h.base, q.Tasks[0].Until, nil
		return q
	}
	h.full, h.fullSeq, h.base = q.Tasks, q.Seq, 0
	return q
}

func sameButLease(a, b worker.Want) bool {
	a.Until, b.Until = 0, 0
	return a == b
}

// oneLease reports whether all leases are extended to the same time.
func oneLease(tasks []worker.Want) bool {
	return !slices.ContainsFunc(tasks, func(t worker.Want) bool { return t.Until != tasks[0].Until })
}

// drop notes that sync seq to worker w doesn't list the gang any more.
func (r *run) drop(w id.Worker, seq id.Seq) {
	if r.dropped == nil {
		r.dropped = map[id.Worker]id.Seq{}
	}
	if _, ok := r.dropped[w]; !ok {
		r.dropped[w] = seq
	}
}
