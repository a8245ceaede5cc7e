package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/unit"
)

// testClock is Go's monotonic clock, which synctest controls, plus simulated
// suspensions.
type testClock struct {
	start     time.Time
	suspended time.Duration
}

func newTestClock() *testClock { return &testClock{start: time.Now()} }

func (c *testClock) Now() unit.Instant {
	return unit.At(c.start).Add(time.Since(c.start) + c.suspended)
}

func (c *testClock) Suspended() time.Duration { return c.suspended }

// TestOwnerSuspended suspends the machine of an owner for 10 s.
//
// Go's monotonic clock stops while a machine is suspended. An owner that
// measures the age of its assurance by that clock would keep extending leases
// and starting tasks after a suspension, although another host may have claimed
// meanwhile: an assurance that seems 0.2 s old is 10.2 s old, although an
// assurance is valid for 3 s only.
func TestOwnerSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwnerOf(t, &hangingWorkers{inFlight: map[string]int{}})
		clock := newTestClock()
		core, lines := observer.New(zap.InfoLevel)
		o.host.log, o.host.clock = zap.New(core), clock
		o.core = dispatch.New(dispatch.Config{MaxLease: 10 * time.Second}, policy.New(), 1, jobtable.New())
		o.host.assure(o.host.now())
		o.core.List(o.host.now(), fleet.Listing{ID: "w", Address: "w", Service: "s", Capacity: job.Resources{Accelerators: 8}})
		pass := func() dispatch.Orders {
			time.Sleep(200 * time.Millisecond)
			o.host.noteSuspension()
			o.core.ConfirmSoleOwner(o.host.assured)
			o.core.Pass(o.host.now(), o.host.now())
			return o.core.TakeOrders()
		}
		first := pass().Renews[0]
		o.core.Renewed(o.host.now(), dispatch.RenewResult{Renew: first, Sent: o.host.now(), Verdict: fleet.CarriedOut})
		spec := &job.Spec{Service: "s", MaxAttempts: 1, Steps: []job.Step{{Count: 1, Need: job.Resources{Accelerators: 1}}}}
		clock.suspended = 10 * time.Second
		o.core.AddJob(o.host.now(), "j", &jobtable.Entry{Spec: spec})
		pass()
		if b, some, err := o.core.Flush(); some || err != nil {
			t.Errorf("%d records were decided on an assurance from before the suspension, %v", len(b.Jobs)+len(b.Progress), err)
		}
		withheld := false
		for _, n := range o.core.TakeNotes() {
			withheld = withheld || n.Event == dispatch.EventLeasesWithheld
		}
		if !withheld {
			t.Error("leases are extended after the suspension")
		}
		if lines.FilterMessage("suspended").Len() != 1 {
			t.Errorf("%d log lines for the suspension, want 1", lines.FilterMessage("suspended").Len())
		}
		o.host.assure(o.host.now()) // as by a read of the jobs after the suspension
		pass()
		if _, some, err := o.core.Flush(); !some || err != nil {
			t.Error("nothing is decided after a new assurance", err)
		}
	})
}
