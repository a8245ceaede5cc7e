package entry

import (
	"context"
	"time"

	"curlewsill.org/curlewsill/core/unit"
	"curlewsill.org/curlewsill/internal/ring"
)

const (
	// passInterval is the minimum time between two passes over the owner's
	// state; events that arrive in between are handled by one pass.
	passInterval = 5 * time.Millisecond
	// idlePassInterval is the time between two passes when no events arrive.
	idlePassInterval = 200 * time.Millisecond
	// passRestFactor times the duration of a pass is how long events are
	// handled before the next pass. Without this pause, a pass that takes
	// longer than passInterval would follow every event, so that workers'
	// answers would wait for seconds and leases would expire.
	passRestFactor = 3
	// maxPassRest limits the pause that passRestFactor gives. Otherwise, if the
	// process stalled during a pass, the pause would last three times as long
	// as the stall. Only passes send renewals, so none would be sent during the
	// pause, and the leases of 6 s would expire. A worker holds a renewal back
	// for up to 2 s; together with this limit that is less than the 3.5 s after
	// which a worker counts as silent.
	maxPassRest = time.Second
)

// decide handles events and runs passes over the state until ctx is done.
func (h *Host) decide(ctx context.Context) {
	h.deciding.Store(true)
	defer h.deciding.Store(false)
	decideEach(ctx, h.events, h.now, func(now unit.Instant) { h.pass(ctx, now) })
}

// decideEach handles events as they arrive and runs a pass when one is due,
// until ctx is done.
func decideEach(ctx context.Context, events *ring.Ring[event], now func() unit.Instant, pass func(unit.Instant)) {
	timer := time.NewTimer(idlePassInterval)
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
		timer.Reset(idlePassInterval)
	}
}

// nextPass returns when the next pass is due. began and ended are the start and
// the end of the previous pass.
func nextPass(began, ended unit.Instant) unit.Instant {
	rest := min(maxPassRest, passRestFactor*ended.Sub(began))
	return max(began.Add(passInterval), ended.Add(rest))
}

// pass runs the owner's scheduling pass, or claims the ownership if this host
// should.
func (h *Host) pass(ctx context.Context, now unit.Instant) {
	h.noteSuspension()
	h.followOutages(now)
	h.ready.Store(h.catalog.Load() != nil && !h.stopping.Load())
	h.updateFollowing(now)
	if h.owner != nil {
		h.owner.pass(ctx, now)
		h.yield(ctx, now)
		return
	}
	if !h.claiming && h.mayClaim(now) {
		h.prepareClaim(ctx)
	}
}
