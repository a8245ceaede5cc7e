package sitedemo_test

import (
	"io"
	"testing"

	"curlewsill.org/curlewsill/internal/sitedemo"
)

// TestRun runs the demo: all jobs must be completed, and each task must be
// started exactly once.
func TestRun(t *testing.T) {
	rep, err := sitedemo.Run(t.Context(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if rep.Completed != rep.Jobs || rep.Starts != rep.Tasks {
		t.Errorf("not all jobs were completed, or tasks were not started exactly once: %+v", rep)
	}
}
