package relay

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// hedgedCall is one call in progress, on the direct path, through a peer, or
// both in parallel.
type hedgedCall struct {
	transport *Transport
	req       *http.Request
	// wait is how long the call may wait at the server.
	wait     time.Duration
	outcomes chan outcome
	// inFlight counts the paths on which the call is in flight.
	inFlight int
	// backupPending is set while the second path hasn't been tried;
	// backupDirect is set if that is the direct path.
	backupPending, backupDirect bool
	// directStart is when the call was started on the direct path, and
	// peerStart when it was started through a peer. Each is zero while the call
	// isn't in flight on that path.
	directStart, peerStart time.Time
}

// backupDelay returns how long the first path may take before the second is
// tried as well.
func (r *hedgedCall) backupDelay() time.Duration { return r.wait + hedgeOf(r.req.Context()) }

// start makes the call on one path.
func (r *hedgedCall) start(direct bool) {
	r.inFlight++
	*r.startOf(direct) = time.Now()
	go func() { r.outcomes <- r.transport.try(r.req, direct, r.wait) }()
}

// startOf returns a pointer to the start time of a path.
func (r *hedgedCall) startOf(direct bool) *time.Time {
	if direct {
		return &r.directStart
	}
	return &r.peerStart
}

// finish records the outcome of one path.
func (r *hedgedCall) finish(o outcome) {
	r.inFlight--
	r.transport.recordOutcome(o)
	if !o.direct && !o.failed() {
		r.transport.recordSilence(r)
	}
	*r.startOf(o.direct) = time.Time{}
}

// startBackup starts the second path unless it was started before or there is
// none.
func (r *hedgedCall) startBackup() {
	if r.backupPending {
		r.backupPending = false
		r.start(r.backupDirect)
	}
}

// RoundTrip implements http.RoundTripper. A call that is bound to a path by
// WithPath uses only that path. Any other call tries the second path when the
// first one fails or is slow, and returns the first answer that isn't a
// refusal. If both paths fail, RoundTrip returns the more uncertain outcome, so
// that a call that may have taken effect isn't reported as one that hasn't.
func (p *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if index, bound := req.Context().Value(pathKey{}).(PathIndex); bound {
		return p.callBound(req, index)
	}
	plan := p.plan()
	var responding atomic.Bool
	req = req.WithContext(WithArrivalHook(req.Context(), func() { responding.Store(true) }))
	r := &hedgedCall{transport: p, req: req, wait: waitOf(req), outcomes: make(chan outcome, 2), backupPending: plan.usePeers, backupDirect: !plan.directFirst}
	r.start(plan.directFirst)
	if plan.probe {
		go p.probe(req, r.wait)
	}
	timer := time.NewTimer(r.backupDelay())
	defer timer.Stop()
	var last outcome
	for {
		select {
		case <-timer.C:
			if !responding.Load() { // a second copy would share a slow link with the first
				r.startBackup()
			}
		case o := <-r.outcomes:
			r.finish(o)
			if !o.failed() {
				return o.resp, nil
			}
			last = moreUncertain(last, o)
			r.startBackup()
			if r.inFlight == 0 {
				return last.resp, last.err
			}
		case <-req.Context().Done():
			return nil, req.Context().Err()
		}
	}
}

// outcome is the result of a call on one path.
type outcome struct {
	resp   *http.Response
	err    error
	direct bool
}

// failed reports whether another path is worth trying.
func (o outcome) failed() bool {
	return o.err != nil || refuses(o.resp.StatusCode)
}

// uncertainty ranks failed outcomes by how likely the call took effect:
// certainly not if nothing was sent or the server refused, possibly if there
// was no answer.
func (o outcome) uncertainty() int {
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

// moreUncertain returns the outcome with the higher uncertainty: a call has
// certainly had no effect only if it had none on each path that was tried.
func moreUncertain(a, b outcome) outcome {
	if b.uncertainty() > a.uncertainty() {
		return b
	}
	return a
}
