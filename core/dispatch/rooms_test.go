package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestRooms runs the scripts of testdata/rooms, in which a worker's capacity
// shrinks and grows while tasks run on it.
//
// It guards against start orders that were decided before the worker's capacity
// shrank. Such an order was still sent once its record was in the store, and
// was repeated when it got no answer. A worker that doesn't check its capacity
// then started a task beyond it.
func TestRooms(t *testing.T) {
	scripttest.EachIn(t, "rooms", func(t *testing.T, text string) { newScript(t).run(text) })
}
