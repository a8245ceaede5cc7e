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

// TestDroppedRenewal checks that an order that finds its queue full is logged,
// and that a dropped renewal isn't decided again at once.
//
// The outcome of a dropped renewal is reported as unknown. If that result
// doesn't contain a time of sending, the dispatcher decides the renewal again
// in each pass, up to 100 times a second for each worker instead of 2. Without
// a log line nothing shows why leases expire.
func TestDroppedRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwnerOf(t, &hangingWorkers{inFlight: map[string]int{}})
		core, lines := observer.New(zap.InfoLevel)
		o.host.log = zap.New(core)
		o.boxes.renewals = outbox.New[id.Worker](outbox.Limits{})
		o.core = dispatch.New(dispatch.Config{MaxLease: 6 * time.Second}, policy.New(), 1, jobtable.New())
		time.Sleep(time.Second) // the host started earlier
		o.core.List(o.host.now(), fleet.Listing{ID: "worker-0", Address: "worker-0", Service: "s"})
		decided := 0
		for range 10 {
			o.core.Pass(o.host.now(), o.host.now())
			orders := o.core.TakeOrders()
			decided += len(orders.Renews)
			o.enqueueOrders(t.Context(), orders)
			time.Sleep(passInterval)
		}
		if decided != 1 {
			t.Errorf("%d renewals were decided in 10 passes, want 1", decided)
		}
		if n := lines.FilterMessage("order-dropped").Len(); n != decided {
			t.Errorf("%d log lines for %d dropped orders", n, decided)
		}
	})
}
