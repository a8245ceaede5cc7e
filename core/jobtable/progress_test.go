package jobtable_test

import (
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/scripttest"
	"curlewsill.org/curlewsill/core/unit"
)

// TestProgress encodes and decodes the progress in testdata/progress/sizes.txt
// and checks the size of the records. A line has the largest size of the record
// in bytes, and groups of tasks in the form COUNTxPHASE. For placed tasks, /N
// is appended if each worker has N of them, as for placed tasks whose starts are
// confirmed or whose start orders are open.
//
// It guards against large records: each start and end of a task writes the
// progress of its job anew. With one entry for each task a site of 1,100
// workers wrote 1.4 MB of progress a second when its load began, 2.6 kB a
// record, most of it for tasks of later rounds and for repeated names.
func TestProgress(t *testing.T) {
	scripttest.EachLine(t, "progress/sizes.txt", func(f []string) {
		t.Run(strings.Join(f[1:], "+"), func(t *testing.T) {
			p := job.Progress{Ended: 17}
			for _, g := range f[1:] {
				p.Tasks = append(p.Tasks, tasksOf(t, g)...)
			}
			if len(p.Tasks) > 0 {
				p.Crashes = []job.CrashCount{{Task: 0, Run: 2, Worker: "i-0", Early: 1, Total: 2}}
			}
			got, size := storeProgress(t, p)
			if !reflect.DeepEqual(got, p) {
				t.Errorf("%+v is decoded as %+v", p, got)
			}
			if limit, err := strconv.Atoi(f[0]); err != nil || size > limit {
				t.Errorf("record of %d bytes, want at most %s, %v", size, f[0], err)
			}
		})
	})
}

// TestExcusedCrashes checks that a progress record keeps the number of excused
// crashes.
//
// It guards against a new owner that excuses as many crashes as the one before
// again: a task that crashes its workers was started three times too often.
func TestExcusedCrashes(t *testing.T) {
	counts := []job.CrashCount{
		{Task: 0, Run: 2, Worker: "i-0", Early: 1, Total: 2, Excused: 1},
		{Task: 1, Run: 4, Worker: "i-1", Total: 1},
		{Task: 2, Run: 3, Worker: "i-2", Excused: 2},
	}
	if got, _ := storeProgress(t, job.Progress{Crashes: counts}); !reflect.DeepEqual(got.Crashes, counts) {
		t.Errorf("%+v is decoded as %+v", counts, got.Crashes)
	}
}

// TestOutdatedConfirmation checks that the confirmation of a start has no effect
// on a later run of its task.
//
// It guards against a task that runs twice after a host that doesn't know such
// entries has kept one while it placed the task again: the next owner would
// place the task once more although the order to start it may still be carried
// out.
func TestOutdatedConfirmation(t *testing.T) {
	p := job.Progress{Tasks: []job.TaskState{{Phase: job.Placed, Run: 3, Worker: "i-1@7"}}}
	p.Crashes = []job.CrashCount{{Task: -1, Run: 2, Total: 1}, {Task: -1, Run: 1, Early: 5, Total: 1}}
	if got, _ := storeProgress(t, p); got.Tasks[0].StartConfirmed || got.Tasks[0].StartOpenUntil != 0 || len(got.Crashes) > 0 {
		t.Errorf("got %+v, want no confirmed start and no crash count", got)
	}
}

// storeProgress writes a job's progress to a table. It returns what the table has
// of it, and the size of the record in bytes.
func storeProgress(t *testing.T, p job.Progress) (got job.Progress, size int) {
	t.Helper()
	table := jobtable.New()
	r, err := table.ProgressRecord("j", p)
	if err != nil {
		t.Fatal(err)
	}
	if err := table.ApplyProgress(r); err != nil {
		t.Fatal(err)
	}
	return table.Get("j").Progress, len(r.Value)
}

