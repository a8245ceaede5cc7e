package jobtable_test

import (
	"bytes"
	"reflect"
	"testing"

	"curlewsill.org/curlewsill/core/codec"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/unit"
)

// formerProgress is a job's progress as hosts write it that count no crashes.
type formerProgress struct {
	_       struct{} `cbor:",toarray"`
	Outcome job.Outcome
	Ended   unit.Instant
	Tasks   []job.TaskState
}

// TestProgressForms checks that hosts of two versions read each other's records while they are replaced one after the other: a job under which no
// worker has crashed is written as before, and what was written before is read. With counts a record comes back as it was written.
func TestProgressForms(t *testing.T) {
	tasks := []job.TaskState{{Phase: job.Placed, Run: 3, Failed: 1, Worker: "w-1", Checkpoint: "c"}, {Phase: job.Done, Run: 1}}
	former := codec.New[formerProgress]()
	for _, p := range []job.Progress{
		{},
		{Outcome: job.Completed, Ended: 17},
		{Tasks: tasks},
		{Tasks: tasks, Crashes: []job.CrashCount{{Task: 0, Run: 2, Worker: "w-0", AtOnce: 1, All: 2}}},
	} {
		table := jobtable.New()
		r, err := table.ProgressRecord("j", p)
		if err != nil {
			t.Fatal(err)
		}
		if len(p.Crashes) == 0 {
			old, err := former.Encode(formerProgress{Outcome: p.Outcome, Ended: p.Ended, Tasks: p.Tasks})
			if err != nil || !bytes.Equal(old, r.Value) {
				t.Errorf("%+v is written as %x, was %x, %v", p, r.Value, old, err)
			}
		}
		if _, err := table.Apply(r); err != nil {
			t.Fatal(err)
		}
		if e := table.Get("j"); !reflect.DeepEqual(e.Progress, p) {
			t.Errorf("%+v comes back as %+v", p, e.Progress)
		}
	}
}
