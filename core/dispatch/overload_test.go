package dispatch_test

import (
	"testing"
	"time"
)

// TestSlowHost plays an owner whose host sends an order in 20 ms, a tenth of the speed that its load
// asks for. Every accepted task must end once, no task may be started twice as often as needed, and
// urgent work that arrives into the backlog must not wait behind it.
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
	if done := w.DoneOf(jobName(w.jobs)); done < 4 {
		t.Errorf("%d of 4 urgent tasks have ended 4 s after they came; %d others began meanwhile", done, w.Tally().Starts-before)
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
