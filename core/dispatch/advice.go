package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// askBatch is the platform's limit of workers in one question.
	askBatch = 100
	// askSpare is the number of tasks, in addition to the waiting ones, for
	// which room is asked about, because other steps may take some of it
	// meanwhile.
	askSpare = 2
	// The yield is the fraction of workers that the service allows.
	// initialYield is assumed before its first answer, and minYield is the
	// least that is ever assumed. yieldWeight is the weight of one answer in
	// the moving average.
	initialYield = 0.5
	minYield     = 0.1
	yieldWeight  = 0.2
	// askPause is how long a host is not used after its question got no answer.
	// It doubles with each consecutive failure, up to maxAskPause, because each
	// question sent through a host that is cut off delays a step until the
	// question times out.
	askPause    = 200 * time.Millisecond
	maxAskPause = 3200 * time.Millisecond
	// maxDoublings keeps the doubling from overflowing.
	maxDoublings = 8
)

// adviceState is the state of the questions to the advice service. The service
// works on one question of a host at a time, so questions are spread over the
// hosts, with one in flight on each.
type adviceState struct {
	advisers []adviser
	// yield is the moving average of the fraction of workers that were allowed.
	yield float64
}

// adviser is a host that can ask the advice service.
type adviser struct {
	busy bool
	// next is when the next question may be sent. failures is the number of
	// consecutive questions that got no answer.
	next     unit.Instant
	failures int
}

// fail records that a question got no answer.
func (a *adviser) fail(now unit.Instant) {
	a.next = now.Add(min(maxAskPause, askPause<<min(a.failures, maxDoublings)))
	a.failures++
}

// idle returns the index of a host that can ask now, or false if there is none.
func (c *adviceState) idle(now unit.Instant) (int, bool) {
	for i, a := range c.advisers {
		if !a.busy && now >= a.next {
			return i, true
		}
	}
	return 0, false
}

// resize sets the number of hosts that can ask. It removes hosts from the end,
// but none that still waits for an answer and none before such a host; a later
// call removes those.
func (c *adviceState) resize(n int) {
	for len(c.advisers) < n {
		c.advisers = append(c.advisers, adviser{})
	}
	for len(c.advisers) > n && !c.advisers[len(c.advisers)-1].busy {
		c.advisers = c.advisers[:len(c.advisers)-1]
	}
}

// updateYield adds an answer to the moving average.
func (c *adviceState) updateYield(asked, allowed int) {
	c.yield += yieldWeight * (float64(allowed)/float64(asked) - c.yield)
}

// SetAdvisers sets the number of hosts that can ask the advice service.
func (d *Dispatcher) SetAdvisers(n int) { d.advice.resize(n) }

// consult asks the advice service about more workers for a step, if the step
// needs its permission and a host can ask now. It also asks about workers whose
// permit expires within the duration ahead.
func (d *Dispatcher) consult(now unit.Instant, c candidate, ahead time.Duration) {
	advice := c.step.job.spec.Advice
	if !advice.Needed || c.step.adviceInFlight {
		return
	}
	by, ok := d.advice.idle(now)
	if !ok {
		return
	}
	workers := c.workersToAsk(now, ahead, advice, d.advice.yield)
	if len(workers) == 0 {
		return
	}
	s := c.step
	a := Ask{Step: s.name(), Workers: workers, Adviser: by, AnswerTime: advice.ResponseTime(len(workers))}
	d.advice.advisers[by].busy, s.adviceInFlight = true, true
	d.orders.Asks = append(d.orders.Asks, a)
	d.noteJob(EventAdviceAsked, now, s.job, fmt.Sprintf("step %s: %d workers", a.Step, len(workers)), a.AnswerTime)
}

// workersToAsk returns the workers to ask about: as many as are likely to be
// enough, but at least as many as can be asked about in twice the time of a
// question that names no workers. It never returns more than askBatch. The
// workers may include some without room: a refusal is permanent, and a permit
// may still be valid when the worker has room.
func (c *candidate) workersToAsk(now unit.Instant, ahead time.Duration, advice job.Advice, yield float64) []id.Worker {
	s := c.step
	need := s.step.Reserved()
	noPermit := c.withoutPermit(now, ahead)
	if len(noPermit) == 0 || s.job.spec.Priority > 0 && !need.Fits(noPermit[0].free()) {
		return nil // without room a permit is of no use to work that isn't urgent
	}
	var out []id.Worker
	expected := 0.0
	for _, w := range noPermit[:min(askBatch, len(noPermit))] {
		out = append(out, w.ID)
		room := w.free()
		if !need.Fits(room) {
			room = w.Capacity // runs may be stopped for urgent work
		}
		expected += max(yield, minYield) * float64(s.maxTasksIn(room))
		enough := expected >= float64(len(c.waiting)+askSpare)
		if enough && advice.ResponseTime(len(out)+1) > 2*advice.BaseTime {
			break
		}
	}
	return out
}

// withoutPermit returns the workers for which the step has no permit that stays
// valid for the time ahead. Workers with room come first, and among them those
// in racks with most such workers, so that a gang can be placed in one rack.
func (c *candidate) withoutPermit(now unit.Instant, ahead time.Duration) []*worker {
	s := c.step
	need := s.step.Reserved()
	fittingByRack := map[id.Rack]int{}
	var out []*worker
	for _, w := range c.eligible {
		fits := need.Fits(w.free())
		if fits {
			fittingByRack[w.Rack]++
		}
		if s.permitLasts(now, w, ahead) {
			continue
		}
		out = append(out, w)
	}
	slices.SortStableFunc(out, func(a, b *worker) int {
		return cmp.Or(
			-compareBools(need.Fits(a.free()), need.Fits(b.free())),
			-cmp.Compare(fittingByRack[a.Rack], fittingByRack[b.Rack]),
			cmp.Compare(a.Rack, b.Rack),
		)
	})
	return out
}

// name returns the step's name for questions and notes.
func (s *stepState) name() job.StepID {
	return job.StepID{Job: s.job.id, Round: s.round, Step: s.index}
}

// stepByID returns the step with a name, or nil if its job isn't known any
// more.
func (d *Dispatcher) stepByID(name job.StepID) *stepState {
	js := d.jobs[name.Job]
	if js == nil {
		return nil
	}
	return js.steps[name.Round*len(js.spec.Steps)+name.Step]
}

// Advised handles the result of a question to the advice service.
func (d *Dispatcher) Advised(now unit.Instant, res AskResult) {
	by := &d.advice.advisers[res.Ask.Adviser]
	by.busy = false
	s := d.stepByID(res.Ask.Step)
	if s != nil {
		s.adviceInFlight = false
	}
	if res.Verdict != fleet.CarriedOut {
		by.fail(now)
		d.note(Note{Event: EventAdviceMissed, Job: res.Ask.Step.Job, Why: res.Verdict.String(), Age: now.Sub(res.Sent)})
		return
	}
	by.failures = 0
	if s == nil {
		return
	}
	d.advice.updateYield(len(res.Ask.Workers), len(res.Permits))
	s.takePermits(now, res)
	why := fmt.Sprintf("step %s: %d of %d workers allowed", res.Ask.Step, len(res.Permits), len(res.Ask.Workers))
	d.note(Note{Event: EventAdviceTaken, Job: s.job.id, Why: why, Estimate: res.ValidFor, Age: now.Sub(res.Sent)})
}
