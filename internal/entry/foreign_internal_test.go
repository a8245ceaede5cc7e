package entry

import (
	"fmt"
	"testing"
	"testing/synctest"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
)

// TestForeignEntry takes in entries of the list of workers that another program has written.
//
// An entry that was good and was overwritten by one that can't be read left its worker in use, and each of its repetitions logged a line again: the
// owner left such an entry out, as if it hadn't come. Of 14 kinds of such entries 8 were taken for workers, with no address or
// no room.
func TestForeignEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwnerOf(t, &hangingWorkers{under: map[string]int{}})
		core, lines := observer.New(zap.InfoLevel)
		o.host.log = zap.New(core)
		o.core = dispatch.New(dispatch.Config{}, policy.New(), 1, jobtable.New())
		good := fmt.Appendf(nil, `{"Backend":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1","Slots":8,"State":"ready",
"ColdRemainingMs":0,"Capacity":{"Cpu":8000,"MemMb":8000,"Gpus":8},"Labels":["a","r1"],"ClockMs":1,"Seq":1}`)
		steps := []struct {
			key   string
			value []byte
			// listed is whether worker w-1 is on the list afterwards, logged how many lines tell of entries that were left out.
			listed bool
			logged int
		}{
			{"w-1", good, true, 0},
			{"w-2", []byte("{}"), true, 1},
			{"w-1", []byte(`{"State":"ready"}`), false, 2},
			{"w-1", []byte(`{"State":"ready"}`), false, 2},
			{"w-1", []byte(`{"State":3}`), false, 3},
			{"w-1", good, true, 3},
			{"w-1", []byte(`{"State":3}`), false, 4},
			{"w-1", nil, false, 4},
			{"w-2", []byte("{}"), false, 4},
		}
		for i, x := range steps {
			o.list(o.host.now(), []jobtable.Record{{Key: x.key, Value: x.value}})
			if _, listed := o.listed["w-1"]; listed != x.listed || lines.FilterMessage("listing-rejected").Len() != x.logged {
				t.Errorf("step %d: listed %v, %d lines", i, o.listed["w-1"], lines.FilterMessage("listing-rejected").Len())
			}
		}
		unlisted := 0
		for _, n := range o.core.Notes() {
			if n.Event == dispatch.EventWorkerUnlisted {
				unlisted++
			}
		}
		if unlisted != 2 {
			t.Errorf("the decisions heard %d times that the list has dropped the worker, want 2", unlisted)
		}
	})
}
