package route

import (
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

// Ended takes in the end of an attempt. An attempt of a request that was answered
// already only frees its slot.
func (r *Router) Ended(now unit.Instant, res Result) {
	p := r.pools[res.Service]
	if p == nil {
		r.endOrphan(res)
		return
	}
	p.flying--
	if b := p.find(res.Backend); b != nil {
		b.ended(now, res, p.mayEject())
	}
	switch res.Outcome {
	case Busy:
		p.refused(now)
	case Whole:
		p.served(res.Took)
	}
	req := r.requests[res.Request]
	if req != nil && req.flying == res.Number {
		req.flying = 0
		r.resolve(now, p, req, res)
	}
	r.dispatch(now, p)
}

// endOrphan answers a request whose service was deleted while it was under way.
func (r *Router) endOrphan(res Result) {
	req := r.requests[res.Request]
	if req == nil || req.flying != res.Number {
		return
	}
	req.flying = 0
	req.unsure = req.unsure || res.Outcome == Broken
	if res.Outcome == Whole {
		r.answer(req, Reply{Relay: res.Number, Ran: RanYes})
		return
	}
	r.refuse(req, CodeNoService, 0)
}

// resolve decides what follows an attempt.
func (r *Router) resolve(now unit.Instant, p *pool, req *request, res Result) {
	if res.Outcome == Whole {
		r.answer(req, Reply{Relay: res.Number, Ran: RanYes})
		return
	}
	if res.Outcome == Broken {
		req.unsure = true
		if now >= req.Deadline {
			r.answer(req, Reply{Code: CodeTimeout, Ran: RanUnknown, RetryAfter: time.Second})
			return
		}
		if req.Once {
			r.answer(req, Reply{Code: CodeInterrupted, Ran: RanUnknown})
			return
		}
	}
	wait := res.Outcome == Busy
	if now < req.Deadline && p.budget.Spend() {
		if b := p.pick(now, r.rng, req.tried); b != nil {
			r.send(now, p, req, b)
			return
		}
		wait = !req.unsure
	}
	if wait && p.waiting.Push(req.Customer, req.weight, req) == nil {
		// Nothing ran; the request waits for a slot.
		req.tried = nil
		return
	}
	r.refuse(req, CodeNoBackend, time.Second)
}

// refuse answers that the request did not run. If it may have, the answer says
// unknown.
func (r *Router) refuse(req *request, code Code, after time.Duration) {
	ran := RanNo
	if req.unsure || req.flying != 0 {
		ran = RanUnknown
	}
	r.answer(req, Reply{Code: code, Ran: ran, RetryAfter: after})
}

// answer gives the request its final answer.
func (r *Router) answer(req *request, rep Reply) {
	if rep.Ran == RanNo && (req.unsure || req.flying != 0) {
		r.faults = append(r.faults, ErrRefusedAfterSend)
		rep.Ran = RanUnknown
	}
	if rep.Ran == RanNo {
		r.abandon(req)
	}
	rep.Request = req.ID
	delete(r.requests, req.ID)
	r.out.Replies = append(r.out.Replies, rep)
}
