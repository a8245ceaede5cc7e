package dispatch

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/unit"
)

// The control of tasks that use what others leave, beside serving tasks. Each worker with
// both is a loop of its own: its input is the worst serving task's tail latency as a part of
// its target, its output the speed of all that use what is left.
const (
	// paceHigh is the part of its target above which a serving task's tail latency counts
	// as too high. It leaves room for the noise of half a second's figure; the platform
	// counts harm after some 4 s over the target.
	paceHigh = 0.8
	// paceLow is the part below which the others may work faster again. Between the two
	// nothing changes.
	paceLow = 0.6
	// paceUp is by how many percent they are sped up at a time. They are slowed by half of
	// what is left, so that harm ends in two steps and returns in many.
	paceUp = 10
	// paceLeast is the speed in percent below which they stand still instead.
	paceLeast = 10
	// paceEvery is the time between two changes: a figure covers half a second, and a
	// change takes effect after a tenth.
	paceEvery = 700 * time.Millisecond
	// fullSpeed is the speed of a run that nobody slows down, in percent.
	fullSpeed = 100
	// sharingWeight is added for each run on a worker that a task would disturb, or that
	// would disturb it; it outweighs all but suspicion.
	sharingWeight = 8
)

// fills reports whether a run uses what others leave.
func (r *run) fills() bool { return r.step != nil && r.step.step.Fills }

// serves reports whether a run serves users of its own.
func (r *run) serves() bool { return r.step != nil && r.step.step.TargetLatency > 0 }

// shared reports whether some run uses what a serving one leaves on the worker.
func (w *worker) shared() bool {
	filling, serving := false, false
	for _, r := range w.runs {
		filling = filling || r.fills()
		serving = serving || r.serves()
	}
	return filling && serving
}

// disturbance is added to the leftover of a placement on a worker with runs that would
// disturb a task of the step, or that it would disturb.
func (s *stepState) disturbance(w *worker) float64 {
	if !s.step.Fills && s.step.TargetLatency == 0 {
		return 0
	}
	n := 0
	for _, r := range w.runs {
		if s.step.Fills && r.serves() || s.step.TargetLatency > 0 && r.fills() {
			n++
		}
	}
	return sharingWeight * float64(n)
}

// pressure returns the worst tail latency of the worker's serving tasks, as a part of the
// target.
func (w *worker) pressure() float64 {
	worst := 0.0
	for _, r := range w.runs {
		if r.serves() && r.state == runRunning {
			tail := time.Duration(r.load) * time.Millisecond
			worst = max(worst, float64(tail)/float64(r.step.step.TargetLatency))
		}
	}
	return worst
}

// pace slows down the runs that use what others leave while a serving one beside them is
// near its target, and speeds them up again after that.
func (d *Dispatcher) pace(now unit.Instant, w *worker) {
	if now.Sub(w.pacedAt) < paceEvery {
		return
	}
	pressure := w.pressure()
	for _, r := range w.sorted() {
		if !r.fills() || r.state != runRunning {
			continue
		}
		speed := fullSpeed
		if w.shared() {
			speed = nextSpeed(fullSpeed-r.slowed, pressure)
		}
		if speed == fullSpeed-r.slowed {
			continue
		}
		w.pacedAt = now
		r.slowed = fullSpeed - speed
		d.orders.Paces = append(d.orders.Paces, Pace{Target: d.target(w), Task: r.task, Run: r.number, Percent: speed})
		d.note(Note{
			Event: EventTaskPaced, Job: r.task.Job, Task: r.task, Worker: w.ID, Run: r.number,
			Why: fmt.Sprintf("to %d %%, a serving task is at %.0f %% of its target", speed, pressure*fullSpeed),
		})
	}
}

// nextSpeed returns the speed, in percent, that follows on one under a pressure.
func nextSpeed(speed int, pressure float64) int {
	switch {
	case pressure > paceHigh && speed/2 < paceLeast:
		return 0
	case pressure > paceHigh:
		return speed / 2
	case pressure < paceLow:
		return min(fullSpeed, speed+paceUp)
	}
	return speed
}

// Paced takes in what became of an order on a run's speed. One that wasn't carried out is
// decided anew.
func (d *Dispatcher) Paced(now unit.Instant, res PaceResult) {
	r := d.runAnswer(now, res.Pace.Target, res.Verdict, res.Clock, res.Pace.Task, res.Pace.Run)
	if r == nil || res.Verdict == fleet.Carried {
		return
	}
	// The worker may work at the old speed or at the new one. A speed between the two
	// ends leads to another order either way.
	r.slowed = min(max(r.slowed, paceUp), fullSpeed-paceLeast)
	r.worker.pacedAt = 0
}
