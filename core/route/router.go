package route

import (
	"errors"
	"math/rand/v2"
	"time"

	"curlewsill.org/curlewsill/core/config"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/rank"
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

// Departed takes in a peer's evidence that a backend server leaves.
func (r *Router) Departed(now unit.Instant, d Departure) {
	p := r.pools[d.Service]
	if p == nil || d.Age >= trustLeaving {
		return
	}
	if b := p.find(d.Backend); b != nil {
		// The age goes with the evidence, or hosts would renew it among themselves.
		b.left = max(b.left, now.Add(-d.Age))
		b.apply(leave)
	}
}

// Departures returns the backend servers known at first hand to be leaving.
func (r *Router) Departures(now unit.Instant) []Departure {
	var out []Departure
	for _, k := range config.Sorted(r.pools) {
		for _, b := range r.pools[k].backends {
			if b.state == leaving && b.left != 0 && now.Sub(b.left) < trustLeaving {
				out = append(out, Departure{k, b.id, now.Sub(b.left)})
			}
		}
	}
	return out
}

// Probe asks the backend servers that this host looks after whether they take
// requests. Hosts are those that this host hears of, itself included; a host that
// hears of no other looks after all.
func (r *Router) Probe(now unit.Instant, self id.Host, hosts []id.Host) {
	for _, k := range config.Sorted(r.pools) {
		for _, b := range r.pools[k].backends {
			if b.state == leaving && !b.doubted || now.Sub(b.probed) < probeEvery {
				continue
			}
			b.probed = now
			if !b.doubted && rank.Of(self, string(b.id), hosts) >= probers {
				continue
			}
			r.out.Probes = append(r.out.Probes, Probe{k, b.id})
		}
	}
}

// Probed takes in the end of a probe.
func (r *Router) Probed(now unit.Instant, q Probe, o Outcome) {
	p := r.pools[q.Service]
	if p == nil {
		return
	}
	b := p.find(q.Backend)
	if b == nil {
		return
	}
	switch o {
	case Whole:
		if b.doubted {
			b.doubted = false
			b.apply(comeBack)
		}
	case Leaving:
		b.left, b.doubted = now, false
		b.apply(leave)
	case Unreached:
		if b.state == live {
			b.failed(now, p.mayEject())
		}
	}
}

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
