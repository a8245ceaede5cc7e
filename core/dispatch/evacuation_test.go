package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/scripttest"
)

// TestEvacuation plays the scripts of testdata/evacuation, in which the operator evacuates a failure domain and takes that back.
//
// Nothing read the operator's records of evacuations: on a day with one evacuation 247 tasks began in its domain from 5.05 s after it was
// asked for on, on a day of trouble beside it 789. The platform allows none after 5 s.
func TestEvacuation(t *testing.T) {
	scripttest.EachIn(t, "evacuation", func(t *testing.T, text string) { newScript(t).run(text) })
}
