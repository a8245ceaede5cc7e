package entry

import (
	"bytes"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"curlewsill.org/curlewsill/core/dispatch"
	"curlewsill.org/curlewsill/core/fleet"
	"curlewsill.org/curlewsill/core/handover"
	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/job"
	"curlewsill.org/curlewsill/core/jobtable"
	"curlewsill.org/curlewsill/core/policy"
	"curlewsill.org/curlewsill/internal/ring"
)

// doneTask is the task whose end the former owner tells in the tests.
var doneTask = job.TaskID{Job: "j1"}

// placedTable returns a table of a store in which doneTask is placed on a worker by the
// owner with epoch 7, and host a has claimed the ownership with epoch 9.
func placedTable(t *testing.T) *jobtable.Table {
	t.Helper()
	table := jobtable.New()
	apply := func(apply func(jobtable.Record) error, r jobtable.Record, err error) {
		t.Helper()
		if err == nil {
			err = apply(r)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	applyJob := func(r jobtable.Record) error { _, err := table.Apply(r); return err }
	for _, o := range []jobtable.Owner{{Host: "b#1", Epoch: 7}, {Host: "a#1", Epoch: 9}} {
		r, err := table.OwnerRecord(o)
		apply(applyJob, r, err)
	}
	r, err := table.SpecRecord(doneTask.Job, job.Spec{Steps: []job.Step{{Count: 1}}, MaxAttempts: 3})
	apply(applyJob, r, err)
	r, err = table.ProgressRecord(doneTask.Job, job.Progress{Tasks: []job.TaskState{{Phase: job.Placed, Run: 1, Worker: "w1"}}})
	apply(table.ApplyProgress, r, err)
	return table
}

// newOwnerHost returns a host that has just become the owner from placedTable.
func newOwnerHost(t *testing.T) *Host {
	t.Helper()
	h := &Host{log: zap.NewNop(), metrics: newMetrics(), table: placedTable(t), events: ring.New[event](eventCapacity), clock: newTestClock(), loaded: true}
	h.owner = &owner{host: h, epoch: 9, cancel: func() {}, core: dispatch.New(dispatch.Config{MaxLease: 10 * time.Second}, policy.New(), 9, h.table)}
	h.owner.updateJob(h.now(), doneTask.Job)
	return h
}

// tell passes a message to a host as a peer does.
func tell(t *testing.T, h *Host, m handover.Message) {
	t.Helper()
	body, err := handovers.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	h.deciding.Store(true)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, watchBase+handoverPath, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := (watchTransport{h}).RoundTrip(req); err != nil {
		t.Fatal(err)
	}
	(<-h.events.C())(h.now())
}

// TestHandover checks that an owner uses what the former one has told, whether that
// comes before or after the takeover, and guards against ends that are lost with the
// owner that has read them.
func TestHandover(t *testing.T) {
	done := handover.Message{Epoch: 7, Workers: []handover.Worker{{ID: "w1", Ends: []fleet.End{{Seq: 1, Task: doneTask, Run: 1, Reason: fleet.EndDone}}}}}
	for name, told := range map[string]func(t *testing.T, h *Host){
		"after the takeover": func(t *testing.T, h *Host) { tell(t, h, done) },
		"before the takeover": func(t *testing.T, h *Host) {
			o := h.owner
			h.owner = nil
			tell(t, h, done)
			h.owner = o
			h.useHandover(h.now())
		},
		"by an earlier owner": func(t *testing.T, h *Host) {
			m := done
			m.Epoch = 5
			tell(t, h, m)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newOwnerHost(t)
				told(t, h)
				if got := h.owner.core.PlacedRuns(); got != 0 {
					t.Errorf("%d runs are still placed", got)
				}
			})
		})
	}
}

// TestHandoverSupersedes guards against a late message that replaces a newer or a more
// complete one.
func TestHandoverSupersedes(t *testing.T) {
	message := func(e id.Epoch, final bool) receivedHandover {
		return receivedHandover{Message: handover.Message{Epoch: e, Final: final}}
	}
	for _, c := range []struct {
		name     string
		new, old receivedHandover
		want     bool
	}{
		{"first", message(7, false), receivedHandover{}, true},
		{"newer of the same owner", message(7, false), message(7, false), true},
		{"final", message(7, true), message(7, false), true},
		{"after the final one", message(7, false), message(7, true), false},
		{"of an earlier owner", message(6, true), message(7, false), false},
		{"of a later owner", message(8, false), message(7, true), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.new.supersedes(c.old); got != c.want {
				t.Errorf("got %t", got)
			}
		})
	}
}
