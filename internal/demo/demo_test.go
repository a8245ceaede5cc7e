package demo_test

import (
	"io"
	"testing"

	"curlewsill.org/curlewsill/examples"
	"curlewsill.org/curlewsill/internal/demo"
)

// TestDemo runs the demo of each shipped site. At any speed of the machine, no
// invariant may be violated, and some requests, gangs and changes must be
// completed.
func TestDemo(t *testing.T) {
	for _, site := range examples.Sites() {
		t.Run(site, func(t *testing.T) {
			t.Parallel()
			rep, err := demo.Run(t.Context(), site, io.Discard)
			if err != nil {
				t.Fatalf("%v: %v", err, rep.Violations)
			}
			if rep.Requests.Complete == 0 || rep.Started == 0 || rep.Changes == 0 {
				t.Errorf("nothing was done: %+v", rep)
			}
		})
	}
}
