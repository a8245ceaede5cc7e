package jobtable_test

import (
	"reflect"
	"strconv"
	"strings"
	"testing"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/scripttest"
)

// TestProgress writes the progress of testdata/progress/sizes.txt and reads it again. A line has the most bytes that a record may take, and groups
// of tasks: COUNTxPHASE, and for placed ones /N for N of them to a worker.
//
// Each start and end of a task writes its job anew. A site of 1,100 workers wrote 1.4 MB of progress a second as work began, 2.6 kB a record,
// most of it tasks of later rounds, and the same names again and again.
func TestProgress(t *testing.T) {
	scripttest.EachLine(t, "progress/sizes.txt", func(f []string) {
		t.Run(strings.Join(f[1:], "+"), func(t *testing.T) {
			p := job.Progress{Ended: 17}
			for _, g := range f[1:] {
				p.Tasks = append(p.Tasks, tasksOf(t, g)...)
			}
			if len(p.Tasks) > 0 {
				p.Crashes = []job.CrashCount{{Task: 0, Run: 2, Worker: "i-0", AtOnce: 1, All: 2}}
			}
			table := jobtable.New()
			r, err := table.ProgressRecord("j", p)
			if err != nil {
				t.Fatal(err)
			}
			if err := table.ApplyProgress(r); err != nil {
				t.Fatal(err)
			}
			if got := table.Get("j").Progress; !reflect.DeepEqual(got, p) {
				t.Errorf("%+v comes back as %+v", p, got)
			}
			if most, err := strconv.Atoi(f[0]); err != nil || len(r.Value) > most {
				t.Errorf("%d bytes, at most %s are wanted, %v", len(r.Value), f[0], err)
			}
		})
	})
}

// tasksOf returns a group of tasks.
func tasksOf(t *testing.T, group string) []job.TaskState {
	count, phase, _ := strings.Cut(group, "x")
	phase, each, _ := strings.Cut(phase, "/")
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
		case "placed":
			per, err := strconv.Atoi(each)
			if err != nil {
				t.Fatal(err)
			}
			worker := id.Worker("i-54e03b" + strconv.Itoa(1000+i/per))
			out[i] = job.TaskState{Phase: job.Placed, Run: 3, Failed: 1, Worker: worker, Checkpoint: "00000bb87a21d94b"}
		default:
			t.Fatalf("no such phase: %s", phase)
		}
	}
	return out
}

// TestDamagedProgress reads records that no owner writes: each is refused.
func TestDamagedProgress(t *testing.T) {
	for name, value := range map[string]string{
		"no such name":     "\x85\x00\x00\x80\x81\x86\x01\x01\x01\x00\x01\x00\x80",
		"a negative count": "\x85\x00\x00\x80\x81\x86\x20\x01\x01\x00\x00\x00\x80",
		"a huge count":     "\x85\x00\x00\x80\x81\x86\x1a\xff\xff\xff\xff\x01\x01\x00\x00\x00\x80",
		// One group that may be, and another whose count passes the largest number together with it.
		"counts that overflow": "\x85\x00\x00\x80\x82\x86\x01\x01\x01\x00\x00\x00\x86\x1b\x7f\xff\xff\xff\xff\xff\xff\xff\x01\x01\x00\x00\x00\x80",
		"another form":         "\x83\x00\x00\x80",
		"half of one":          "\x85\x00\x00",
	} {
		t.Run(name, func(t *testing.T) {
			if err := jobtable.New().ApplyProgress(jobtable.Record{Key: "progress/j", Value: []byte(value)}); err == nil {
				t.Error("the record was taken")
			}
		})
	}
}

// FuzzProgress checks that no value breaks the reading of progress, and that what is taken comes back when it is written again.
func FuzzProgress(f *testing.F) {
	full := job.Progress{Ended: 17, Crashes: []job.CrashCount{{Task: 0, Run: 2, Worker: "i-0", AtOnce: 1, All: 2}}}
	full.Tasks = []job.TaskState{{Phase: job.Done, Run: 1}, {Phase: job.Placed, Run: 3, Failed: 1, Worker: "i-1", Checkpoint: "c"}, {}}
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
		taken := table.Get("j").Progress
		r, err := table.ProgressRecord("j", taken)
		if err != nil {
			t.Fatalf("%q was taken, and can't be written: %v", value, err)
		}
		if err := table.ApplyProgress(r); err != nil {
			t.Fatalf("%q was taken, and not what it was written as: %v", value, err)
		}
		if got := table.Get("j").Progress; len(got.Tasks) != len(taken.Tasks) || len(got.Tasks) < 100 && !reflect.DeepEqual(got, taken) {
			t.Errorf("%q comes back as %+v instead of %+v", value, got, taken)
		}
	})
}
