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
	// permitMargin is kept of a permit's time for the record of the placement and the
	// way of its order, about 30 ms, and for one repetition after resendAfter.
	permitMargin = 500 * time.Millisecond
	// permitAhead is how long before its end a permit is renewed while room is kept for
	// the step: the service's answer takes some 300 ms, and stops about a second.
	permitAhead = 1500 * time.Millisecond
	// askPause is the pause after a question that got no answer.
	askPause = 200 * time.Millisecond
)

// consultation is the state of the questions to the advice service. It works on one
// question of a host at a time, so questions are spread over hosts, one under way on each.
type consultation struct {
	advisers []adviser
	// yield is the average part of the workers asked about that were allowed.
	yield float64
}

// adviser is one host that can ask the service.
type adviser struct {
	busy bool
	// next is when the next question may leave.
	next unit.Instant
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

// SetAdvisers sets how many hosts can ask the advice service.
func (d *Dispatcher) SetAdvisers(n int) {
	for len(d.advice.advisers) < n {
		d.advice.advisers = append(d.advice.advisers, adviser{})
	}
	// One that is busy stays until its answer comes.
	for len(d.advice.advisers) > n && !d.advice.advisers[len(d.advice.advisers)-1].busy {
		d.advice.advisers = d.advice.advisers[:len(d.advice.advisers)-1]
	}
}

// learn takes an answer into the average.
func (c *consultation) learn(asked, allowed int) {
	c.yield += yieldWeight * (float64(allowed)/float64(asked) - c.yield)
}

// permit is what the advice service said of one step on one worker. The verdict itself
// doesn't change; the ticket must be renewed.
type permit struct {
	allowed bool
	ticket  string
	until   unit.Instant
}

// mayRunOn reports whether a step may be started on a worker now, as far as the advice
// service is concerned.
func (s *stepState) mayRunOn(now unit.Instant, w *worker) bool {
	if !s.job.spec.Advice.Needed {
		return true
	}
	return s.permitLasts(now, w, permitMargin)
}

// permitLasts reports whether the step's permit for a worker holds for so long.
func (s *stepState) permitLasts(now unit.Instant, w *worker, t time.Duration) bool {
	p := s.permits[w.ID]
	return p.allowed && now.Add(t) < p.until
}

// refusedOn reports whether the advice service has refused the step on a worker.
func (s *stepState) refusedOn(w *worker) bool {
	p, known := s.permits[w.ID]
	return known && !p.allowed
}

// permitted returns the workers on which the step may be started now.
func (s *stepState) permitted(now unit.Instant, workers []*worker) []*worker {
	if !s.job.spec.Advice.Needed {
		return workers
	}
	var out []*worker
	for _, w := range workers {
		if s.mayRunOn(now, w) {
			out = append(out, w)
		}
	}
	return out
}

// dropPermit forgets a ticket that a worker has refused.
func (s *stepState) dropPermit(w *worker) { delete(s.permits, w.ID) }

// consult asks the advice service about more workers for a step that found no room on
// those that it may run on for some time ahead.
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
	a := Ask{Step: job.StepID{Job: s.job.id, Round: s.round, Step: s.index}, Workers: workers, Adviser: by, Takes: advice.Takes(len(workers))}
	d.advice.advisers[by].busy, s.asking = true, true
	d.orders.Asks = append(d.orders.Asks, a)
	d.noteJob(EventAdviceAsked, now, s.job, fmt.Sprintf("step %s: %d workers", a.Step, len(workers)), a.Takes)
}

// askAbout returns the workers to ask about: those of which nothing is known or whose
// ticket has run out, racks with most room first, so that a gang finds its workers in one,
// and as many as are likely to be enough, or as fit into twice the time of a question that
// names none. Work that isn't urgent has no use for workers
// without room.
func (c *candidate) askAbout(now unit.Instant, ahead time.Duration, advice job.Advice, yield float64) []id.Worker {
	s := c.step
	need := s.step.Reserved()
	room := map[id.Rack]int{}
	var open []*worker
	for _, w := range c.possible {
		fits := need.Fits(w.free())
		if fits {
			room[w.Rack]++
		}
		if s.permitLasts(now, w, ahead) || !fits && s.job.spec.Priority > 0 {
			continue
		}
		open = append(open, w)
	}
	slices.SortStableFunc(open, func(a, b *worker) int {
		return cmp.Or(
			-compareBools(need.Fits(a.free()), need.Fits(b.free())),
			-cmp.Compare(room[a.Rack], room[b.Rack]),
			cmp.Compare(a.Rack, b.Rack),
		)
	})
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

// stepOf returns a step of a job, or nil if the job isn't known any more.
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
		by.next = now.Add(askPause)
		d.note(Note{Event: EventAdviceMissed, Job: res.Ask.Step.Job, Why: res.Verdict.String(), Age: now.Sub(res.Sent)})
		return
	}
	if s == nil {
		return
	}
	d.advice.learn(len(res.Ask.Workers), len(res.Permits))
	if s.permits == nil {
		s.permits = map[id.Worker]permit{}
	}
	for _, w := range res.Ask.Workers {
		s.permits[w] = permit{}
	}
	// The tickets count from when they were made, which is not before the question left.
	until := max(res.Sent, now.Add(-res.Ask.Takes)).Add(res.Valid)
	for _, p := range res.Permits {
		s.permits[p.Worker] = permit{allowed: true, ticket: p.Ticket, until: until}
	}
	why := fmt.Sprintf("step %s: %d of %d workers allowed", res.Ask.Step, len(res.Permits), len(res.Ask.Workers))
	d.note(Note{Event: EventAdviceTaken, Job: s.job.id, Why: why, Estimate: res.Valid, Age: now.Sub(res.Sent)})
}
