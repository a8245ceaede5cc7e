package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestGangAcrossOwners plays the scripts of testdata/owners.
//
// One run of a gang of two used up both attempts of its job. A member had failed and was counted; the owner changed; the
// next one learned that the other member had failed in the same run ("task-ended", "failed", twice for run 1) and
// counted that too, since no record tells of which run the failures were.
func TestGangAcrossOwners(t *testing.T) {
	scripttest.EachIn(t, "owners", func(t *testing.T, text string) { newScript(t).run(text) })
}
