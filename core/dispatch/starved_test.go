package dispatch_test

import (
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// TestGangBesideUrgentStarts guards against a gang that never starts because
// the window of pending starts never has room for it.
//
// Answers to starts take 300 ms, so that the window falls to its minimum of 24,
// and urgent tasks keep a few starts pending all the time. The gang of 40 is
// larger than the free part of the window. If it has to wait until no start is
// pending, it never starts, because more urgent work keeps starting, and
// neither does anything behind it.
//
// With the fault, neither the 40 members nor the 10 tasks behind them have
// begun after 60 s, while 20 urgent tasks a second have. With answers within
// 200 ms, all have ended within 20 s.
func TestGangBesideUrgentStarts(t *testing.T) {
	const (
		workers, gang, behind = 60, 40, 10
		urgentASecond, limit  = 20, 20
	)
	for _, trip := range []time.Duration{worldTrip, 300 * time.Millisecond} {
		t.Run(trip.String(), func(t *testing.T) {
			w := newWorldWithTrip(t, workers, 0, trip)
			w.Run(2 * time.Second)
			for range 5 {
				w.urgentSecond(urgentASecond)
			}
			w.submitGang(1, gang, 1, time.Second)
			gangJob := w.jobs
			w.submit(2, behind, 1, time.Second)
			behindJob := w.jobs
			for range limit {
				w.urgentSecond(urgentASecond)
			}
			if got := w.CompletedTasks(jobName(gangJob)); got != gang {
				t.Errorf("%d of the %d members of the gang have ended after %d s", got, gang, limit)
			}
			if got := w.CompletedTasks(jobName(behindJob)); got != behind {
				t.Errorf("%d of the %d tasks behind it have ended after %d s", got, behind, limit)
			}
		})
	}
}

// urgentSecond runs the simulation for a second. In that second n urgent tasks
// arrive at equal intervals.
func (l *loadWorld) urgentSecond(n int) {
	for i := range n {
		l.Schedule(time.Duration(i)*time.Second/time.Duration(n), func() { l.submit(0, 1, 1, 500*time.Millisecond) })
	}
	l.Run(time.Second)
}

// submitGang submits a job that is one gang.
func (l *loadWorld) submitGang(priority, count, gpus int, takes time.Duration) {
	l.submitStep(priority, takes, job.Step{
		Count: count, Gang: true, Estimate: takes, Need: job.Resources{CPU: 1000 * job.MilliCPU(gpus), Memory: unit.GiB, Accelerators: gpus},
	})
}
