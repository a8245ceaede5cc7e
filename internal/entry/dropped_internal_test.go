package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/internal/outbox"
)

// TestDroppedRenewal checks that an order for which there is no room is told in the log, and that a
// renewal isn't decided anew at once.
//
// Symptom: an owner whose orders find no room to wait decides the same renewals in each pass, and no
// line of its log tells why leases run out. Sequence: the box is full; a renewal's result is that its
// fate is unknown, as if it had left when the host began. Cause: the result had no time, and only a
// counter took note. Figures: 100 renewals a second for each worker instead of 2.
func TestDroppedRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwnerOf(t, &hangingWorkers{under: map[string]int{}})
		core, lines := observer.New(zap.InfoLevel)
		o.host.log = zap.New(core)
		o.boxes.renewals = outbox.New[id.Worker](outbox.Limits{})
		o.core = dispatch.New(dispatch.Config{MaxLease: 6 * time.Second}, policy.New(), 1, jobtable.New())
		time.Sleep(time.Second) // the host began before
		o.core.List(o.host.now(), fleet.Listing{ID: "worker-0", Address: "worker-0", Service: "s"})
		decided := 0
		for range 10 {
			o.core.Pass(o.host.now(), o.host.now())
			orders := o.core.Take()
			decided += len(orders.Renews)
			o.deliver(t.Context(), orders)
			time.Sleep(passEvery)
		}
		if decided != 1 {
			t.Errorf("%d renewals were decided in 10 passes, want 1", decided)
		}
		if n := lines.FilterMessage("order-dropped").Len(); n != decided {
			t.Errorf("%d lines tell of %d orders that were dropped", n, decided)
		}
	})
}
