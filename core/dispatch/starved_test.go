package dispatch_test

import (
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/unit"
)

// TestGangBesideUrgentStarts guards against a gang that the window of starts never lets begin.
//
// Symptom: accepted work never begins, while a tenth of the room is in use.
// Sequence: answers to starts take 300 ms, so that the window of starts under way falls to its least,
// 24. Urgent tasks keep a few starts under way all the time. A gang of 40 waits; it is larger than what
// is free of the window, and may pass only while nothing is under way. It is never let through, and
// nothing behind it in the order of urgency is tried either.
// Cause: a gang that doesn't fit into the window waits for a moment without any start under way, and
// work that is more urgent than the gang needn't leave one.
// Settled by: after 60 s none of the 40 members and none of the 10 tasks behind them have begun, and 20
// urgent ones a second have; with answers within 200 ms all have ended within 20 s.
func TestGangBesideUrgentStarts(t *testing.T) {
	const (
		workers, gang, behind = 60, 40, 10
		urgentASecond, limit  = 20, 20
	)
	for _, trip := range []time.Duration{worldTrip, 300 * time.Millisecond} {
		t.Run(trip.String(), func(t *testing.T) {
			w := newFarWorld(t, workers, 0, trip)
			w.Run(2 * time.Second)
			for range 5 {
				w.urgentSecond(urgentASecond)
			}
			w.submitGang(1, gang, 1, time.Second)
			inGang := w.jobs
			w.submit(2, behind, 1, time.Second)
			after := w.jobs
			for range limit {
				w.urgentSecond(urgentASecond)
			}
			if got := w.DoneOf(jobName(inGang)); got != gang {
				t.Errorf("%d of the %d members of the gang have ended after %d s", got, gang, limit)
			}
			if got := w.DoneOf(jobName(after)); got != behind {
				t.Errorf("%d of the %d tasks behind it have ended after %d s", got, behind, limit)
			}
		})
	}
}

// urgentSecond lets a second pass in which so many urgent tasks come, evenly spread.
func (l *load) urgentSecond(n int) {
	for i := range n {
		l.Plan(time.Duration(i)*time.Second/time.Duration(n), func() { l.submit(0, 1, 1, 500*time.Millisecond) })
	}
	l.Run(time.Second)
}

// submitGang hands in a job of one gang.
func (l *load) submitGang(priority, count, gpus int, takes time.Duration) {
	l.submitStep(priority, takes, job.Step{
		Count: count, Gang: true, Estimate: takes, Need: job.Resources{CPU: 1000 * job.MilliCPU(gpus), Memory: unit.GiB, Accelerators: gpus},
	})
}
