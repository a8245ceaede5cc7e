package dispatch_test

import (
	"testing"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
)

// TestAnswerToForgotten lists a worker again that was removed while a renewal
// to it was in flight.
//
// It guards against taking the answer to that renewal for an answer to the
// renewal sent after the worker was listed again. From then on two renewals
// were in flight, and the verdict on one was applied to the lease of the other.
func TestAnswerToForgotten(t *testing.T) {
	s := newScript(t)
	s.run("worker w1\npass\n> renew w1 told 0\nrenew w1 unreachable\npass 11s\n> renew w1 told 0")
	earlier, sent := s.renews["w1"], s.sent["w1"]
	s.run("unlist w1\npass 10ms")
	s.do([]string{"worker", "w1"})
	s.lines = nil
	s.do([]string{"pass", "10ms"})
	s.collect()
	s.d.Renewed(s.now, dispatch.RenewResult{Renew: earlier, Sent: sent, Verdict: fleet.Unreachable})
	s.do([]string{"pass", "500ms"})
	s.collect()
	if len(s.lines) != 1 {
		t.Errorf("renewals in flight: %q, want one", s.lines)
	}
}
