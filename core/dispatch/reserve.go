package dispatch

import (
	"math"
	"time"

	"curlewsill.org/curlewsill/core/admission"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// reserveHorizon is the length of the period whose urgent work the reserve
	// is to hold. Freeing room for urgent work by stopping other work takes
	// about half as long.
	reserveHorizon = 3000 * time.Millisecond
	// rateTimeConstant is the time constant of the arrival rate's exponential
	// average.
	rateTimeConstant = 6 * time.Second
	// maxReserveShare bounds the reserve as a fraction of a service's workers.
	maxReserveShare = 0.2
	// maxFastReserveShare bounds it as a fraction of the workers that are fast
	// enough for urgent work.
	maxFastReserveShare = 0.8
	// estimateFactor times a job's estimated critical path is the time before
	// its deadline from which the job may use the reserve. The factor is above
	// 1 because estimates are often too short.
	estimateFactor = 1.5
)

// arrivals is the rate at which urgent jobs of a service ask for accelerators.
type arrivals struct {
	// rate is in accelerators per second, as of at.
	rate float64
	at   unit.Instant
	// deadlineFactor is that of the latest urgent job.
	deadlineFactor float64
}

// add counts the accelerators that an arrived job asks for. The rate is an
// average that decays exponentially with rateTimeConstant.
func (a *arrivals) add(now unit.Instant, accelerators int) {
	a.rate = a.rateAt(now) + float64(accelerators)/rateTimeConstant.Seconds()
	a.at = now
}

// rateAt returns the rate, which decays exponentially while nothing arrives.
func (a *arrivals) rateAt(now unit.Instant) float64 {
	if a.at == 0 {
		return 0
	}
	return a.rate * math.Exp(-now.Sub(a.at).Seconds()/rateTimeConstant.Seconds())
}

// noteArrival counts an urgent job in the arrival rate, from which the reserve
// for later ones is sized.
func (d *Dispatcher) noteArrival(now unit.Instant, s *job.Spec) {
	a := d.arrivals[s.Service]
	if a == nil {
		a = &arrivals{}
		d.arrivals[s.Service] = a
	}
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count * s.Steps[i].Need.Accelerators
	}
	a.add(now, n)
	a.deadlineFactor = s.DeadlineFactor
}

// urgentFactor returns the deadline factor of a service's urgent work; 0 if none
// has arrived.
func (d *Dispatcher) urgentFactor(s id.Service) float64 {
	if a := d.arrivals[s]; a != nil {
		return a.deadlineFactor
	}
	return 0
}

// empty reports whether a worker has no runs and no reservations.
func (w *worker) empty() bool { return len(w.runs) == 0 && w.reserved == (job.Resources{}) }

// mayUseEmpty reports whether a candidate may take empty workers, some of which
// may be reserved for urgent work.
func (d *Dispatcher) mayUseEmpty(now unit.Instant, c candidate, p *pool, fits []*worker) bool {
	load := admission.Load{Spare: p.spare, ScarcestUse: p.scarcestUse}
	return admission.MayUseReserve(load, admission.Work{
		Urgent: c.step.job.spec.Priority == 0, Idle: !c.step.job.hasRuns(), LongRunning: c.step.step.LongRunning,
		Pressing: func() bool { return c.pressing(now) },
		Relaxed:  func() bool { return d.mayRelax(now, c.step, fits, len(c.waiting)) },
	})
}

// heldBack reports whether a candidate has to wait because fewer workers are
// empty than are reserved. If single tasks filled the remaining capacity of
// workers in use, no worker would become empty again under load. Urgent work
// would then stop such tasks, often within a second of their start, and gangs
// would find no room. Work that must start now, and work that finds ample room,
// isn't held back.
func (d *Dispatcher) heldBack(now unit.Instant, c candidate, p *pool, fits []*worker) bool {
	step := c.step.step
	if !d.policy.HoldBack || p.spare >= 0 || step.Gang || step.LongRunning {
		return false
	}
	return !d.mayUseEmpty(now, c, p, fits)
}

// mustStartOne reports whether a job that is held back has to start one task
// nevertheless: it has no runs and has waited for relaxWait, although less than
// half of the service's capacity is in use and two of its tasks would fit. The
// platform counts a job as lost if it waits 3 s under these conditions.
func (d *Dispatcher) mustStartOne(now unit.Instant, c candidate, p *pool, fits []*worker) bool {
	s := c.step
	return !s.job.hasRuns() && s.waitedFor(now, relaxWait) && p.usage < maxRelaxUsage && s.roomFor(fits, 2)
}

// withoutEmpty leaves out the empty workers that are fast enough for urgent work.
func withoutEmpty(workers []*worker) []*worker {
	out := workers[:0:0]
	for _, w := range workers {
		if !w.empty() || w.tooSlow {
			out = append(out, w)
		}
	}
	return out
}

// pressing reports whether a job has to start now to be completed in time.
func (c *candidate) pressing(now unit.Instant) bool {
	return now.Add(scale(c.step.job.spec.CriticalPath(), estimateFactor)) > c.deadline
}
