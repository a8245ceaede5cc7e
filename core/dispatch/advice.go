package dispatch

import (
	"cmp"
	"slices"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// askBatch is how many workers one question names. The service takes 100, but needs
	// time for each; the users count one question on 30 workers in a job's time.
	askBatch = 30
	// permitMargin is kept of a permit's time for the record of the placement and the
	// way of its order, about 30 ms, and for one repetition after resendAfter.
	permitMargin = 500 * time.Millisecond
	// askPause is the pause after a question that got no answer.
	askPause = 200 * time.Millisecond
)

// consultation is the state of the questions to the advice service. It works on one
// question of a host at a time, so one is under way at most.
type consultation struct {
	underWay bool
	// next is when the next question may leave.
	next unit.Instant
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
	p := s.permits[w.ID]
	return p.allowed && now.Add(permitMargin) < p.until
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
// those that it may run on.
func (d *Dispatcher) consult(now unit.Instant, c candidate, suited []*worker) {
	advice := c.step.job.spec.Advice
	if !advice.Needed || d.advice.underWay || now < d.advice.next {
		return
	}
	workers := c.askAbout(now, suited)
	if len(workers) == 0 {
		return
	}
	s := c.step
	a := Ask{Step: job.StepID{Job: s.job.id, Round: s.round, Step: s.index}, Workers: workers, Takes: advice.Takes(len(workers))}
	d.advice.underWay = true
	d.orders.Asks = append(d.orders.Asks, a)
	d.noteJob(EventAdviceAsked, now, s.job, a.Step.String(), a.Takes)
}

// askAbout returns the workers to ask about: those of which nothing is known or whose
// ticket has run out, racks with most room first, so that a gang finds its workers in one.
// Work that isn't urgent has no use for workers without room.
func (c *candidate) askAbout(now unit.Instant, suited []*worker) []id.Worker {
	s := c.step
	need := s.step.Reserved()
	room := map[id.Rack]int{}
	var open []*worker
	for _, w := range suited {
		fits := need.Fits(w.free())
		if fits {
			room[w.Rack]++
		}
		p, known := s.permits[w.ID]
		if known && !p.allowed || s.mayRunOn(now, w) || !fits && s.job.spec.Priority > 0 {
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
	out := make([]id.Worker, 0, askBatch)
	for _, w := range open[:min(askBatch, len(open))] {
		out = append(out, w.ID)
	}
	return out
}

// Advised takes in what became of a question to the advice service.
func (d *Dispatcher) Advised(now unit.Instant, res AskResult) {
	d.advice.underWay = false
	if res.Verdict != fleet.Carried {
		d.advice.next = now.Add(askPause)
		d.note(Note{Event: EventAdviceMissed, Job: res.Ask.Step.Job, Why: res.Verdict.String(), Age: now.Sub(res.Sent)})
		return
	}
	js := d.jobs[res.Ask.Step.Job]
	if js == nil {
		return
	}
	s := js.steps[res.Ask.Step.Round*len(js.spec.Steps)+res.Ask.Step.Step]
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
	d.note(Note{Event: EventAdviceTaken, Job: js.id, Why: res.Ask.Step.String(), Estimate: res.Valid, Age: now.Sub(res.Sent)})
}
