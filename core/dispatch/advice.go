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
	// askBatch is how many workers one question names at most, by the platform's word.
	askBatch = 100
	// askSpare is how many tasks' room is asked about beyond those that wait, because
	// others may take some of it meanwhile.
	askSpare = 2
	// firstYield is the part of the workers that the service is taken to allow before it
	// has answered, and leastYield the least that is reckoned with. yieldWeight is the
	// weight of one answer in the average.
	firstYield  = 0.5
	leastYield  = 0.1
	yieldWeight = 0.2
	// askPause is the pause of a host whose question got no answer. It doubles with each
	// miss in a row, up to mostAskPause: a host that is cut off costs a step the time of a
	// question.
	askPause     = 200 * time.Millisecond
	mostAskPause = 3200 * time.Millisecond
	// mostDoublings keeps the doubling from running over.
	mostDoublings = 8
)

// consultation is the state of the questions to the advice service. The service works on
// one question of a host at a time, so they are spread over hosts, one under way on each.
type consultation struct {
	advisers []adviser
	// yield is the average part of the workers asked about that were allowed.
	yield float64
}

// adviser is one host that can ask the service.
type adviser struct {
	busy bool
	// next is when the next question may leave, misses how many in a row got no answer.
	next   unit.Instant
	misses int
}

// miss notes that a question got no answer.
func (a *adviser) miss(now unit.Instant) {
	a.next = now.Add(min(mostAskPause, askPause<<min(a.misses, mostDoublings)))
	a.misses++
}

// idle returns the number of a host that can ask now, or false if there is none.
func (c *consultation) idle(now unit.Instant) (int, bool) {
	for i, a := range c.advisers {
		if !a.busy && now >= a.next {
			return i, true
		}
	}
	return 0, false
}

// resize sets how many hosts can ask. One that is busy stays until its answer comes.
func (c *consultation) resize(n int) {
	for len(c.advisers) < n {
		c.advisers = append(c.advisers, adviser{})
	}
	for len(c.advisers) > n && !c.advisers[len(c.advisers)-1].busy {
		c.advisers = c.advisers[:len(c.advisers)-1]
	}
}

// learn takes an answer into the average yield.
func (c *consultation) learn(asked, allowed int) {
	c.yield += yieldWeight * (float64(allowed)/float64(asked) - c.yield)
}

// SetAdvisers sets how many hosts can ask the advice service.
func (d *Dispatcher) SetAdvisers(n int) { d.advice.resize(n) }

// consult asks the advice service about more workers for a step, if a host can ask now. A
// permit that runs out within the time ahead counts as none.
func (d *Dispatcher) consult(now unit.Instant, c candidate, ahead time.Duration) {
	advice := c.step.job.spec.Advice
	if !advice.Needed || c.step.asking {
		return
	}
	by, ok := d.advice.idle(now)
	if !ok {
		return
	}
	workers := c.askAbout(now, ahead, advice, d.advice.yield)
	if len(workers) == 0 {
		return
	}
	s := c.step
	a := Ask{Step: s.name(), Workers: workers, Adviser: by, Takes: advice.Takes(len(workers))}
	d.advice.advisers[by].busy, s.asking = true, true
	d.orders.Asks = append(d.orders.Asks, a)
	d.noteJob(EventAdviceAsked, now, s.job, fmt.Sprintf("step %s: %d workers", a.Step, len(workers)), a.Takes)
}

// askAbout returns the workers to ask about: as many as are likely to be enough, or as fit
// into twice the time of a question that names none. What is refused stays so, and a permit
// may still hold when a worker without room has some.
func (c *candidate) askAbout(now unit.Instant, ahead time.Duration, advice job.Advice, yield float64) []id.Worker {
	s := c.step
	need := s.step.Reserved()
	open := c.open(now, ahead)
	if len(open) == 0 || s.job.spec.Priority > 0 && !need.Fits(open[0].free()) {
		return nil // no use for work that isn't urgent while there is no room
	}
	var out []id.Worker
	expected := 0.0
	for _, w := range open[:min(askBatch, len(open))] {
		out = append(out, w.ID)
		room := w.free()
		if !need.Fits(room) {
			room = w.Capacity // urgent work may have it
		}
		expected += max(yield, leastYield) * float64(s.mostOn(room))
		enough := expected >= float64(len(c.waiting)+askSpare)
		if enough && advice.Takes(len(out)+1) > 2*advice.Decide {
			break
		}
	}
	return out
}

// open returns the workers for which the step has no permit that lasts for a time ahead:
// those with room first, and racks with most of them first, so that a gang finds its workers
// in one.
func (c *candidate) open(now unit.Instant, ahead time.Duration) []*worker {
	s := c.step
	need := s.step.Reserved()
	roomy := map[id.Rack]int{}
	var out []*worker
	for _, w := range c.possible {
		fits := need.Fits(w.free())
		if fits {
			roomy[w.Rack]++
		}
		if s.permitLasts(now, w, ahead) {
			continue
		}
		out = append(out, w)
	}
	slices.SortStableFunc(out, func(a, b *worker) int {
		return cmp.Or(
			-compareBools(need.Fits(a.free()), need.Fits(b.free())),
			-cmp.Compare(roomy[a.Rack], roomy[b.Rack]),
			cmp.Compare(a.Rack, b.Rack),
		)
	})
	return out
}

// name returns what the step is called in questions and notes.
func (s *stepState) name() job.StepID {
	return job.StepID{Job: s.job.id, Round: s.round, Step: s.index}
}

// stepOf returns the step of that name, or nil if its job isn't known any more.
func (d *Dispatcher) stepOf(name job.StepID) *stepState {
	js := d.jobs[name.Job]
	if js == nil {
		return nil
	}
	return js.steps[name.Round*len(js.spec.Steps)+name.Step]
}

// Advised takes in what became of a question to the advice service.
func (d *Dispatcher) Advised(now unit.Instant, res AskResult) {
	by := &d.advice.advisers[res.Ask.Adviser]
	by.busy = false
	s := d.stepOf(res.Ask.Step)
	if s != nil {
		s.asking = false
	}
	if res.Verdict != fleet.Carried {
		by.miss(now)
		d.note(Note{Event: EventAdviceMissed, Job: res.Ask.Step.Job, Why: res.Verdict.String(), Age: now.Sub(res.Sent)})
		return
	}
	by.misses = 0
	if s == nil {
		return
	}
	d.advice.learn(len(res.Ask.Workers), len(res.Permits))
	s.takePermits(now, res)
	why := fmt.Sprintf("step %s: %d of %d workers allowed", res.Ask.Step, len(res.Permits), len(res.Ask.Workers))
	d.note(Note{Event: EventAdviceTaken, Job: s.job.id, Why: why, Estimate: res.Valid, Age: now.Sub(res.Sent)})
}
