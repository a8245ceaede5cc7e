package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/forecast"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// expect sets how long a job's steps are expected to take, by what the owner has seen of its queue up to now.
func (d *Dispatcher) expect(js *jobState) {
	js.takes = make([]time.Duration, len(js.spec.Steps))
	for i := range js.spec.Steps {
		js.takes[i] = js.spec.Steps[i].Estimate
		if f := d.forecasts[js.spec.Queue]; f != nil && d.policy.LearnTimes {
			js.takes[i] = f.Expect(js.takes[i])
		}
	}
	js.chain = js.spec.ChainOf(func(step *job.Step) time.Duration { return js.takes[js.indexOf(step)] })
}

// indexOf returns which step of its job a step is.
func (js *jobState) indexOf(step *job.Step) int {
	for i := range js.spec.Steps {
		if &js.spec.Steps[i] == step {
			return i
		}
	}
	return 0
}

// learn takes in how long a run has taken that is done. Runs that went on from a checkpoint, that another owner has ordered, or that were
// where they are slow tell nothing.
func (d *Dispatcher) learn(now unit.Instant, r *run) {
	s := r.step
	whole := r.started != 0 && !r.resumed && s.together(r.task.Index)[0].Checkpoint == ""
	if !whole || s.step.LongRunning || !s.near(r.worker) {
		return
	}
	f := d.forecasts[s.job.spec.Queue]
	if f == nil {
		f = &forecast.Forecast{}
		d.forecasts[s.job.spec.Queue] = f
	}
	f.Note(s.step.Estimate, now.Sub(r.started), 1/float64(s.step.Count))
}

// forecasts holds what was seen of each queue.
type forecasts map[id.Queue]*forecast.Forecast
