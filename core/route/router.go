package route

import (
	"errors"
	"math/rand/v2"
	"time"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// Errors that report a violated invariant of the router. Take returns them.
var (
	// ErrSentTwice reports that a request which must not be repeated would have
	// been sent again although an earlier attempt may have run. The new attempt is
	// suppressed.
	ErrSentTwice = errors.New("route: a request that must not be repeated would have been sent again")
	// ErrRefusedAfterSend reports that a request which may have run would have
	// been refused as not run. The answer says instead that it is unknown whether
	// the request ran.
	ErrRefusedAfterSend = errors.New("route: a request that may have run would have been refused as not run")
)

// request is a request without a final answer.
type request struct {
	Request
	weight int
	// sends counts the attempts that this host has sent.
	sends int
	// mayHaveRun is set if an attempt may have run although no complete answer
	// came.
	mayHaveRun bool
	// claimPending is set while the log decides on the claim of the key, until
	// claimDeadline at the latest.
	claimPending  bool
	claimDeadline unit.Instant
	// attemptInFlight is the number of the attempt in flight, 0 if there is
	// none.
	attemptInFlight int
	tried           []id.Backend
}

// Router routes the requests of one host. It is not safe for concurrent use.
type Router struct {
	rng      *rand.Rand
	pools    map[id.Service]*pool
	requests map[id.Request]*request
	// abandonedClaims holds the claims that had no verdict yet when their
	// requests were answered. Once accepted, they are released.
	abandonedClaims map[id.Request]Claim
	out             Actions
	violations      []error
}

// New returns a router without services. It uses rng for its random choices.
func New(rng *rand.Rand) *Router {
	return &Router{
		rng: rng, pools: map[id.Service]*pool{},
		requests: map[id.Request]*request{}, abandonedClaims: map[id.Request]Claim{},
	}
}

// InFlight returns the number of requests that have no final answer yet.
func (r *Router) InFlight() int { return len(r.requests) }

// Take returns and clears the actions to carry out and the invariant violations
// since the last call.
func (r *Router) Take() (Actions, []error) {
	out, violations := r.out, r.violations
	r.out, r.violations = Actions{}, nil
	return out, violations
}

// Configure applies the services of a configuration. Hosts is the number of
// entry hosts that share their slots and connections.
func (r *Router) Configure(c config.Config, hosts int) {
	for _, k := range config.SortedKeys(r.pools) {
		if _, ok := c.Services[k]; !ok {
			r.refuseWaiting(r.pools[k], CodeNoService)
			delete(r.pools, k)
		}
	}
	for k, s := range c.Services {
		p := r.pools[k]
		if p == nil {
			p = newPool()
			r.pools[k] = p
		}
		p.slots, p.timeout = s.Slots, s.Timeout
		p.maxPerBackend = max(1, min(s.Slots, s.Connections/max(hosts, 1)-1))
		if p.limit == 0 {
			p.limit = max(1, float64(s.Slots*len(p.backends)/max(hosts, 1)))
		}
		for _, d := range s.Drained {
			if b := p.find(d); b != nil {
				b.apply(leave)
			}
		}
	}
}

// Backends applies the list of backend servers of a service. The value in the
// list is false for a backend server that is leaving. The list may be out of
// date, so first-hand evidence that a backend server is leaving takes
// precedence over it for leavingMaxAge.
func (r *Router) Backends(now unit.Instant, service id.Service, list map[id.Backend]bool) {
	p := r.pools[service]
	if p == nil {
		return
	}
	var kept []*backend
	for _, b := range p.backends {
		if _, ok := list[b.id]; ok || b.inFlight > 0 {
			kept = append(kept, b)
		}
		if _, ok := list[b.id]; !ok {
			b.apply(leave)
		}
	}
	p.backends = kept
	for _, backendID := range config.SortedKeys(list) {
		b := p.find(backendID)
		if b == nil {
			b = &backend{id: backendID, state: backendChart.Start()}
			p.backends = append(p.backends, b)
			p.limit += float64(p.slots) / assumedHosts
		}
		switch {
		case !list[backendID]:
			b.apply(leave)
		case b.state == leaving && b.leavingSince == 0:
			b.apply(rejoin)
		case b.state == leaving && now.Sub(b.leavingSince) > leavingMaxAge:
			b.leavingDoubted = true
		}
	}
}

// assumedHosts is the assumed number of hosts that share the slots of a new
// backend server. It determines by how much a new backend server raises the
// limit. If the assumption is wrong, refusals and answers correct the limit
// later.
const assumedHosts = 4

// Arrive handles a new request of a customer with the given weight; a customer
// without a positive weight is unknown. logUp reports whether the log is
// available. A request that must run at most once and has an idempotency key is
// queued only after the log has accepted the claim of its key.
func (r *Router) Arrive(now unit.Instant, q Request, weight int, logUp bool) {
	p := r.pools[q.Service]
	req := &request{Request: q, weight: weight}
	if p == nil {
		r.refuse(req, CodeNoService, 0)
		return
	}
	if weight <= 0 {
		r.refuse(req, CodeNoCustomer, 0)
		return
	}
	if limit := now.Add(p.timeout); req.Deadline == 0 || req.Deadline > limit {
		req.Deadline = limit
	}
	r.requests[q.ID] = req
	if !q.Once || q.Key == "" {
		r.enqueue(now, p, req)
		return
	}
	if !logUp {
		r.refuse(req, CodeLogDown, 2*time.Second)
		return
	}
	req.claimPending, req.claimDeadline = true, min(now.Add(claimTimeout), req.Deadline.Add(-minTimeLeft))
	r.out.Claims = append(r.out.Claims, Claim{Request: q.ID, Customer: q.Customer, Key: q.Key})
}

// enqueue adds a request to the queue for a slot. It refuses the request if the
// estimated wait is too long for its deadline or if the queue is full.
func (r *Router) enqueue(now unit.Instant, p *pool, req *request) {
	if p == nil {
		r.refuse(req, CodeNoService, 0)
		return
	}
	wait := p.estimatedWait(req.Customer)
	if now.Add(wait+p.serviceTime) > req.Deadline {
		r.refuse(req, CodeTooLate, max(wait/2, time.Second))
		return
	}
	if err := p.waiting.Push(req.Customer, req.weight, req); err != nil {
		r.refuse(req, CodeQueueFull, max(wait, time.Second))
		return
	}
	r.dispatch(now, p)
}

// dispatch sends waiting requests as far as the limit and the free slots allow.
func (r *Router) dispatch(now unit.Instant, p *pool) {
	for p.waiting.Len() > 0 && p.inFlight < int(p.limit) {
		b := p.pick(now, r.rng, nil)
		if b == nil {
			if p.inFlight == 0 {
				r.refuseWaiting(p, CodeNoBackend)
			}
			return
		}
		req, _ := p.waiting.Pop()
		p.budget.Earn()
		r.send(now, p, req, b)
	}
}

// refuseWaiting refuses all waiting requests of a pool.
func (r *Router) refuseWaiting(p *pool, code Code) {
	for {
		req, ok := p.waiting.Pop()
		if !ok {
			return
		}
		r.refuse(req, code, time.Second)
	}
}

func (r *Router) send(_ unit.Instant, p *pool, req *request, b *backend) {
	if req.Once && req.mayHaveRun {
		r.violations = append(r.violations, ErrSentTwice)
		r.answer(req, Reply{Code: CodeInterrupted, Ran: RanUnknown})
		return
	}
	req.sends++
	req.attemptInFlight = req.sends
	req.tried = append(req.tried, b.id)
	b.inFlight++
	p.inFlight++
	r.out.Sends = append(r.out.Sends, Attempt{
		Request: req.ID, Service: req.Service, Number: req.sends, Backend: b.id, Deadline: req.Deadline,
	})
}

// CallerGone handles a caller that went away. Its request gets no answer; an
// attempt in flight still holds its slot until it ends.
func (r *Router) CallerGone(reqID id.Request) {
	req := r.requests[reqID]
	if req == nil {
		return
	}
	r.releaseKey(req)
	delete(r.requests, reqID)
	if p := r.pools[req.Service]; p != nil {
		p.waiting.RemoveFunc(func(x *request) bool { return x == req })
	}
}

// Tick answers the requests that have passed a deadline, and dispatches waiting
// ones, since the ejection of a backend server may have ended.
func (r *Router) Tick(now unit.Instant) {
	for _, k := range config.SortedKeys(r.pools) {
		p := r.pools[k]
		expired := p.waiting.RemoveFunc(func(x *request) bool { return now >= x.Deadline })
		for _, req := range expired {
			r.refuse(req, CodeTooLate, max(p.estimatedWait(req.Customer), time.Second))
		}
		r.dispatch(now, p)
	}
	for _, reqID := range config.SortedKeys(r.requests) {
		req := r.requests[reqID]
		switch {
		case req.claimPending && now >= req.claimDeadline:
			r.refuse(req, CodeLogDown, 2*time.Second)
		case req.attemptInFlight != 0 && now >= req.Deadline:
			r.answer(req, Reply{Code: CodeTimeout, Ran: RanUnknown, RetryAfter: time.Second})
		}
	}
}

const (
	// claimTimeout is how long a request waits for the log's verdict on its
	// key. The log usually answers in a tenth of that; if it doesn't, an early
	// refusal serves the caller better than a late answer.
	claimTimeout = 1500 * time.Millisecond
	// minTimeLeft is the time that must remain before a request's deadline when
	// the log accepts the claim of its key.
	minTimeLeft = 100 * time.Millisecond
)
