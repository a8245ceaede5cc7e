package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestRooms runs the scripts of testdata/rooms, in which a worker's capacity
// shrinks and grows while tasks run on it.
//
// It guards against orders to start that were decided by a worker's former
// capacity. They were still sent when their record was in the store, and
// repeated when they got no answer, and a worker that doesn't check its
// capacity started a task beyond it.
func TestRooms(t *testing.T) {
	scripttest.EachIn(t, "rooms", func(t *testing.T, text string) { newScript(t).run(text) })
}
