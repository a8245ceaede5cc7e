package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestReborn plays the scripts of testdata/reborn, in which workers begin again under their names.
//
// A worker's next life numbered its ends from 1, and the owner passed over those up to the last number of the life before. Of five runs on a worker that
// had begun again nothing was told in 21 s, although such tasks take 7 s; on another one ten runs vanished 7.4 s after it had begun, in the
// moment in which the numbers had caught up, and their tasks were started again, one of them 1.3 s after it was done.
func TestReborn(t *testing.T) {
	scripttest.EachIn(t, "reborn", func(t *testing.T, text string) { newScript(t).run(text) })
}
