package route

import (
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

// AttemptEnded handles the end of an attempt. If the request has already been
// answered, it only frees the slot.
func (r *Router) AttemptEnded(now unit.Instant, res Result) {
	p := r.pools[res.Service]
	if p == nil {
		r.endOrphan(res)
		return
	}
	p.inFlight--
	if b := p.find(res.Backend); b != nil {
		b.ended(now, res, p.mayEject())
	}
	switch res.Outcome {
	case Busy:
		p.decreaseLimit(now)
	case Complete:
		p.recordAnswer(res.Took)
	}
	req := r.requests[res.Request]
	if req != nil && req.attemptInFlight == res.Number {
		req.attemptInFlight = 0
		r.resolve(now, p, req, res)
	}
	r.dispatch(now, p)
}

// endOrphan answers a request whose service was deleted while the request was
// in flight.
func (r *Router) endOrphan(res Result) {
	req := r.requests[res.Request]
	if req == nil || req.attemptInFlight != res.Number {
		return
	}
	req.attemptInFlight = 0
	req.mayHaveRun = req.mayHaveRun || res.Outcome == Broken
	if res.Outcome == Complete {
		r.answer(req, Reply{RelayedAttempt: res.Number, Ran: RanYes})
		return
	}
	r.refuse(req, CodeNoService, 0)
}

// resolve decides after the end of an attempt whether the request is answered,
// retried or queued again.
func (r *Router) resolve(now unit.Instant, p *pool, req *request, res Result) {
	if res.Outcome == Complete {
		r.answer(req, Reply{RelayedAttempt: res.Number, Ran: RanYes})
		return
	}
	if res.Outcome == Broken {
		req.mayHaveRun = true
		if now >= req.Deadline {
			r.answer(req, Reply{Code: CodeTimeout, Ran: RanUnknown, RetryAfter: time.Second})
			return
		}
		if req.Once {
			r.answer(req, Reply{Code: CodeInterrupted, Ran: RanUnknown})
			return
		}
	}
	requeue := res.Outcome == Busy
	if now < req.Deadline && p.budget.Spend() {
		if b := p.pick(now, r.rng, req.tried); b != nil {
			r.send(now, p, req, b)
			return
		}
		requeue = !req.mayHaveRun
	}
	if requeue && p.waiting.Push(req.Customer, req.weight, req) == nil {
		// The attempt didn't run, so the request may wait for a slot, and any
		// backend server may get it, also those tried before.
		req.tried = nil
		return
	}
	r.refuse(req, CodeNoBackend, time.Second)
}

// refuse answers a request with an error code. The answer says that the request
// did not run or, if an attempt of it may have run, that this is unknown.
func (r *Router) refuse(req *request, code Code, after time.Duration) {
	ran := RanNo
	if req.mayHaveRun || req.attemptInFlight != 0 {
		ran = RanUnknown
	}
	r.answer(req, Reply{Code: code, Ran: ran, RetryAfter: after})
}

// answer sends the final answer and drops the request.
func (r *Router) answer(req *request, rep Reply) {
	if rep.Ran == RanNo && (req.mayHaveRun || req.attemptInFlight != 0) {
		r.violations = append(r.violations, ErrRefusedAfterSend)
		rep.Ran = RanUnknown
	}
	if rep.Ran == RanNo {
		r.releaseKey(req)
	}
	rep.Request = req.ID
	delete(r.requests, req.ID)
	r.out.Replies = append(r.out.Replies, rep)
}
