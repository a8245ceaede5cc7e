package dispatch

import (
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
)

// acceleratorWeight is the weight of accelerators in leftover; processors and
// memory have the weight 1. Accelerators are the scarce resource.
const acceleratorWeight = 2

// occupy makes a run take capacity of its worker. An older run of the same task
// on that worker, which may still be waiting for an answer, is released: a
// worker has at most one run of a task.
func (d *Dispatcher) occupy(r *run) {
	if old := r.worker.runs.get(r.task); old != nil {
		d.release(old)
	}
	d.placedRuns++
	r.worker.updateCounts(func() { r.worker.runs.put(r) })
	r.worker.used = r.worker.used.Add(r.taken())
	if r.step != nil {
		r.step.runs[r.task.Index] = r
	}
}

// release frees the capacity of a run that is gone.
func (d *Dispatcher) release(r *run) {
	if r.worker.runs.get(r.task) != r {
		return
	}
	d.placedRuns--
	// Its start order may still be in flight.
	r.worker.grantedLeaseExpiry = max(r.worker.grantedLeaseExpiry, r.startLeaseExpiry)
	r.worker.updateCounts(func() { r.worker.runs.remove(r.task) })
	r.worker.used = r.worker.used.Sub(r.taken())
	r.worker.updateIsolationReserves()
	if r.step == nil {
		return
	}
	if r.step.runs[r.task.Index] == r {
		delete(r.step.runs, r.task.Index)
	}
	js := r.step.job
	if js.progress.Outcome != job.Open && !js.hasRuns() {
		js.dropTasks()
		d.markChanged(js)
	}
}

// taken returns the capacity that a run takes of its worker, including what is
// kept free beside it.
func (r *run) taken() job.Resources { return r.need.Add(r.isolationReserve) }

// usage returns the fraction of a service's capacity in use: the smallest and the
// greatest of the fractions of the resources. Listed workers that accept no new tasks
// count.
func (d *Dispatcher) usage(name id.Service) (least, scarcest float64) {
	var used, all job.Resources
	for _, w := range d.workersByID {
		if w.Service == name && w.listed {
			used, all = used.Add(w.used), all.Add(w.Capacity)
		}
	}
	cpu, memory := fraction(float64(used.CPU), float64(all.CPU)), fraction(float64(used.Memory), float64(all.Memory))
	accelerators := fraction(float64(used.Accelerators), float64(all.Accelerators))
	return min(cpu, memory, accelerators), max(cpu, memory, accelerators)
}

// roomFor reports whether n tasks of a step fit into the free capacity.
func (s *stepState) roomFor(workers []*worker, n int) bool {
	need := s.step.Reserved()
	for _, w := range workers {
		for free := w.free(); n > 0 && need.Fits(free); n-- {
			free = free.Sub(need)
		}
	}
	return n <= 0
}

// full reports whether a worker has as many tasks of the step as it may,
// counting those that are about to be placed there.
func (s *stepState) full(w *worker, more int) bool {
	if s.step.MaxPerWorker == 0 {
		return false
	}
	n := more
	for _, r := range s.runs {
		if r.worker == w {
			n++
		}
	}
	return n >= s.step.MaxPerWorker
}

// leftover measures how much of a worker stays free, as the weighted sum of the
// fractions of each resource. Choosing the least leftover keeps whole workers
// free for large tasks.
func leftover(free, capacity job.Resources) float64 {
	return fraction(float64(free.CPU), float64(capacity.CPU)) +
		fraction(float64(free.Memory), float64(capacity.Memory)) +
		acceleratorWeight*fraction(float64(free.Accelerators), float64(capacity.Accelerators))
}

// fraction returns amount / whole, or 0 if whole is 0.
func fraction(amount, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return amount / whole
}

// maxTasksIn returns how many tasks of the step fit into this much room of one
// worker.
func (s *stepState) maxTasksIn(room job.Resources) int {
	need, n := s.step.Reserved(), 0
	for need.Fits(room) && n < s.step.Count && (s.step.MaxPerWorker == 0 || n < s.step.MaxPerWorker) {
		room = room.Sub(need)
		n++
	}
	return n
}

// fitsIfEmpty reports whether the workers, if they were empty, could hold n
// tasks.
func (s *stepState) fitsIfEmpty(workers []*worker, n int) bool {
	for _, w := range workers {
		n -= s.maxTasksIn(w.Capacity)
	}
	return n <= 0
}

// overcommitted reports whether the runs on a worker take more than its
// capacity, because the capacity has shrunk since they were placed. The
// capacity of a worker that isn't listed is unknown.
func (w *worker) overcommitted() bool { return w.listed && !w.used.Fits(w.Capacity) }

// free returns the capacity that neither runs nor reservations take. It is
// negative if a newly discovered run, or a smaller capacity in the list, leaves
// less than is taken.
func (w *worker) free() job.Resources { return w.Capacity.Sub(w.used).Sub(w.reserved) }
