package dispatch_test

import (
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/world"
)

// TestStartsThatAreNeverAnswered guards against tasks that stay bound to a
// worker that never accepts them, while nearly all room is free.
//
// The worker answers renewals, so that its lease is kept, but no order to
// start. If a run whose orders get no answer is given up only when its worker's
// lease has expired, the order is repeated every 300 ms for as long as the
// worker lives, and the task is never placed elsewhere: 8 of 80 tasks, placed
// on one of ten workers, had not ended after 120 s.
func TestStartsThatAreNeverAnswered(t *testing.T) {
	w := newWorld(t, 10, 0)
	w.Run(time.Second)
	if err := w.Inject(world.Fault{Kind: world.Mute, Share: 0.1, Duration: time.Hour}); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		w.submit(1, 8, 1, time.Second)
	}
	w.Run(30 * time.Second)
	if w.Tally().Done != w.accepted {
		t.Errorf("%d of %d tasks have ended", w.Tally().Done, w.accepted)
	}
}
