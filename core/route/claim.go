package route

import (
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// ClaimDecided handles the log's verdict on the claim of a request's idempotency
// key. A verdict of nil means that the claim was accepted.
func (r *Router) ClaimDecided(now unit.Instant, reqID id.Request, verdict error) {
	if c, ok := r.abandonedClaims[reqID]; ok {
		delete(r.abandonedClaims, reqID)
		if verdict == nil {
			c.Release = true
			r.out.Claims = append(r.out.Claims, c)
		}
		return
	}
	req := r.requests[reqID]
	if req == nil || !req.claimPending {
		return
	}
	req.claimPending = false
	if verdict != nil {
		// Another request holds the key and may have run.
		r.answer(req, Reply{Code: CodeKeyTaken, Ran: RanUnknown})
		return
	}
	r.enqueue(now, r.pools[req.Service], req)
}

// releaseKey releases a request's key if no attempt of the request can have run.
func (r *Router) releaseKey(req *request) {
	if req.Key == "" || !req.Once || req.mayHaveRun || req.attemptInFlight != 0 {
		return
	}
	c := Claim{Request: req.ID, Customer: req.Customer, Key: req.Key}
	if req.claimPending {
		r.abandonedClaims[req.ID] = c
		return
	}
	c.Release = true
	r.out.Claims = append(r.out.Claims, c)
}
