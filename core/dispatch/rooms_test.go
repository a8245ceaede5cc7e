package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestRooms plays the scripts of testdata/rooms, in which a worker's room shrinks and grows while it runs.
//
// An order to start that had been decided by a worker's former room left all the same when its record was in the store, and was
// repeated when it got no answer: a worker that doesn't guard its room began a task past it.
func TestRooms(t *testing.T) {
	scripttest.EachIn(t, "rooms", func(t *testing.T, text string) { newScript(t).run(text) })
}
