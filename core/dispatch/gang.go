package dispatch

import (
	"slices"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// placeGang places all members of a gang, or none. If there is no room for all,
// it tries to free or reserve room.
func (d *Dispatcher) placeGang(now unit.Instant, c candidate, fits []*worker) bool {
	chosen := d.chooseGang(now, c, fits, d.freeRoom)
	if chosen.workers == nil {
		d.preempt(now, c, fits)
		return false
	}
	d.placeOnWorkers(c, chosen.workers)
	return true
}

// placeOnWorkers places as many of the waiting tasks as there are workers, one
// on each entry of workers. The members of a gang share a run number.
func (d *Dispatcher) placeOnWorkers(c candidate, workers []*worker) {
	s := c.step
	number := s.nextRun(0)
	for k, w := range workers {
		i := c.waiting[k]
		if !s.step.Gang {
			number = s.nextRun(i)
		}
		d.place(s, i, w, number)
	}
	if len(workers) == len(c.waiting) {
		s.waitingSince = 0
	}
}

// assignment is a choice of workers for the members of a gang.
type assignment struct {
	// workers has one worker for each member; nil if there is no room.
	workers []*worker
	victims []*run
	// cost is the work that is lost by stopping the victims, in core-seconds.
	// leftover adds up, for each worker, the result of the function leftover
	// and the worker's penalty. Of several assignments with equal cost, the one
	// with the least leftover is chosen.
	cost, leftover float64
}

// better reports whether a is to be preferred to b.
func (a assignment) better(b assignment) bool {
	if b.workers == nil {
		return a.workers != nil
	}
	if a.workers == nil {
		return false
	}
	if a.cost != b.cost {
		return a.cost < b.cost
	}
	return a.leftover < b.leftover
}

// plannedStops are the runs that an assignment stops, together with their gangs.
type plannedStops map[*run]bool

// add adds runs and their gangs. It returns the workers of the runs that were
// not planned to be stopped before.
func (p plannedStops) add(victims []*run) []*worker {
	var affected []*worker
	for _, v := range victims {
		for _, r := range v.stoppedWith() {
			if !p[r] {
				p[r] = true
				affected = append(affected, r.worker)
			}
		}
	}
	return affected
}

// roomFunc returns how much of a worker's capacity a step can have, and which
// runs must be stopped for it at what cost, in addition to the planned stops.
type roomFunc func(now unit.Instant, c candidate, w *worker, need job.Resources, planned plannedStops) (free job.Resources, victims []*run, cost float64)

// freeRoom is a roomFunc that counts only the capacity that is free now.
func (d *Dispatcher) freeRoom(_ unit.Instant, _ candidate, w *worker, _ job.Resources, _ plannedStops) (job.Resources, []*run, float64) {
	return w.free(), nil, 0
}

// chooseGang finds room for all waiting members. If the step asks for one rack
// or for a place near its data, it tries only such racks at first. It tries all
// workers once mayRelax allows that, or if no such rack could hold the gang
// even when empty.
func (d *Dispatcher) chooseGang(now unit.Instant, c candidate, fits []*worker, roomOf roomFunc) assignment {
	s := c.step
	var best assignment
	if s.step.SameRack || s.step.DataRack != "" {
		for _, group := range racks(fits) {
			if !s.nearData(group[0]) {
				continue
			}
			if a := d.assign(now, c, group, roomOf); a.better(best) {
				best = a
			}
		}
		if best.workers != nil || c.fitsSomeRack() && !d.mayRelax(now, s, fits, len(c.waiting)) {
			return best
		}
	}
	return d.assign(now, c, fits, roomOf)
}

// fitsSomeRack reports whether some rack near the data could hold all members
// if it were empty. Workers that are currently reserved for others, or wait for
// a permit, count.
func (c *candidate) fitsSomeRack() bool {
	for _, group := range racks(c.eligible) {
		if c.step.nearData(group[0]) && c.step.fitsIfEmpty(group, len(c.waiting)) {
			return true
		}
	}
	return false
}

// racks groups workers by rack, ordered by rack name.
func racks(workers []*worker) [][]*worker {
	groups := map[id.Rack][]*worker{}
	var names []id.Rack
	for _, w := range workers {
		if groups[w.Rack] == nil {
			names = append(names, w.Rack)
		}
		groups[w.Rack] = append(groups[w.Rack], w)
	}
	slices.Sort(names)
	out := make([][]*worker, 0, len(names))
	for _, n := range names {
		out = append(out, groups[n])
	}
	return out
}

// workerShare is the part of an assignment that goes to one worker so far.
type workerShare struct {
	worker  *worker
	members int
	// victims are the runs, on this worker, that are stopped for these members;
	// cost is that of these stops. A run whose gang is stopped already for
	// another share isn't among them.
	victims  []*run
	cost     float64
	leftover float64
	// penalty is added to leftover: for using an empty worker, for a worker
	// whose last runs failed, and for interference between serving and
	// best-effort runs.
	penalty float64
}

// extension is the share that a worker would have with one more member. added
// are the runs that would have to be stopped for that member. ok is false if the
// worker has no room for another member.
type extension struct {
	workerShare workerShare
	added       []*run
	ok          bool
}

// assign chooses workers for the members one by one, each time the worker where
// one more member costs least. A choice changes what the next member would cost
// on the chosen worker, and on the workers of the gangs that it stops: their
// room becomes free without further cost. Only these extensions are computed
// again.
func (d *Dispatcher) assign(now unit.Instant, c candidate, workers []*worker, roomOf roomFunc) assignment {
	s := c.step
	need := s.step.Reserved()
	shares := make([]workerShare, len(workers))
	extensions := make([]extension, len(workers))
	planned := plannedStops{}
	for i, w := range workers {
		shares[i].worker, shares[i].penalty = w, d.emptyWorkerPenalty(w)+w.failureStreakPenalty()+s.interferencePenalty(w)
		extensions[i] = d.withOneMore(now, c, shares[i], need, roomOf, planned)
	}
	var out assignment
	for range c.waiting {
		best := cheapestExtension(shares, extensions)
		if best < 0 {
			return assignment{}
		}
		shares[best] = extensions[best].workerShare
		affected := append(planned.add(extensions[best].added), workers[best])
		for i, w := range workers {
			if slices.Contains(affected, w) {
				extensions[i] = d.withOneMore(now, c, shares[i], need, roomOf, planned)
			}
		}
		out.workers = append(out.workers, workers[best])
	}
	for _, share := range shares {
		out.victims = append(out.victims, share.victims...)
		out.cost += share.cost
		if share.members > 0 {
			out.leftover += share.leftover
		}
	}
	return out
}

// cheapestExtension returns the index of the extension that adds the least
// cost, and among those the one with the least leftover; -1 if there is none.
func cheapestExtension(shares []workerShare, extensions []extension) int {
	best := -1
	for i := range extensions {
		if !extensions[i].ok {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		adds, least := extensions[i].workerShare.cost-shares[i].cost, extensions[best].workerShare.cost-shares[best].cost
		if adds < least || adds == least && extensions[i].workerShare.leftover < extensions[best].workerShare.leftover {
			best = i
		}
	}
	return best
}

// withOneMore returns a worker's share with one more member, if there is room.
// A worker on probation takes only one run, and the step may limit its tasks on
// one worker.
func (d *Dispatcher) withOneMore(now unit.Instant, c candidate, share workerShare, need job.Resources, roomOf roomFunc, planned plannedStops) extension {
	if c.step.full(share.worker, share.members) || share.worker.onProbation() && len(share.worker.runs)+share.members > 0 {
		return extension{}
	}
	share.members++
	all := job.Resources{
		CPU: need.CPU * job.MilliCPU(share.members), Memory: need.Memory * unit.Bytes(share.members), Accelerators: need.Accelerators * share.members,
	}
	free, added, cost := roomOf(now, c, share.worker, all, planned)
	if !all.Fits(free) {
		return extension{}
	}
	share.victims, share.cost = slices.Concat(share.victims, added), share.cost+cost
	share.leftover = leftover(free.Sub(all), share.worker.Capacity) + share.penalty
	return extension{workerShare: share, added: added, ok: true}
}
