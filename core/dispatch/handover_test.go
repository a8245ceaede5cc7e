package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestHandovers runs the scripts of testdata/handovers, in which an owner tells the next
// one what the store doesn't have.
//
// It guards against tasks that are done again or stand still after a change of the
// owner, and against use of what no longer holds: leases that others have granted
// since, and ends that are known already.
func TestHandovers(t *testing.T) {
	scripttest.EachIn(t, "handovers", func(t *testing.T, text string) { newScript(t).run(text) })
}
