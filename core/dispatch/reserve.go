package dispatch

import (
	"math"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// reserveTime is how much urgent work is expected ahead, as the time in which
	// it arrives: room for it can be freed in about half of that. Measured with
	// 0 to 3 s; see docs/design/07-worth.md.
	reserveTime = 3000 * time.Millisecond
	// reserveMemory is the time constant of the arrival rate.
	reserveMemory = 6 * time.Second
	// reserveMost bounds the reserve as a part of a service's accelerators.
	reserveMost = 0.2
	// pressingFactor times the estimated work is when a job may use the reserve:
	// estimates are often too short.
	pressingFactor = 1.5
)

// arrivals is the rate at which urgent jobs of a service ask for accelerators.
type arrivals struct {
	// rate is in accelerators a second, as of at.
	rate float64
	at   unit.Instant
}

// note adds a job's accelerators.
func (a *arrivals) note(now unit.Instant, accelerators int) {
	a.rate = a.now(now) + float64(accelerators)/reserveMemory.Seconds()
	a.at = now
}

// now returns the rate, which fades while nothing arrives.
func (a *arrivals) now(now unit.Instant) float64 {
	if a.at == 0 {
		return 0
	}
	return a.rate * math.Exp(-now.Sub(a.at).Seconds()/reserveMemory.Seconds())
}

// expect takes an urgent job into account for those that will follow.
func (d *Dispatcher) expect(now unit.Instant, s *job.Spec) {
	a := d.arrivals[s.Service]
	if a == nil {
		a = &arrivals{}
		d.arrivals[s.Service] = a
	}
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count * s.Steps[i].Need.Accelerators
	}
	a.note(now, n)
}

// reserve is how many more empty workers of each service less urgent work may take in
// this pass.
type reserve map[id.Service]int

// reserves returns how many workers are empty beyond those that are kept for urgent
// work. Whole workers are kept because urgent gangs ask for many accelerators of one
// rack; workers that are in use already may be filled by anybody.
func (d *Dispatcher) reserves(now unit.Instant, usable []*worker) reserve {
	empty, all := reserve{}, map[id.Service]int{}
	most := map[id.Service]int{}
	for _, w := range usable {
		all[w.Service]++
		most[w.Service] = max(most[w.Service], w.Capacity.Accelerators)
		if w.empty() {
			empty[w.Service]++
		}
	}
	for s := range empty {
		a := d.arrivals[s]
		if a == nil || most[s] == 0 {
			continue
		}
		kept := a.now(now) * reserveTime.Seconds() / float64(most[s])
		empty[s] -= int(min(math.Ceil(kept), reserveMost*float64(all[s])))
	}
	return empty
}

// charge does a placement and takes the workers off the reserve that are not empty any more
// by it.
func (r reserve) charge(name id.Service, fits []*worker, place func()) {
	before := emptyAmong(fits)
	place()
	r[name] -= before - emptyAmong(fits)
}

// empty reports whether nothing runs on a worker and nothing is about to.
func (w *worker) empty() bool { return len(w.runs) == 0 && w.reserved == (job.Resources{}) }

// allowed leaves out empty workers if less urgent work may take none.
func (d *Dispatcher) allowed(now unit.Instant, c candidate, workers []*worker, kept reserve) []*worker {
	s := c.step
	if s.job.spec.Priority == 0 || c.pressing(now) || kept[s.job.spec.Service] > 0 || d.mayGoFar(now, s, workers, len(c.waiting)) {
		return workers
	}
	out := workers[:0:0]
	for _, w := range workers {
		if !w.empty() {
			out = append(out, w)
		}
	}
	return out
}

// pressing reports whether a job has to start now to be completed in time.
func (c *candidate) pressing(now unit.Instant) bool {
	return now.Add(scale(c.step.job.spec.LongestChain(), pressingFactor)) > c.deadline
}
