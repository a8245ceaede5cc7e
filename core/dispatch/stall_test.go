package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestStalls runs the scripts of testdata/stalls, in which runs make no
// progress.
//
// It guards against urgent gangs that are left on workers where tasks stall.
// When all tasks on a twelfth of the workers stalled for 5.8 s while the
// workers kept answering, half of the urgent gangs of eight had a member on
// such a worker: of 666 urgent jobs, 13 instead of 3 took longer than 12 s. All
// but two of these ended only after their workers had to leave, some 8 s after
// the start.
func TestStalls(t *testing.T) {
	scripttest.EachIn(t, "stalls", func(t *testing.T, text string) { newScript(t).run(text) })
}
