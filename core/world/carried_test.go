package world_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/world"
)

// TestCarriedOver runs the scripts of testdata/carried. In each, a copy of a
// start order gets no answer and spends seconds in the network. The worker
// restarts under its name meanwhile, and its next incarnation carries the copy
// out before it has seen a fence.
//
// It guards against tasks that run twice, or start again after their ends were
// acknowledged.
func TestCarriedOver(t *testing.T) {
	scripttest.EachIn(t, "carried", func(t *testing.T, text string) {
		p := &scriptRunner{t: t, reportStart: true, changeSetup: func(s *world.Setup) { s.Delivery = world.OnTheWay }}
		p.run(text)
	})
}
