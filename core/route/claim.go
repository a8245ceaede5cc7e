package route

import (
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// Claimed takes in the verdict on a claim.
func (r *Router) Claimed(now unit.Instant, name id.Request, verdict error) {
	if c, ok := r.abandoned[name]; ok {
		delete(r.abandoned, name)
		if verdict == nil {
			c.Release = true
			r.out.Claims = append(r.out.Claims, c)
		}
		return
	}
	req := r.requests[name]
	if req == nil || !req.claiming {
		return
	}
	req.claiming = false
	if verdict != nil {
		// Another request holds the key and may have run.
		r.answer(req, Reply{Code: CodeKeyTaken, Ran: RanUnknown})
		return
	}
	r.enqueue(now, r.pools[req.Service], req)
}

// abandon gives the key of a request back if nothing was sent under it.
func (r *Router) abandon(req *request) {
	if req.Key == "" || !req.Once || req.unsure || req.flying != 0 {
		return
	}
	c := Claim{Request: req.ID, Customer: req.Customer, Key: req.Key}
	if req.claiming {
		r.abandoned[req.ID] = c
		return
	}
	c.Release = true
	r.out.Claims = append(r.out.Claims, c)
}