// tasksOf returns the tasks of a group in the form COUNTxPHASE[/N].
func tasksOf(t *testing.T, group string) []job.TaskState {
	count, phase, _ := strings.Cut(group, "x")
	phase, perWorker, _ := strings.Cut(phase, "/")
	n, err := strconv.Atoi(count)
	if err != nil {
		t.Fatal(err)
	}
	out := make([]job.TaskState, n)
	for i := range out {
		switch phase {
		case "waits":
		case "done":
			out[i] = job.TaskState{Phase: job.Done, Run: 1}
		case "placed", "confirmed", "open":
			per, err := strconv.Atoi(perWorker)
			if err != nil {
				t.Fatal(err)
			}
			worker := id.Worker("i-54e03b" + strconv.Itoa(1000+i/per))
			out[i] = job.TaskState{Phase: job.Placed, Run: 3, Failures: 1, Worker: worker, Checkpoint: "00000bb87a21d94b", StartConfirmed: phase == "confirmed"}
			if phase == "open" {
				out[i].StartOpenUntil = unit.Instant(1700000000123 * time.Millisecond)
			}
		default:
			t.Fatalf("unknown phase: %s", phase)
		}
	}
	return out
}

// TestDamagedProgress decodes invalid records, which no owner writes: each must be
// rejected.
func TestDamagedProgress(t *testing.T) {
	for name, value := range map[string]string{
		"unknown name":     "\x85\x00\x00\x80\x81\x86\x01\x01\x01\x00\x01\x00\x80",
		"a negative count": "\x85\x00\x00\x80\x81\x86\x20\x01\x01\x00\x00\x00\x80",
		"a huge count":     "\x85\x00\x00\x80\x81\x86\x1a\xff\xff\xff\xff\x01\x01\x00\x00\x00\x80",
		// The first group is valid. The count of the second one makes the sum
		// of both overflow.
		"counts that overflow": "\x85\x00\x00\x80\x82\x86\x01\x01\x01\x00\x00\x00\x86\x1b\x7f\xff\xff\xff\xff\xff\xff\xff\x01\x01\x00\x00\x00\x80",
		"unknown format":       "\x83\x00\x00\x80",
		"truncated record":     "\x85\x00\x00",
	} {
		t.Run(name, func(t *testing.T) {
			if err := jobtable.New().ApplyProgress(jobtable.Record{Key: "progress/j", Value: []byte(value)}); err == nil {
				t.Error("the record was accepted")
			}
		})
	}
}

// FuzzProgress checks that decoding a progress record never panics, and that an
// accepted value is the same after it is encoded and decoded again.
func FuzzProgress(f *testing.F) {
	full := job.Progress{Ended: 17, Crashes: []job.CrashCount{{Task: 0, Run: 2, Worker: "i-0", Early: 1, Total: 2, Excused: 1}}}
	full.Tasks = []job.TaskState{{Phase: job.Done, Run: 1}, {Phase: job.Placed, Run: 3, Failures: 1, Worker: "i-1", Checkpoint: "c"}, {}}
	for _, p := range []job.Progress{{}, full} {
		r, err := jobtable.New().ProgressRecord("j", p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(r.Value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		table := jobtable.New()
		if err := table.ApplyProgress(jobtable.Record{Key: "progress/j", Value: value}); err != nil || table.Get("j") == nil {
			return
		}
		accepted := table.Get("j").Progress
		r, err := table.ProgressRecord("j", accepted)
		if err != nil {
			t.Fatalf("%q was accepted, but its progress can't be encoded: %v", value, err)
		}
		if err := table.ApplyProgress(r); err != nil {
			t.Fatalf("%q was accepted, but its new encoding was not: %v", value, err)
		}
		if got := table.Get("j").Progress; len(got.Tasks) != len(accepted.Tasks) || len(got.Tasks) < 100 && !reflect.DeepEqual(got, accepted) {
			t.Errorf("%q is decoded as %+v after encoding, want %+v", value, got, accepted)
		}
	})
}
