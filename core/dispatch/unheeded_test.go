package dispatch_test

import (
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
)

// TestUnheededStop gives a task to a worker that answers renewals and no other
// orders.
//
// The run is ordered to stop after 4 s, and that order gets no answer either.
// The worker refuses late orders to start once their lease has expired, and
// reports no run. The test guards against an owner that nevertheless waits for
// the run as long as the worker answers.
func TestUnheededStop(t *testing.T) {
	s := newScript(t)
	s.run("worker w1\npass\n> renew w1 told 0\nrenew w1 carried\njob j1\npass 10ms\n> renew w1 told 0\nwrite\n> start j1.0.0.0 run 1 on w1")
	s.run("start j1.0.0.0 unknown\nrenew w1 carried\nworker w2")
	for range 400 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.d.Pass(s.now, s.now)
		s.write()
		o := s.d.TakeOrders()
		for _, x := range o.Starts {
			if x.Worker == "w2" {
				return
			}
			s.d.Started(s.now, dispatch.StartResult{Start: x, Verdict: fleet.Unknown})
		}
		for _, x := range o.Stops {
			s.d.Stopped(s.now, dispatch.StopResult{Stop: x, Verdict: fleet.Unknown})
		}
		for _, x := range o.Renews {
			s.d.Renewed(s.now, dispatch.RenewResult{Renew: x, Sent: s.now, Verdict: fleet.CarriedOut})
		}
	}
	t.Error("the task wasn't started elsewhere within 40 s")
}
