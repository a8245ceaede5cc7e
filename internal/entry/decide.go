package entry

import (
	"context"
	"time"

	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/ring"
)

const (
	// passEvery is the least time between two passes over the owner's state;
	// what happens meanwhile is decided together.
	passEvery = 5 * time.Millisecond
	// idleEvery is the time between two passes when nothing happens.
	idleEvery = 200 * time.Millisecond
	// passShare times what a pass took is how long events are taken in before the next one.
	// Without it a pass that takes longer than passEvery follows on every event, so that answers
	// wait for seconds and leases run out.
	passShare = 3
	// longestPause bounds that: a pass in which the process stood still would else silence the
	// owner, whose renewals leave in passes only, for three times as long, beyond the leases of 6 s.
	// With a renewal that waits 2 s at its worker it is less than the 3.5 s after which a worker
	// counts as silent.
	longestPause = time.Second
)

// decide applies events and passes over the state until ctx is done.
func (h *Host) decide(ctx context.Context) {
	h.deciding.Store(true)
	defer h.deciding.Store(false)
	decideEach(ctx, h.events, h.now, func(now unit.Instant) { h.pass(ctx, now) })
}

// decideEach applies events as they come and makes a pass when one is due, until ctx is done.
func decideEach(ctx context.Context, events *ring.Ring[event], now func() unit.Instant, pass func(unit.Instant)) {
	timer := time.NewTimer(idleEvery)
	defer timer.Stop()
	next := now()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-events.C():
			e(now())
			if wait := next.Sub(now()); wait > 0 {
				timer.Reset(wait)
				continue
			}
		case <-timer.C:
		}
		began := now()
		pass(began)
		next = nextPass(began, now())
		timer.Reset(idleEvery)
	}
}

// nextPass returns when the pass after one that began and ended at these times is due.
func nextPass(began, ended unit.Instant) unit.Instant {
	rest := min(longestPause, passShare*ended.Sub(began))
	return max(began.Add(passEvery), ended.Add(rest))
}

// pass does what is due.
func (h *Host) pass(ctx context.Context, now unit.Instant) {
	h.noteSuspension()
	h.ready.Store(h.loaded && h.catalog.Load() != nil && !h.stopping.Load())
	if h.owner != nil {
		h.owner.pass(ctx, now)
		h.yield(ctx, now)
		return
	}
	if !h.claiming && h.mayClaim(now) {
		h.prepareClaim(ctx)
	}
}
