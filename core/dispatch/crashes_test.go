package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestCrashes plays the scripts of testdata/crashes, in which workers end under tasks without a word.
//
// A task that crashed each worker that started it was started without end: its worker's next life answered in its place, the run was
// given up ("task-lost", "another life at its address", 3.2 s after the start), and the next one was placed in the same millisecond on
// another worker. Only ends that a worker lists used up attempts, and a worker that crashes lists none. 600 starts of one task
// on 8 workers in 1,200 steps, under one owner as under a new one for each start.
func TestCrashes(t *testing.T) {
	scripttest.EachIn(t, "crashes", func(t *testing.T, text string) { newScript(t).run(text) })
}
