package dispatch

import (
	"math"
	"slices"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// pool holds what a pass knows of the workers of one service. It is built once
// per pass, so that the workers aren't searched again for each waiting task.
type pool struct {
	// workers are those that new tasks may be placed on, by id. labelled holds
	// those with a label, and is filled on demand.
	workers  []*worker
	labelled map[string][]*worker
	// maxFree is, for each resource, the most that any worker has free when
	// the pass begins.
	maxFree job.Resources
	// spare is how many more empty workers less urgent work may take in this
	// pass. Workers that are too slow for urgent work don't count.
	spare int
	// usage is the fraction of the service's capacity in use when the pass
	// begins: the smallest of the fractions of the resources.
	usage float64
	// scarcestUse is the same for the scarcest resource.
	scarcestUse float64
	// tiers are the tiers of workers that differ in speed. fastEnough counts the
	// workers that are fast enough for urgent work.
	tiers      tiers
	fastEnough int
}

// rackUse counts the usable workers of one rack and service, and those on which
// nothing runs.
type rackUse struct{ all, empty int }

// rackName names a rack of a service.
type rackName struct {
	service id.Service
	rack    id.Rack
}

// makePools makes the pools of a pass.
func (d *Dispatcher) makePools(now unit.Instant) {
	d.pools = map[id.Service]*pool{}
	for _, r := range d.racks {
		*r = rackUse{}
	}
	for _, w := range d.workersByID {
		w.pool, w.rackUse = nil, nil
		if !w.usable(now) {
			continue
		}
		p := d.pools[w.Service]
		if p == nil {
			p = &pool{tiers: d.tiersOf(w.Service)}
			d.pools[w.Service] = p
		}
		p.add(w)
		d.countRack(w)
	}
	for s, p := range d.pools {
		if d.policy.KeepEmpty {
			p.spare -= d.reservedEmpty(now, s, p)
		}
		p.usage, p.scarcestUse = d.usage(s)
	}
}

// add adds a usable worker to the pool.
func (p *pool) add(w *worker) {
	w.pool = p
	p.workers = append(p.workers, w)
	free := w.free()
	p.maxFree.CPU = max(p.maxFree.CPU, free.CPU)
	p.maxFree.Memory = max(p.maxFree.Memory, free.Memory)
	p.maxFree.Accelerators = max(p.maxFree.Accelerators, free.Accelerators)
	w.tooSlow = p.tiers.tooSlow(w.tier)
	if w.tooSlow {
		return
	}
	p.fastEnough++
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

// reservedEmpty returns how many empty workers of a service are reserved for
// urgent work. Whole workers are reserved because urgent gangs ask for many
// accelerators of one rack. Work of any priority may fill workers that are
// already in use.
func (d *Dispatcher) reservedEmpty(now unit.Instant, service id.Service, p *pool) int {
	perWorker := 0
	for _, w := range p.workers {
		perWorker = max(perWorker, w.Capacity.Accelerators)
	}
	a := d.arrivals[service]
	if a == nil || perWorker == 0 {
		return 0
	}
	reserved := a.rateAt(now) * reserveHorizon.Seconds() / float64(perWorker)
	return int(min(math.Ceil(reserved), maxReserveShare*float64(len(p.workers)), maxFastReserveShare*float64(p.fastEnough)))
}

// withLabel returns the workers that have a label, or all for an empty label.
func (p *pool) withLabel(label string) []*worker {
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

// updateCounts calls change, which may make the worker empty or no longer
// empty, and updates the counts of the pass.
func (w *worker) updateCounts(change func()) {
	before := w.empty()
	change()
	after := w.empty()
	if w.pool == nil || before == after {
		return
	}
	delta := -1
	if after {
		delta = 1
	}
	if !w.tooSlow {
		w.pool.spare += delta
	}
	w.rackUse.empty += delta
}

// unplaceable reports whether no worker has room for even one task of a
// candidate, and neither preemption nor a reservation is allowed for it.
func (d *Dispatcher) unplaceable(now unit.Instant, c *candidate, p *pool) bool {
	s := c.step
	if s.claim != nil || s.job.spec.Priority == 0 || s.job.spec.Advice.Needed || s.step.Reserved().Fits(p.maxFree) {
		return false
	}
	return c.late || d.claimsWithoutStop >= maxWaitingClaims || !c.pressing(now)
}
