package dispatch

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

const (
	// permitMargin is kept of a permit's validity for the record of the
	// placement and the transit of its order, about 30 ms, and for one
	// repetition after resendAfter.
	permitMargin = 500 * time.Millisecond
	// permitAhead is how long before its end a permit is renewed while room is
	// reserved for the step: the service's answer takes some 300 ms, and stops
	// take about a second.
	permitAhead = 1500 * time.Millisecond
)

// permit is the advice service's answer for one step on one worker. The verdict
// itself doesn't change, but the ticket expires and must be renewed.
type permit struct {
	allowed bool
	ticket  string
	until   unit.Instant
}

// takePermits stores an answer of the advice service. A worker that was asked
// about and has no permit in the answer is refused.
func (s *stepState) takePermits(now unit.Instant, res AskResult) {
	if s.permits == nil {
		s.permits = map[id.Worker]permit{}
	}
	for _, w := range res.Ask.Workers {
		s.permits[w] = permit{}
	}
	// The tickets are valid from when they were issued, which is not before the
	// question was sent.
	until := max(res.Sent, now.Add(-res.Ask.AnswerTime)).Add(res.ValidFor)
	for _, p := range res.Permits {
		s.permits[p.Worker] = permit{allowed: true, ticket: p.Ticket, until: until}
	}
}

// mayRunOn reports whether a step may be started on a worker now, as far as the
// advice service is concerned.
func (s *stepState) mayRunOn(now unit.Instant, w *worker) bool {
	if !s.job.spec.Advice.Needed {
		return true
	}
	return s.permitLasts(now, w, permitMargin)
}

// permitLasts reports whether the step's permit for a worker is valid for a
// time ahead.
func (s *stepState) permitLasts(now unit.Instant, w *worker, ahead time.Duration) bool {
	p := s.permits[w.ID]
	return p.allowed && now.Add(ahead) < p.until
}

// refusedOn reports whether the advice service has refused the step on a
// worker.
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

// dropPermit drops a ticket that a worker has refused.
func (s *stepState) dropPermit(w *worker) { delete(s.permits, w.ID) }
