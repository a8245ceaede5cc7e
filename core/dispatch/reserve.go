package dispatch

import (
	"math"
	"time"

	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// reserveTime is how much urgent work is expected ahead, as the time in which
	// it arrives: room for it can be freed in about half of that.
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

// empty reports whether nothing runs on a worker and nothing is about to.
func (w *worker) empty() bool { return len(w.runs) == 0 && w.reserved == (job.Resources{}) }

// mayOpen reports whether a candidate may take empty workers: less urgent work may not take those
// that are kept.
func (d *Dispatcher) mayOpen(now unit.Instant, c candidate, p *pool, fits []*worker) bool {
	return c.step.job.spec.Priority == 0 || p.spare > 0 || c.pressing(now) || d.mayGoFar(now, c.step, fits, len(c.waiting))
}

// heldBack reports whether a candidate has to wait because fewer workers are empty than are kept.
// Single tasks fill what others leave of workers in use, so that under load no worker becomes empty
// again: urgent work then stops such tasks, often within a second of their start, and gangs find no
// room. Work that presses, and work that finds more than enough room, isn't held back.
func (d *Dispatcher) heldBack(now unit.Instant, c candidate, p *pool, fits []*worker) bool {
	step := c.step.step
	if !d.policy.HoldBack || p.spare >= 0 || step.Gang || step.LongRunning {
		return false
	}
	return !d.mayOpen(now, c, p, fits)
}

// idle reports whether a job that is held back has to start a task all the same: nothing of it has
// run for a while, though under half of the service's capacity is in use and there is room for two.
// The platform counts a job as lost that waits 3 s then.
func (d *Dispatcher) idle(now unit.Instant, c candidate, p *pool, fits []*worker) bool {
	s := c.step
	return !s.job.busy() && s.waitedFor(now, roomyWait) && p.usage < farUsage && s.roomFor(fits, 2)
}

// inUse leaves out the empty workers.
func inUse(workers []*worker) []*worker {
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
