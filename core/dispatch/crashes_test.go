package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestCrashes runs the scripts of testdata/crashes, in which workers crash
// under tasks.
//
// It guards against a task that crashes every worker it starts on and is
// restarted without end. The worker's next incarnation answers in its place,
// the run is given up (3.2 s after the start), and the task is placed on
// another worker at once. Only task ends that a worker reports use up attempts,
// and a worker that crashes reports none: before crashes were counted, one task
// was started 600 times on 8 workers within 1,200 steps, under a single owner
// as well as under a new owner for each start.
func TestCrashes(t *testing.T) {
	scripttest.EachIn(t, "crashes", func(t *testing.T, text string) { newScript(t).run(text) })
}
