package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestGangAcrossOwners runs the scripts in testdata/owners.
//
// It guards against a gang of two that uses up both attempts of its job in one
// run. A member failed and was counted, then the owner changed. The next owner
// learned that the other member had failed in the same run (task-ended,
// "failed", twice for run 1) and counted that failure too, since no record said
// for which run a failure had been counted.
func TestGangAcrossOwners(t *testing.T) {
	scripttest.EachIn(t, "owners", func(t *testing.T, text string) { newScript(t).run(text) })
}
