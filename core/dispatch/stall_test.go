package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestStalls plays the scripts of testdata/stalls, in which runs make no progress.
//
// On a twelfth of the workers all tasks stood still for 5.8 s, while the workers answered. An urgent gang of eight had a member there in half of the
// cases and was left where it was: of 666 urgent jobs 13 took longer than 12 s instead of 3, and each of these but two ended only
// after its workers had to leave ("its worker leaves", some 8 s after its start).
func TestStalls(t *testing.T) {
	scripttest.EachIn(t, "stalls", func(t *testing.T, text string) { newScript(t).run(text) })
}
