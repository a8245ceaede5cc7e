package entry

import (
	"context"
	"time"

	"curlewsill.org/curlewsill/core/unit"
)

const (
	// passEvery is the least time between two passes over the owner's state;
	// what happens meanwhile is decided together. Measured: docs/design/07-worth.md.
	passEvery = 5 * time.Millisecond
	// idleEvery is the time between two passes when nothing happens.
	idleEvery = 200 * time.Millisecond
	// passShare times what a pass took is how long events are taken in before the next one.
	// Without it a pass that takes longer than passEvery follows on every event: with 1,000
	// waiting tasks and a fifth of a core 7 ms each, so that answers wait for seconds and
	// leases run out.
	passShare = 3
)

// decide applies events and passes over the state until ctx is done.
func (h *Host) decide(ctx context.Context) {
	h.deciding.Store(true)
	defer h.deciding.Store(false)
	timer := time.NewTimer(idleEvery)
	defer timer.Stop()
	next := h.now()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-h.events.C():
			e(h.now())
			if wait := next.Sub(h.now()); wait > 0 {
				timer.Reset(wait)
				continue
			}
		case <-timer.C:
		}
		began := h.now()
		h.pass(ctx, began)
		next = nextPass(began, h.now())
		timer.Reset(idleEvery)
	}
}

// nextPass returns when the pass after one that began and ended at these times is due.
func nextPass(began, ended unit.Instant) unit.Instant {
	return max(began.Add(passEvery), ended.Add(passShare*ended.Sub(began)))
}

// pass does what is due.
func (h *Host) pass(ctx context.Context, now unit.Instant) {
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
