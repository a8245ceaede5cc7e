package sitedemo_test

import (
	"io"
	"testing"

	"curlewsill.org/curlewsill/internal/sitedemo"
)

// TestRun plays the trial: all jobs are completed, and each task is started once.
func TestRun(t *testing.T) {
	rep, err := sitedemo.Run(t.Context(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if rep.Completed != rep.Jobs || rep.Starts != rep.Tasks {
		t.Errorf("%+v", rep)
	}
}
