package dispatch_test

import (
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
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

// TestStartRules checks until when an order that was decided may be sent.
//
// It guards against tasks that run twice. An order may wait in its host, which may
// be suspended meanwhile, until another host has taken over. The next owner waits
// only for orders that left within the time for which the previous one knew that
// it was the only owner.
func TestStartRules(t *testing.T) {
	d := dispatch.New(dispatch.Config{MaxLease: 10 * time.Second}, policy.New(), 1, jobtable.New())
	confirmed := unit.At(time.Unix(1000, 0))
	d.ConfirmSoleOwner(confirmed)
	r := d.StartRules()
	for after, denied := range map[time.Duration]bool{0: false, 3 * time.Second: false, 3*time.Second + 1: true, time.Minute: true} {
		if why := r.DenialReason(confirmed.Add(after), "a"); (why != "") != denied {
			t.Errorf("after %s an order is denied for %q, want denied %t", after, why, denied)
		}
	}
}
