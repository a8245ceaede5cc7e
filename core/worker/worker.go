// Package worker defines the messages between the owner of scheduling and a
// worker.
//
// The owner sends the complete list of tasks that a worker should hold, and the
// worker answers with the complete list of tasks that it holds. Both messages
// transfer state and not commands, so a lost, duplicated or late message does no
// harm: the next one contains the complete state again. If a list is unchanged, a
// message refers to the earlier one instead of repeating it, which keeps renewals
// short. A worker follows five rules:
//
//   - A sync with a lower epoch than the highest one seen, or one that is not
//     newer than the last sync of the same epoch, has no effect.
//   - A sync for another incarnation of the worker has no effect either, because
//     a restarted worker remembers neither epochs nor leases.
//   - A task that is not listed is stopped.
//   - A task is created only if the sync allows it and the worker never held that
//     lease before. It is created gated: it holds its accelerators but runs
//     nothing until its gate is opened.
//   - A task is stopped when its lease expires by the worker's own clock. The
//     lease of a new task lasts for GatedLeaseDuration; afterwards only a renewal
//     extends it.
package worker

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// GatedLeaseDuration is the duration of the first lease of a task, from its
// creation.
const GatedLeaseDuration = 10 * time.Second

// Sync is the list of tasks that the owner wants a worker to hold.
type Sync struct {
	Worker id.Worker `json:"worker"`
	Epoch  id.Epoch  `json:"epoch"`
	// Seq increases with each sync of an epoch to a worker.
	Seq id.Seq `json:"seq"`
	// Incarnation is the incarnation of the worker that the sync is meant for; 0 if the
	// owner has no report from the worker yet. Another incarnation ignores the
	// sync.
	Incarnation uint64 `json:"life"`
	// Tasks is the complete list, unless Base is set.
	Tasks []WantedTask `json:"tasks,omitempty"`
	// Base is the Seq of an earlier sync whose report the owner has received,
	// or 0 if Tasks is the complete list. If Base is set, the list is that of
	// the earlier sync, and Until extends every lease in it.
	Base  id.Seq        `json:"base,omitempty"`
	Until time.Duration `json:"until,omitempty"`
}

// WantedTask is one task that a worker should hold.
type WantedTask struct {
	Job   id.Job   `json:"job"`
	Lease id.Lease `json:"lease"`
	// Mask has a bit for each accelerator of this worker, from bit 0.
	Mask uint64 `json:"mask"`
	// Create allows the worker to create the task, gated.
	Create bool `json:"create,omitempty"`
	// Open opens the gate of the task, or keeps it open.
	Open bool `json:"open,omitempty"`
	// Until extends the lease up to this reading of the worker's own clock. The
	// owner computes it from a reading that the worker has reported, so a late sync
	// doesn't extend the lease any further. 0 leaves the lease unchanged.
	Until   time.Duration `json:"until"`
	Cores   int           `json:"cores,omitempty"`
	Memory  unit.Bytes    `json:"memory,omitempty"`
	Command string        `json:"command,omitempty"`
	Trace   string        `json:"trace,omitempty"`
}

// TaskState is a state of task.chart, or Missing or Denied.
type TaskState string

// The states that a worker reports.
const (
	Gated   TaskState = "gated"
	Running TaskState = "running"
	Exited  TaskState = "exited"
	Crashed TaskState = "crashed"
	Stopped TaskState = "stopped"
	// Missing is reported for a task that the worker doesn't hold and was not
	// allowed to create.
	Missing TaskState = "missing"
	// Denied is reported for a task for which the worker lacks free resources.
	Denied TaskState = "denied"
)

// Ended reports whether a task in this state holds no accelerators any more.
// The empty state, which stands for a task without a report, also counts as
// ended.
func (s TaskState) Ended() bool { return s != Gated && s != Running }

// Task is the state of one task in a report.
type Task struct {
	Job   id.Job    `json:"job"`
	Lease id.Lease  `json:"lease"`
	State TaskState `json:"state"`
	Mask  uint64    `json:"mask"`
}

// Report is a worker's answer to a sync.
type Report struct {
	Worker id.Worker `json:"worker"`
	// Epoch is the highest epoch that the worker has seen. If it is higher than
	// the sync's, the sync changed nothing and Tasks is empty.
	Epoch id.Epoch `json:"epoch"`
	Seq   id.Seq   `json:"seq"`
	// Clock is the reading of the worker's monotonic clock when it answered. Its
	// zero is arbitrary but fixed for one incarnation of the worker.
	Clock time.Duration `json:"clock"`
	// Incarnation identifies the incarnation of the worker. It is drawn at random when
	// the worker starts. A new incarnation holds none of the tasks of the one
	// before.
	Incarnation uint64 `json:"life"`
	// Tasks lists every task in the sync and every other task that the worker
	// still holds.
	Tasks []Task `json:"tasks,omitempty"`
	// Base repeats the Base of the sync if the worker has the list of that
	// earlier sync and no task has changed since its report on it. Tasks is
	// empty then. Otherwise the worker answers with the complete list of its
	// tasks. If it doesn't have the list of the earlier sync, it also ignores
	// this sync.
	Base id.Seq `json:"base,omitempty"`
}
