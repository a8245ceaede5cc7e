package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestReborn runs the scripts of testdata/reborn, in which workers restart
// under their names.
//
// It guards against an owner that ignores the task ends of a restarted worker.
// The next incarnation numbers its ends from 1, and the owner skipped all up to
// the last number of the previous one. Five runs on a restarted worker were not
// reported within 21 s, although such tasks take 7 s. On another one, ten runs
// vanished 7.4 s after its restart, when the numbers had caught up, and their
// tasks were started again, one of them 1.3 s after it was done.
func TestReborn(t *testing.T) {
	scripttest.EachIn(t, "reborn", func(t *testing.T, text string) { newScript(t).run(text) })
}
