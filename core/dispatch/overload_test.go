package dispatch_test

import (
	"testing"
	"time"
)

// TestSlowHost guards against overload of an owner whose host takes 20 ms to
// send an order, a tenth of the speed that its load needs. Every accepted task
// must end once, the starts must be at most twice the tasks, and urgent work
// that arrives during the backlog must not wait for it.
func TestSlowHost(t *testing.T) {
	w := newWorld(t, 48, 20*time.Millisecond)
	w.Run(2 * time.Second)
	for range 30 {
		w.submit(2, 12, 1, 2*time.Second)
	}
	w.Run(time.Second)
	before := w.Tally().Starts
	w.submit(0, 4, 1, time.Second)
	w.Run(4 * time.Second)
	if done := w.CompletedTasks(jobName(w.jobs)); done < 4 {
		t.Errorf("%d of 4 urgent tasks have ended 4 s after they arrived; %d other tasks were started meanwhile", done, w.Tally().Starts-before)
	}
	w.Run(30 * time.Second)
	if w.Tally().Done != w.accepted {
		t.Errorf("%d of %d tasks have ended", w.Tally().Done, w.accepted)
	}
	if w.Tally().Starts > 2*w.accepted {
		t.Errorf("%d starts for %d tasks", w.Tally().Starts, w.accepted)
	}
	w.check()
}
