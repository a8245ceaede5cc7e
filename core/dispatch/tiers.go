package dispatch

import (
	"math"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/speed"
	"curlewsill.org/curlewsill/core/tier"
	"curlewsill.org/curlewsill/core/unit"
)

// Where workers differ in speed, they are divided into tiers. Urgent work has
// little more time than it needs on a typical worker, and a gang is as slow as
// its slowest member. So urgent work takes the fastest tiers, other work the
// slowest ones where it is in time, and gangs rather don't mix tiers.

const (
	// urgentSlownessShare times the deadline factor of urgent work is the
	// slowness up to which a worker is fast enough for it. The rest of the
	// factor is for the wait for room.
	urgentSlownessShare = 0.95
	// tierPenalty is added to the score of a placement (see the function
	// leftover; the lowest score wins) on a tier that isn't the preferred one,
	// and tierStep for each tier that it is away from that. Together they
	// outweigh the leftover, but neither interference nor failed runs.
	tierPenalty, tierStep = 7, 0.2
)

// tiers are the tiers of a service's workers.
type tiers struct {
	// slowness is the mean slowness of each tier, in ascending order. It is
	// empty while workers aren't shown to differ.
	slowness []float64
	// urgent is the number of tiers that are fast enough for urgent work, at
	// least 1 if there are tiers.
	urgent int
}

// differ reports whether there are several tiers.
func (t *tiers) differ() bool { return len(t.slowness) > 1 }

// tooSlow reports whether a worker of a tier is too slow for urgent work.
func (t *tiers) tooSlow(n int) bool { return t.differ() && n >= t.urgent }

// divideWorkers divides the listed workers of each service into tiers. Workers
// of which little is known bound no tier.
func (d *Dispatcher) divideWorkers() {
	clear(d.tierSlowness)
	for _, w := range d.workersByID {
		w.tier = 0
	}
	if !d.differ {
		return
	}
	known := map[id.Service][]float64{}
	for _, w := range d.workersByID {
		if w.listed && w.speed.Class() != speed.Unknown {
			known[w.Service] = append(known[w.Service], w.slowness)
		}
	}
	for service, slowness := range known {
		if bounds := tier.Bounds(slowness); len(bounds) > 0 {
			d.tierSlowness[service] = d.assignTiers(service, bounds)
		}
	}
}

// assignTiers assigns the workers of a service to the tiers between the bounds,
// and returns the mean slowness of each tier.
func (d *Dispatcher) assignTiers(service id.Service, bounds []float64) []float64 {
	sums, counts := make([]float64, len(bounds)+1), make([]float64, len(bounds)+1)
	for _, w := range d.workersByID {
		if w.Service != service {
			continue
		}
		for w.tier < len(bounds) && w.slowness > bounds[w.tier] {
			w.tier++
		}
		if w.listed {
			sums[w.tier] += w.slowness
			counts[w.tier]++
		}
	}
	for t := range sums {
		sums[t] /= counts[t]
	}
	return sums
}

// tiersOf returns the tiers of a service.
func (d *Dispatcher) tiersOf(service id.Service) tiers {
	t := tiers{slowness: d.tierSlowness[service], urgent: 1}
	factor := d.urgentFactor(service)
	for n, slowness := range t.slowness {
		if factor == 0 || slowness <= urgentSlownessShare*factor {
			t.urgent = n + 1
		}
	}
	return t
}

// inTiers returns the workers of the tiers from first to last.
func inTiers(workers []*worker, first, last int) []*worker {
	out := make([]*worker, 0, len(workers))
	for _, w := range workers {
		if w.tier >= first && w.tier <= last {
			out = append(out, w)
		}
	}
	return out
}

// tooSlow returns the workers that are too slow for urgent work. The reserve
// for urgent work doesn't need them.
func tooSlow(workers []*worker) []*worker {
	var out []*worker
	for _, w := range workers {
		if w.tooSlow {
			out = append(out, w)
		}
	}
	return out
}

// inTime reports whether a candidate's tasks that start now on workers of a
// slowness end before the deadline, by the customer's estimate.
func (c *candidate) inTime(now unit.Instant, slowness float64) bool {
	return now.Add(scale(c.step.step.Estimate, slowness)) <= c.deadline
}

// placeGangByTier is placeGang for workers that differ in speed. An urgent gang
// takes free room on workers that are fast enough, the fastest first. If there
// is none, other work is stopped there; slower workers are used only after a
// wait, and other work is stopped there only for work within its guarantee,
// which has to begin. Any other gang prefers the slowest tier where it is in
// time.
func (d *Dispatcher) placeGangByTier(now unit.Instant, c candidate, p *pool, fits []*worker) bool {
	last := len(p.tiers.slowness) - 1
	if c.step.job.spec.Priority != 0 {
		for t := last; t >= 0; t-- {
			if (c.late || c.inTime(now, p.tiers.slowness[t])) && d.placeGangWithin(now, c, fits, t, t) {
				return true
			}
		}
		for t := range p.tiers.slowness {
			if d.placeGangWithin(now, c, fits, 0, t) {
				return true
			}
		}
		d.preempt(now, c, fits)
		return false
	}
	for t := range p.tiers.urgent {
		if d.placeGangWithin(now, c, fits, 0, t) {
			return true
		}
	}
	relaxed := c.step.waitedFor(now, urgentRelaxWait)
	if relaxed && p.tiers.urgent <= last && d.placeGangWithin(now, c, fits, 0, last) {
		return true
	}
	d.preempt(now, c, c.fastEnough(p, fits))
	if c.step.claim == nil && relaxed && c.withinGuarantee {
		d.preempt(now, c, fits)
	}
	return false
}

// fastEnough returns the workers that are fast enough for a candidate. Urgent
// work uses slower ones only after a wait.
func (c *candidate) fastEnough(p *pool, fits []*worker) []*worker {
	if c.step.job.spec.Priority != 0 || !p.tiers.differ() {
		return fits
	}
	return inTiers(fits, 0, p.tiers.urgent-1)
}

// placeGangWithin places a gang on free room of the tiers from first to last, or
// returns false.
func (d *Dispatcher) placeGangWithin(now unit.Instant, c candidate, fits []*worker, first, last int) bool {
	workers := inTiers(fits, first, last)
	if len(workers) == 0 {
		return false
	}
	chosen := d.chooseGang(now, c, workers, d.freeRoom)
	if chosen.workers == nil {
		return false
	}
	d.placeOnWorkers(c, chosen.workers)
	return true
}

// preferredTier returns the tier that a candidate's tasks go to first: the
// fastest for urgent work, and for other work the slowest where it is in time,
// so that the fast workers stay free.
func (c *candidate) preferredTier(now unit.Instant, p *pool) int {
	if c.step.job.spec.Priority == 0 || !p.tiers.differ() {
		return 0
	}
	t := len(p.tiers.slowness) - 1
	for t > 0 && !c.late && !c.inTime(now, p.tiers.slowness[t]) {
		t--
	}
	return t
}

// offTierPenalty returns the penalty, in addition to the leftover, for placing a
// single task on a worker that isn't of the preferred tier.
func offTierPenalty(w *worker, preferred int) float64 {
	if w.tier == preferred || w.pool == nil || !w.pool.tiers.differ() {
		return 0
	}
	return tierPenalty + tierStep*math.Abs(float64(w.tier-preferred))
}
