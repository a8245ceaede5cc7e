package dispatch_test

import (
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/world"
)

// TestStartsThatAreNeverAnswered guards against tasks that are bound to a worker which never takes them.
//
// Symptom: accepted work never begins although nearly all room is free.
// Sequence: a worker answers renewals, so that its lease is kept, but no order to start. A task is placed
// there; its order is repeated every 300 ms for as long as the worker lives, and the task is never
// placed elsewhere.
// Cause: a run whose order gets no answer is given up only when its worker's lease has lapsed.
// Settled by: 8 of 80 tasks, placed on one of ten workers, have not ended after 60 s and not after 120 s.
func TestStartsThatAreNeverAnswered(t *testing.T) {
	w := newWorld(t, 10, 0)
	w.Run(time.Second)
	if err := w.Strike(world.Fault{Kind: world.Mute, Share: 0.1, Lasts: time.Hour}); err != nil {
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
