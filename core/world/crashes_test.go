package world_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestCrashes plays the scripts of testdata/crashes, in which tasks crash the workers that start them.
//
// A task that crashed each worker that started it was started again without end, for as long as its job was there: 35 runs in
// 115 s, one every 3.3 s, each on another worker. A worker that crashes lists no end of what ran there, and only ends that are listed used
// up attempts; the run was lost when the worker's next life answered ("task-lost", "another life at its address"), and the
// next one was placed in the same millisecond. It was so under one owner and over several.
func TestCrashes(t *testing.T) {
	scripttest.EachIn(t, "crashes", func(t *testing.T, text string) { (&player{t: t}).run(text) })
}
