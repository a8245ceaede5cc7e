package dispatch

import (
	"fmt"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/unit"
)

// TestFenceOutlastsOutage guards against an owner that gives way because a
// failure domain is unreachable.
//
// Failure: while many workers are unreachable, each owner in turn gives way
// after a few minutes, logging owner-fenced with "the fence can't be raised any
// more", and nothing is placed meanwhile. It came about because each lost
// renewal raised the fence, and an owner has a bounded number of raises.
func TestFenceOutlastsOutage(t *testing.T) {
	for _, verdict := range []fleet.Verdict{fleet.Unreachable, fleet.Unknown} {
		t.Run(verdict.String(), func(t *testing.T) { testFenceOutlastsOutage(t, verdict) })
	}
}

// testFenceOutlastsOutage lets all orders to workers with runs fail for ten
// minutes, with few raises left for each worker.
func testFenceOutlastsOutage(t *testing.T, verdict fleet.Verdict) {
	const workers, raisesEach, outage = 48, 12, 10 * time.Minute
	c := Config{MaxLease: 10 * time.Second, StopTime: 900 * time.Millisecond, CheckpointInterval: time.Second, EndedRetention: 2 * time.Minute}
	f := &failingFleet{t: t, d: New(c, policy.New(), 1, jobtable.New()), now: unit.At(time.Unix(1000, 0)), verdict: fleet.CarriedOut}
	step := job.Step{Count: workers, Need: job.Resources{Accelerators: 8}, Estimate: time.Hour}
	spec := job.Spec{Queue: "queue", Service: "svc", MaxAttempts: 4, Steps: []job.Step{step}}
	f.d.AddJob(f.now, "j1", &jobtable.Entry{Spec: &spec})
	for i := range workers {
		f.d.List(f.now, fleet.Listing{
			ID: fleet.IncarnationID(id.WorkerName(fmt.Sprintf("worker-%d", i)), 1), Address: fmt.Sprintf("address-%d", i), Service: "svc",
			Capacity: job.Resources{Accelerators: 8},
		})
	}
	f.run(time.Second)
	if got := f.d.placedRuns; got != workers {
		t.Fatalf("%d tasks are placed before the outage, want %d", got, workers)
	}
	f.d.lastFenceRevision = id.MaxFenceRevision - raisesEach*workers
	f.verdict = verdict
	f.run(outage)
	if f.d.Fenced() {
		t.Errorf("the owner gave way while %d workers were out of reach for %v, with %d raises left for each", workers, outage, raisesEach)
	}
}

// failingFleet answers all orders of a dispatcher with one verdict.
type failingFleet struct {
	t       *testing.T
	d       *Dispatcher
	now     unit.Instant
	verdict fleet.Verdict
}

// run makes scheduling passes for a duration. Each batch is committed, and each
// order answered, as soon as the pass has ended.
func (f *failingFleet) run(duration time.Duration) {
	const step = 100 * time.Millisecond
	for end := f.now.Add(duration); f.now < end; f.now = f.now.Add(step) {
		f.d.Pass(f.now, f.now)
		b, ok, err := f.d.Flush()
		if err != nil {
			f.t.Fatal(err)
		}
		if ok {
			f.d.Committed(f.now, b)
		}
		f.answer(f.d.TakeOrders())
		f.d.TakeNotes()
	}
}

// answer reports the verdict of orders. A worker that carries out a renewal
// lists all runs that were placed there.
func (f *failingFleet) answer(o Orders) {
	for _, x := range o.Starts {
		f.d.Started(f.now, StartResult{Start: x, Verdict: f.verdict})
	}
	for _, x := range o.Stops {
		f.d.Stopped(f.now, StopResult{Stop: x, Verdict: f.verdict})
	}
	for _, x := range o.Renews {
		rep := fleet.Report{Incarnation: x.Worker}
		for _, r := range f.d.workers[x.Worker].runs {
			rep.Running = append(rep.Running, fleet.Running{Task: r.task, Run: r.number})
		}
		f.d.Renewed(f.now, RenewResult{Renew: x, Sent: f.now, Verdict: f.verdict, Report: rep})
	}
}
