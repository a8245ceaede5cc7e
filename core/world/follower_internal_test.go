package world

import (
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/jobtable"
)

// TestLoadKeepsReplacedRecord guards against a model of the store whose answer to a
// loading host lacks a record that was replaced after the store had answered. No
// store answers so: the host would count a job that had ended as waiting.
func TestLoadKeepsReplacedRecord(t *testing.T) {
	w := newHarness(t).w
	f := w.callers.followers[0]
	if f.loaded {
		t.Fatal("the host has a table before its first read")
	}
	store := func() {
		r, err := w.table.SummaryRecord("j", jobtable.Summary{})
		if err != nil {
			t.Fatal(err)
		}
		w.callers.stored(r)
	}
	store()
	loaded := false
	f.read(func(complete bool) { loaded = complete })
	store()
	w.Run(25 * time.Millisecond)
	if !loaded {
		t.Fatal("the host's read has not come to the end of the log")
	}
	if e := f.table.Get("j"); e == nil || e.Summary == nil {
		t.Error("the host's table lacks the summary that was in the store when the host read it")
	}
}
