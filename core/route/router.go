package route

import (
	"errors"
	"math/rand/v2"
	"time"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// Errors of the router's invariants. A violated one is reported by Step's caller.
var (
	// ErrSentTwice reports that a request which must not be repeated would have
	// been sent a second time. The second sending is held back.
	ErrSentTwice = errors.New("route: request must not be repeated")
	// ErrRefusedAfterSend reports that a request that was sent would have been
	// refused as not run. The answer says unknown instead.
	ErrRefusedAfterSend = errors.New("route: a request that may have run is not refused")
)

// request is a request under way.
type request struct {
	Request
	weight int
	// sends counts the attempts that left this host.
	sends int
	// unsure is set if an attempt may have run although no answer came.
	unsure bool
	// claiming is set while the log decides on the key, until claimBy at the most.
	claiming bool
	claimBy  unit.Instant
	// flying is the number of the attempt under way, 0 if there is none.
	flying int
	tried  []id.Backend
}

// Router holds the requests under way of one host. It is not safe for concurrent
// use.
type Router struct {
	rng      *rand.Rand
	pools    map[id.Service]*pool
	requests map[id.Request]*request
	// abandoned lists claims whose requests were answered before the verdict.
	abandoned map[id.Request]Claim
	out       Actions
	faults    []error
}

// New returns a router without services. It draws its choices from rng.
func New(rng *rand.Rand) *Router {
	return &Router{
		rng: rng, pools: map[id.Service]*pool{},
		requests: map[id.Request]*request{}, abandoned: map[id.Request]Claim{},
	}
}

// Flying returns the number of requests that have no final answer yet.
func (r *Router) Flying() int { return len(r.requests) }

// Take returns what is to be done since the last call, and the invariants that
// were found violated.
func (r *Router) Take() (Actions, []error) {
	out, faults := r.out, r.faults
	r.out, r.faults = Actions{}, nil
	return out, faults
}

// Configure takes over the services of a configuration. Hosts is the number of
// entry hosts that share them.
func (r *Router) Configure(c config.Config, hosts int) {
	for _, k := range config.Sorted(r.pools) {
		if _, ok := c.Services[k]; !ok {
			r.flush(r.pools[k], CodeNoService)
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
		p.share = max(1, min(s.Slots, s.Connections/max(hosts, 1)-1))
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

// Backends takes over the list of backend servers of a service. The list lags, so
// first-hand evidence of leaving goes before it for a while.
func (r *Router) Backends(now unit.Instant, service id.Service, list map[id.Backend]bool) {
	p := r.pools[service]
	if p == nil {
		return
	}
	var kept []*backend
	for _, b := range p.backends {
		if _, ok := list[b.id]; ok || b.flying > 0 {
			kept = append(kept, b)
		}
		if _, ok := list[b.id]; !ok {
			b.apply(leave)
		}
	}
	p.backends = kept
	for _, name := range config.Sorted(list) {
		b := p.find(name)
		if b == nil {
			b = &backend{id: name, state: backendChart.Start()}
			p.backends = append(p.backends, b)
			p.limit += float64(p.slots) / hostsGuess
		}
		switch {
		case !list[name]:
			b.apply(leave)
		case b.state == leaving && b.left == 0:
			b.apply(comeBack)
		case b.state == leaving && now.Sub(b.left) > trustLeaving:
			b.doubted = true
		}
	}
}

// hostsGuess is the number of hosts among which a new backend server's slots are
// taken to be shared until refusals tell more.
const hostsGuess = 4

// Arrive takes in a request.
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
	req.claiming, req.claimBy = true, min(now.Add(claimWait), req.Deadline.Add(-leftOver))
	r.out.Claims = append(r.out.Claims, Claim{Request: q.ID, Customer: q.Customer, Key: q.Key})
}

// enqueue lets a request wait for a slot, unless it couldn't be answered in time.
func (r *Router) enqueue(now unit.Instant, p *pool, req *request) {
	if p == nil {
		r.refuse(req, CodeNoService, 0)
		return
	}
	wait := p.wait(req.Customer)
	if now.Add(wait+p.took) > req.Deadline {
		r.refuse(req, CodeTooLate, max(wait/2, time.Second))
		return
	}
	if err := p.waiting.Push(req.Customer, req.weight, req); err != nil {
		r.refuse(req, CodeQueueFull, max(wait, time.Second))
		return
	}
	r.dispatch(now, p)
}

// dispatch sends waiting requests as far as the limit and the slots allow.
func (r *Router) dispatch(now unit.Instant, p *pool) {
	for p.waiting.Len() > 0 && p.flying < int(p.limit) {
		b := p.pick(now, r.rng, nil)
		if b == nil {
			if p.flying == 0 {
				r.flush(p, CodeNoBackend)
			}
			return
		}
		req, _ := p.waiting.Pop()
		p.budget.Earn()
		r.send(now, p, req, b)
	}
}

// flush refuses everything that waits.
func (r *Router) flush(p *pool, code Code) {
	for {
		req, ok := p.waiting.Pop()
		if !ok {
			return
		}
		r.refuse(req, code, time.Second)
	}
}

func (r *Router) send(_ unit.Instant, p *pool, req *request, b *backend) {
	if req.Once && req.unsure {
		r.faults = append(r.faults, ErrSentTwice)
		r.answer(req, Reply{Code: CodeInterrupted, Ran: RanUnknown})
		return
	}
	req.sends++
	req.flying = req.sends
	req.tried = append(req.tried, b.id)
	b.flying++
	p.flying++
	r.out.Sends = append(r.out.Sends, Attempt{
		Request: req.ID, Service: req.Service, Number: req.sends, Backend: b.id, Deadline: req.Deadline,
	})
}

// Gone takes in that the caller went away. The request gets no answer; an attempt
// under way still holds its slot until it ends.
func (r *Router) Gone(name id.Request) {
	req := r.requests[name]
	if req == nil {
		return
	}
	r.abandon(req)
	delete(r.requests, name)
	if p := r.pools[req.Service]; p != nil {
		p.waiting.RemoveFunc(func(x *request) bool { return x == req })
	}
}

// Tick answers what has run out of time.
func (r *Router) Tick(now unit.Instant) {
	for _, k := range config.Sorted(r.pools) {
		p := r.pools[k]
		late := p.waiting.RemoveFunc(func(x *request) bool { return now >= x.Deadline })
		for _, req := range late {
			r.refuse(req, CodeTooLate, max(p.wait(req.Customer), time.Second))
		}
		r.dispatch(now, p)
	}
	for _, name := range config.Sorted(r.requests) {
		req := r.requests[name]
		switch {
		case req.claiming && now >= req.claimBy:
			r.refuse(req, CodeLogDown, 2*time.Second)
		case req.flying != 0 && now >= req.Deadline:
			r.answer(req, Reply{Code: CodeTimeout, Ran: RanUnknown, RetryAfter: time.Second})
		}
	}
}

const (
	// claimWait is how long a request waits for its key. The log usually answers
	// in a tenth of that; when it doesn't, an early refusal serves the caller best.
	claimWait = 1500 * time.Millisecond
	// leftOver is the time that a request must have left when its key is granted.
	leftOver = 100 * time.Millisecond
)
