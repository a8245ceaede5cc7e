package dispatch

import (
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// placeAll places what may start, most urgent first.
func (d *Dispatcher) placeAll(now unit.Instant) {
	usable := d.usableWorkers(now)
	if len(usable) == 0 {
		return
	}
	kept := d.reserves(now, usable)
	d.claims = d.waitingClaims()
	for _, c := range d.candidates(now) {
		fits := c.step.among(usable)
		if d.useClaim(now, c, fits) {
			continue
		}
		if !d.tryPlace(now, c, fits, kept) && c.step.waitingSince == 0 {
			c.step.waitingSince = now
		}
	}
}

// waitingClaims counts the steps of work that isn't urgent for which room is kept.
func (d *Dispatcher) waitingClaims() int {
	n := 0
	for _, js := range d.jobs {
		for _, s := range js.steps {
			if s.claim != nil && js.spec.Priority > 0 {
				n++
			}
		}
	}
	return n
}

func (d *Dispatcher) usableWorkers(now unit.Instant) []*worker {
	var out []*worker
	for _, w := range d.order {
		if w.usable(now) {
			out = append(out, w)
		}
	}
	return out
}

// tryPlace places as many of the candidate's tasks as find room, a gang whole or not
// at all. It reports whether all were placed.
func (d *Dispatcher) tryPlace(now unit.Instant, c candidate, fits []*worker, kept reserve) bool {
	s := c.step
	before := emptyAmong(fits)
	defer func() { kept[s.job.spec.Service] -= before - emptyAmong(fits) }()
	if s.step.Gang {
		return d.placeGang(now, c, d.allowed(now, c, fits, kept))
	}
	for at, i := range c.waiting {
		kept[s.job.spec.Service] -= before - emptyAmong(fits)
		before = emptyAmong(fits)
		w := d.choose(now, s, d.allowed(now, c, fits, kept))
		if w == nil {
			rest := c
			rest.waiting = c.waiting[at:]
			d.preempt(now, rest, fits)
			return false
		}
		d.place(s, i, w, s.nextRun(i))
	}
	s.waitingSince = 0
	return true
}

// among returns the workers that may run tasks of the step.
func (s *stepState) among(workers []*worker) []*worker {
	var out []*worker
	for _, w := range workers {
		if s.suits(w) {
			out = append(out, w)
		}
	}
	return out
}

func emptyAmong(workers []*worker) int {
	n := 0
	for _, w := range workers {
		if w.empty() {
			n++
		}
	}
	return n
}

// nextRun returns the number of a task's next run. A gang's members share it.
func (s *stepState) nextRun(index int) job.Run {
	tasks := s.job.progress.Tasks
	if len(tasks) == 0 {
		return 1
	}
	if !s.step.Gang {
		return tasks[s.base+index].Run + 1
	}
	last := job.Run(0)
	for i := range s.step.Count {
		last = max(last, tasks[s.base+i].Run)
	}
	return last + 1
}

// choose returns the best worker for one task: near its data if there is room or if
// it hasn't waited long, and among those where least is left over.
func (d *Dispatcher) choose(now unit.Instant, s *stepState, fits []*worker) *worker {
	var best, far *worker
	bestLeft, farLeft := 0.0, 0.0
	for _, w := range fits {
		if !s.step.Reserved().Fits(w.free()) || s.full(w, 0) {
			continue
		}
		left := leftover(w.free().Sub(s.step.Reserved()), w.Capacity)
		if s.near(w) {
			if best == nil || left < bestLeft {
				best, bestLeft = w, left
			}
		} else if far == nil || left < farLeft {
			far, farLeft = w, left
		}
	}
	if best == nil && far != nil && !d.mayGoFar(now, s, fits, 1) {
		return nil
	}
	if best == nil {
		return far
	}
	return best
}

// waitedFor reports whether the step's tasks have waited for that long.
func (s *stepState) waitedFor(now unit.Instant, t time.Duration) bool {
	return s.waitingSince != 0 && now.Sub(s.waitingSince) >= t
}

// mayGoFar reports whether n tasks of a step may be placed where they are slow, or on
// workers that are kept for urgent work. That costs far_factor times the room, so it is
// for urgent work, and for times in which there is more than enough room.
func (d *Dispatcher) mayGoFar(now unit.Instant, s *stepState, fits []*worker, n int) bool {
	if s.job.spec.Priority == 0 {
		return s.waitedFor(now, nearWait)
	}
	return s.waitedFor(now, roomyWait) && d.usage(s.job.spec.Service) < farUsage && s.roomFor(fits, 2*n)
}

// usage returns how much of a service's capacity is taken: of the resource of which
// most is free.
func (d *Dispatcher) usage(name id.Service) float64 {
	var used, all job.Resources
	for _, w := range d.order {
		if w.Service == name && w.listed {
			used, all = used.Add(w.used), all.Add(w.Capacity)
		}
	}
	return min(part(float64(used.CPU), float64(all.CPU)), part(float64(used.Memory), float64(all.Memory)),
		part(float64(used.Accelerators), float64(all.Accelerators)))
}

// roomFor reports whether n tasks of a step fit into what is free.
func (s *stepState) roomFor(workers []*worker, n int) bool {
	need := s.step.Reserved()
	for _, w := range workers {
		for free := w.free(); n > 0 && need.Fits(free); n-- {
			free = free.Sub(need)
		}
	}
	return n <= 0
}

// full reports whether a worker holds as many tasks of the step as it may, with more
// of them about to be placed there.
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

// leftover is how much of a worker stays free, as the sum of the parts of each
// resource. The least leftover keeps whole workers free for large tasks.
func leftover(free, capacity job.Resources) float64 {
	return part(float64(free.CPU), float64(capacity.CPU)) +
		part(float64(free.Memory), float64(capacity.Memory)) +
		acceleratorWeight*part(float64(free.Accelerators), float64(capacity.Accelerators))
}

func part(of, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return of / whole
}

// placeGang places all members or none.
func (d *Dispatcher) placeGang(now unit.Instant, c candidate, fits []*worker) bool {
	chosen := d.chooseGang(now, c, fits, d.plainRoom)
	if chosen.workers == nil {
		d.preempt(now, c, fits)
		return false
	}
	d.startGang(c, chosen.workers)
	return true
}

func (d *Dispatcher) startGang(c candidate, workers []*worker) {
	s := c.step
	number := s.nextRun(0)
	for at, i := range c.waiting {
		d.place(s, i, workers[at], number)
	}
	s.waitingSince = 0
}

// assignment is room for the members of a gang.
type assignment struct {
	// workers has one worker for each member; nil if there is no room.
	workers []*worker
	victims []*run
	// cost is the work that stopping the victims throws away, in core-seconds;
	// among equal ones the least leftover wins.
	cost, left float64
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
	return a.left < b.left
}

// room says how much of a worker a unit can have, and by stopping which runs.
type room func(now unit.Instant, c candidate, w *worker, need job.Resources) (free job.Resources, victims []*run, cost float64)

// plainRoom is what is free.
func (d *Dispatcher) plainRoom(_ unit.Instant, _ candidate, w *worker, _ job.Resources) (job.Resources, []*run, float64) {
	return w.free(), nil, 0
}

// chooseGang finds room for all waiting members: in one rack and near the data if
// that is asked for and possible, elsewhere only after some waiting.
func (d *Dispatcher) chooseGang(now unit.Instant, c candidate, fits []*worker, by room) assignment {
	s := c.step
	var best assignment
	if s.step.SameRack || s.step.DataRack != "" {
		reachable := false
		for _, group := range racks(fits) {
			near := s.near(group[0])
			if near && s.holds(group, len(c.waiting)) {
				reachable = true
				if a := d.assign(now, c, group, by); a.better(best) {
					best = a
				}
			}
		}
		if best.workers != nil || reachable && !d.mayGoFar(now, s, fits, len(c.waiting)) {
			return best
		}
	}
	return d.assign(now, c, fits, by)
}

// holds reports whether the workers, if they were empty, could hold n tasks.
func (s *stepState) holds(workers []*worker, n int) bool {
	need := s.step.Reserved()
	for _, w := range workers {
		room, here := w.Capacity, 0
		for need.Fits(room) && n > 0 && (s.step.MaxPerWorker == 0 || here < s.step.MaxPerWorker) {
			room = room.Sub(need)
			here++
			n--
		}
	}
	return n <= 0
}

// racks groups workers by rack, in order.
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

// tally is how an assignment has filled one worker so far.
type tally struct {
	worker  *worker
	members int
	victims []*run
	cost    float64
	left    float64
}

// assign puts the members on workers one by one, each where it costs least.
func (d *Dispatcher) assign(now unit.Instant, c candidate, workers []*worker, by room) assignment {
	s := c.step
	need := s.step.Reserved()
	tallies := make([]tally, len(workers))
	for i, w := range workers {
		tallies[i].worker = w
	}
	var out assignment
	for range c.waiting {
		best, bestTally := -1, tally{}
		for i := range tallies {
			t, ok := d.oneMore(now, c, tallies[i], need, by)
			if !ok {
				continue
			}
			if best < 0 || t.cost-tallies[i].cost < bestTally.cost-tallies[best].cost ||
				t.cost-tallies[i].cost == bestTally.cost-tallies[best].cost && t.left < bestTally.left {
				best, bestTally = i, t
			}
		}
		if best < 0 {
			return assignment{}
		}
		tallies[best] = bestTally
		out.workers = append(out.workers, workers[best])
	}
	for _, t := range tallies {
		out.victims = append(out.victims, t.victims...)
		out.cost += t.cost
		if t.members > 0 {
			out.left += t.left
		}
	}
	return out
}

// oneMore returns the tally with one more member, or false if there is no room.
func (d *Dispatcher) oneMore(now unit.Instant, c candidate, t tally, need job.Resources, by room) (tally, bool) {
	if c.step.full(t.worker, t.members) {
		return t, false
	}
	t.members++
	all := job.Resources{
		CPU: need.CPU * job.MilliCPU(t.members), Memory: need.Memory * unit.Bytes(t.members), Accelerators: need.Accelerators * t.members,
	}
	free, victims, cost := by(now, c, t.worker, all)
	if !all.Fits(free) {
		return t, false
	}
	t.victims, t.cost = victims, cost
	t.left = leftover(free.Sub(all), t.worker.Capacity)
	return t, true
}
