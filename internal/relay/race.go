package relay

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// race is one call on its way over at most two ways.
type race struct {
	path *Path
	req  *http.Request
	// wait is how long the call may wait at its other end.
	wait time.Duration
	out  chan outcome
	// under counts the ways that are under way.
	under int
	// spare is set while the second way is not tried; spareDirect says which it is.
	spare, spareDirect bool
	// directSince and peerSince are when the ways were begun; zero for one that isn't under way.
	directSince, peerSince time.Time
}

// patience returns how long a way may take before the other one is tried as well.
func (r *race) patience() time.Duration { return r.wait + hedgeOf(r.req.Context()) }

// begin tries one way.
func (r *race) begin(direct bool) {
	r.under++
	*r.since(direct) = time.Now()
	go func() { r.out <- r.path.try(r.req, direct, r.wait) }()
}

// since returns when a way was begun.
func (r *race) since(direct bool) *time.Time {
	if direct {
		return &r.directSince
	}
	return &r.peerSince
}

// end notes that a way has ended.
func (r *race) end(o outcome) {
	r.under--
	r.path.learn(o)
	if !o.direct && !o.failed() {
		r.path.learnSilence(r)
	}
	*r.since(o.direct) = time.Time{}
}

// beginSpare tries the second way, unless it was tried or there is none.
func (r *race) beginSpare() {
	if r.spare {
		r.spare = false
		r.begin(r.spareDirect)
	}
}

// RoundTrip makes a call, by the way that it is bound to if there is one. Otherwise it
// returns the first answer that isn't a refusal: the second way is tried when the first one
// fails or is slow. If all fail, the answer that leaves the most doubt is returned.
func (p *Path) RoundTrip(req *http.Request) (*http.Response, error) {
	if w, bound := req.Context().Value(wayKey{}).(Way); bound {
		return p.by(req, w)
	}
	plan := p.plan()
	var arriving atomic.Bool
	req = req.WithContext(WithArrival(req.Context(), func() { arriving.Store(true) }))
	r := &race{path: p, req: req, wait: waitOf(req), out: make(chan outcome, 2), spare: plan.usePeers, spareDirect: !plan.directFirst}
	r.begin(plan.directFirst)
	if plan.probe {
		go p.probe(req, r.wait)
	}
	timer := time.NewTimer(r.patience())
	defer timer.Stop()
	var last outcome
	for {
		select {
		case <-timer.C:
			if !arriving.Load() { // a second copy would share a slow link with the first
				r.beginSpare()
			}
		case o := <-r.out:
			r.end(o)
			if !o.failed() {
				return o.resp, nil
			}
			last = worse(last, o)
			r.beginSpare()
			if r.under == 0 {
				return last.resp, last.err
			}
		case <-req.Context().Done():
			return nil, req.Context().Err()
		}
	}
}

// outcome is what became of one way of a call.
type outcome struct {
	resp   *http.Response
	err    error
	direct bool
}

// failed reports whether another way may do better.
func (o outcome) failed() bool {
	return o.err != nil || refuses(o.resp.StatusCode)
}

// doubt orders failed outcomes by how likely the call had its effect: surely not when
// nothing was sent or the other end refused, perhaps when there was no answer.
func (o outcome) doubt() int {
	var op *net.OpError
	switch {
	case o.err == nil && o.resp == nil:
		return 0
	case errors.Is(o.err, ErrNoPeer):
		return 1
	case errors.As(o.err, &op) && op.Op == "dial":
		return 2
	case o.err == nil:
		return 3
	}
	return 4
}

// worse returns the outcome that leaves more doubt: a call is surely without effect
// only if that is so on every way that was tried.
func worse(a, b outcome) outcome {
	if b.doubt() > a.doubt() {
		return b
	}
	return a
}
