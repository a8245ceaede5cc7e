package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestEvacuation runs the scripts of testdata/evacuation, in which the operator
// evacuates a failure domain and opens it again.
//
// It guards against tasks that start in an evacuated domain later than the 5 s
// that the platform allows. That happened as long as the scheduler didn't read
// the operator's records of evacuations: with a single evacuation, 247 tasks
// started there too late, the first after 5.05 s; with other faults at the same
// time, 789.
func TestEvacuation(t *testing.T) {
	scripttest.EachIn(t, "evacuation", func(t *testing.T, text string) { newScript(t).run(text) })
}
