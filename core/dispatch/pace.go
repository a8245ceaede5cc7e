package dispatch

import (
	"fmt"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/unit"
)

// Speed control of best-effort runs (Step.UsesIdleCPU), which use the capacity
// that serving tasks on the same worker leave idle. Each worker that has both
// kinds is a control loop of its own. Its input is the worst tail latency of
// its serving tasks, as a fraction of their target. Its output is the speed of
// all its best-effort runs.
const (
	// highLatencyRatio is the fraction of its target above which a serving
	// task's tail latency counts as too high. It leaves a margin for noise,
	// since a figure covers only half a second; the platform counts a violation
	// after some 4 s over the target.
	highLatencyRatio = 0.8
	// lowLatencyRatio is the fraction below which best-effort runs may speed up
	// again. Between the two ratios the speed stays as it is.
	lowLatencyRatio = 0.6
	// speedStep is the number of percentage points by which best-effort runs
	// are sped up at a time. A step down halves their speed, so that two steps
	// end a violation of the target latency, and it takes many steps up until
	// the next one.
	speedStep = 10
	// minSpeed is the speed in percent below which best-effort runs are paused.
	minSpeed = 10
	// paceInterval is the least time between two changes of speed: a latency
	// figure covers half a second, and a change takes effect after a tenth.
	paceInterval = 700 * time.Millisecond
	// fullSpeed is the speed in percent of a run that is not slowed down.
	fullSpeed = 100
	// interferenceWeight is the penalty for each run on a worker with which a
	// task would interfere, in either direction. It outweighs all other
	// penalties except the one for failed runs.
	interferenceWeight = 8
)

// bestEffort reports whether a run is best-effort: it uses only capacity that
// others leave idle.
func (r *run) bestEffort() bool { return r.step != nil && r.step.step.UsesIdleCPU }

// isServing reports whether a run serves requests with a target latency.
func (r *run) isServing() bool { return r.step != nil && r.step.step.TargetLatency > 0 }

// hasMixedLoad reports whether best-effort and serving runs share the worker.
func (w *worker) hasMixedLoad() bool {
	bestEffort, serving := false, false
	for _, r := range w.runs {
		bestEffort = bestEffort || r.bestEffort()
		serving = serving || r.isServing()
	}
	return bestEffort && serving
}

// interferencePenalty returns the penalty, in addition to the leftover, for a
// placement on a worker: interferenceWeight for each run there with which a
// task of the step would interfere, in either direction.
func (s *stepState) interferencePenalty(w *worker) float64 {
	if !s.step.UsesIdleCPU && s.step.TargetLatency == 0 {
		return 0
	}
	n := 0
	for _, r := range w.runs {
		if s.step.UsesIdleCPU && r.isServing() || s.step.TargetLatency > 0 && r.bestEffort() {
			n++
		}
	}
	return interferenceWeight * float64(n)
}

// worstLatencyRatio returns the worst tail latency of the worker's serving
// tasks as a fraction of the target.
func (w *worker) worstLatencyRatio() float64 {
	worst := 0.0
	for _, r := range w.runs {
		if r.isServing() && r.state == runRunning {
			tail := time.Duration(r.load) * time.Millisecond
			worst = max(worst, float64(tail)/float64(r.step.step.TargetLatency))
		}
	}
	return worst
}

// pace slows down best-effort runs while a serving run on the same worker is
// near its target latency, and speeds them up again afterwards.
func (d *Dispatcher) pace(now unit.Instant, w *worker) {
	if now.Sub(w.pacedAt) < paceInterval {
		return
	}
	ratio := w.worstLatencyRatio()
	for _, r := range w.sorted() {
		if !r.bestEffort() || r.state != runRunning {
			continue
		}
		speed := fullSpeed
		if w.hasMixedLoad() {
			speed = nextSpeed(fullSpeed-r.slowdownPercent, ratio)
		}
		// A late order may have set an earlier speed again since.
		repeat := r.paceOpenUntil != 0 && now > r.paceOpenUntil
		if speed == fullSpeed-r.slowdownPercent && !repeat {
			continue
		}
		if repeat {
			r.paceOpenUntil = 0
		}
		w.pacedAt = now
		r.slowdownPercent = fullSpeed - speed
		d.orders.Paces = append(d.orders.Paces, Pace{Target: d.target(w), Task: r.task, Run: r.number, Percent: speed})
		d.note(Note{
			Event: EventTaskPaced, Job: r.task.Job, Task: r.task, Worker: w.ID, Run: r.number,
			Why: fmt.Sprintf("to %d %% of full speed; a serving task is at %.0f %% of its target latency", speed, ratio*fullSpeed),
		})
	}
}

// nextSpeed returns the next speed of best-effort runs, in percent of full
// speed. If the latency ratio is high, it halves the speed, or returns 0 if
// half the speed is below minSpeed. If the ratio is low, it adds speedStep.
func nextSpeed(speed int, ratio float64) int {
	switch {
	case ratio > highLatencyRatio && speed/2 < minSpeed:
		return 0
	case ratio > highLatencyRatio:
		return speed / 2
	case ratio < lowLatencyRatio:
		return min(fullSpeed, speed+speedStep)
	}
	return speed
}

// Paced handles the result of an order that sets a run's speed. If the order
// wasn't carried out, the speed is decided anew.
func (d *Dispatcher) Paced(now unit.Instant, res PaceResult) {
	r := d.runAnswer(now, res.Pace.Target, res.Verdict, res.Clock, res.Pace.Task, res.Pace.Run)
	if r == nil || res.Verdict == fleet.CarriedOut {
		return
	}
	if res.Verdict == fleet.Unknown {
		r.paceOpenUntil = now.Add(maxOrderDelay + openOrderMargin)
	}
	// The worker may run it at the old speed or at the new one. A speed between
	// the two ends of the range leads to another order in either case.
	r.slowdownPercent = min(max(r.slowdownPercent, speedStep), fullSpeed-minSpeed)
	r.worker.pacedAt = 0
}
