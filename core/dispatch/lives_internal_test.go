package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/unit"
)

// TestForgetsEarlierLives guards against an owner whose passes take time in
// proportion to all workers that it ever knew.
//
// Workers crash or are replaced, and come back as new incarnations. If the
// earlier ones are never removed after their runs are given up and their leases
// have expired, every pass iterates over them, and every entry of the
// platform's list is compared with them: a pass over 350 idle workers took
// 0.013 ms with their first incarnations and 0.68 ms after 40 more of each.
func TestForgetsEarlierLives(t *testing.T) {
	const workers, incarnations = 48, 20
	c := Config{MaxLease: 10 * time.Second, StopTime: 900 * time.Millisecond, CheckpointInterval: time.Second, EndedRetention: 2 * time.Minute}
	d := New(c, policy.New(), 1, jobtable.New())
	now := unit.At(time.Unix(1000, 0))
	for incarnation := range incarnations {
		for i := range workers {
			d.List(now, fleet.Listing{
				ID: id.Worker(fmt.Sprintf("worker-%d-%d", i, incarnation)), Address: fmt.Sprintf("address-%d", i), Service: "svc",
				Capacity: job.Resources{CPU: 32000, Memory: unit.GiB, Accelerators: 8},
			})
		}
		d.Pass(now, now)
		for _, o := range d.TakeOrders().Renews {
			v := fleet.Unreachable // earlier incarnations don't answer
			if strings.HasSuffix(string(o.Worker), fmt.Sprintf("-%d", incarnation)) {
				v = fleet.CarriedOut
			}
			d.Renewed(now, RenewResult{Renew: o, Sent: now, Verdict: v})
		}
		now = now.Add(2 * c.MaxLease)
		d.Pass(now, now)
		d.TakeOrders()
	}
	if got := len(d.workersByID); got > 2*workers {
		t.Errorf("%d workers are known after %d incarnations of %d, of which %d are listed", got, incarnations, workers, workers)
	}
}
