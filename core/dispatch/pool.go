package dispatch

import (
	"math"
	"slices"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// pool is what a pass knows of the workers of one service. It is made anew in each pass, so that
// the many tasks that wait need no walk over all workers each.
type pool struct {
	// workers are those that new tasks may go to, by id; labelled those of them with a label,
	// filled when it is asked for.
	workers  []*worker
	labelled map[string][]*worker
	// most is, of each resource, the most that a worker has free as the pass begins.
	most job.Resources
	// spare is how many more empty workers less urgent work may take in this pass.
	spare int
	// usage is how much of the service's capacity was taken as the pass began: of the
	// resource of which most is free.
	usage float64
}

// rackUse counts the usable workers of one rack and service, and those on which nothing runs.
type rackUse struct{ all, empty int }

// rackName names a rack of a service.
type rackName struct {
	service id.Service
	rack    id.Rack
}

// gather makes the pools of a pass.
func (d *Dispatcher) gather(now unit.Instant) {
	d.pools = map[id.Service]*pool{}
	for _, r := range d.racks {
		*r = rackUse{}
	}
	for _, w := range d.order {
		w.pool, w.rackUse = nil, nil
		if !w.usable(now) {
			continue
		}
		p := d.pools[w.Service]
		if p == nil {
			p = &pool{}
			d.pools[w.Service] = p
		}
		p.add(w)
		d.countRack(w)
	}
	for s, p := range d.pools {
		if d.policy.KeepEmpty {
			p.spare -= d.keptEmpty(now, s, p)
		}
		p.usage = d.usage(s)
	}
}

// add takes a usable worker into the pool.
func (p *pool) add(w *worker) {
	w.pool = p
	p.workers = append(p.workers, w)
	free := w.free()
	p.most.CPU = max(p.most.CPU, free.CPU)
	p.most.Memory = max(p.most.Memory, free.Memory)
	p.most.Accelerators = max(p.most.Accelerators, free.Accelerators)
	if w.empty() {
		p.spare++
	}
}

// countRack counts a usable worker in its rack.
func (d *Dispatcher) countRack(w *worker) {
	name := rackName{service: w.Service, rack: w.Rack}
	r := d.racks[name]
	if r == nil {
		r = &rackUse{}
		d.racks[name] = r
	}
	w.rackUse = r
	r.all++
	if w.empty() {
		r.empty++
	}
}

// keptEmpty returns how many empty workers of a service are kept for urgent work. Whole workers
// are kept because urgent gangs ask for many accelerators of one rack; workers that are in use
// already may be filled by anybody.
func (d *Dispatcher) keptEmpty(now unit.Instant, service id.Service, p *pool) int {
	most := 0
	for _, w := range p.workers {
		most = max(most, w.Capacity.Accelerators)
	}
	a := d.arrivals[service]
	if a == nil || most == 0 {
		return 0
	}
	kept := a.now(now) * reserveTime.Seconds() / float64(most)
	return int(min(math.Ceil(kept), reserveMost*float64(len(p.workers))))
}

// with returns the workers that carry a label; an empty one is carried by all.
func (p *pool) with(label string) []*worker {
	if label == "" {
		return p.workers
	}
	found, ok := p.labelled[label]
	if ok {
		return found
	}
	for _, w := range p.workers {
		if slices.Contains(w.Labels, label) {
			found = append(found, w)
		}
	}
	if p.labelled == nil {
		p.labelled = map[string][]*worker{}
	}
	p.labelled[label] = found
	return found
}

// recount does what may change whether a worker is empty, and keeps the counts of the pass right.
func (w *worker) recount(do func()) {
	before := w.empty()
	do()
	after := w.empty()
	if w.pool == nil || before == after {
		return
	}
	step := -1
	if after {
		step = 1
	}
	w.pool.spare += step
	w.rackUse.empty += step
}

// hopeless reports whether no worker has room for even one task of a candidate, and nobody may
// be stopped or room kept for it.
func (d *Dispatcher) hopeless(now unit.Instant, c *candidate, p *pool) bool {
	s := c.step
	if s.claim != nil || s.job.spec.Priority == 0 || s.job.spec.Advice.Needed || s.step.Reserved().Fits(p.most) {
		return false
	}
	return c.late || d.claims >= mostWaitingClaims || !c.pressing(now)
}
