package world_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestCrashes runs the scripts of testdata/crashes, in which tasks crash the
// workers that start them.
//
// It guards against a task that crashes each worker and is started again
// without end, as long as its job exists: 35 runs in 115 s, each on another
// worker. A crashed worker reports no end for its runs, but only reported ends
// used up attempts. A run was recorded as lost when the worker's next
// incarnation answered ("task-lost", "another life at its address"), and the
// next run was placed at once. This happened under one owner as well as across
// several.
func TestCrashes(t *testing.T) {
	scripttest.EachIn(t, "crashes", func(t *testing.T, text string) { (&scriptRunner{t: t}).run(text) })
}
