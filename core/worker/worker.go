// Package worker defines what the owner of scheduling and a worker say to each
// other.
//
// The owner sends the whole list of tasks that a worker should hold, and the
// worker answers with the whole list that it holds. Both are states and not
// commands, so a message that is lost, doubled or late does no harm: the next one
// says everything again. Where a list is the same as before, a message refers to the
// earlier one instead of repeating it, which keeps renewals short. A worker keeps to five rules:
//
//   - A sync of a lower epoch, or one that is not newer than the last of the same
//     epoch, changes nothing.
//   - A sync that is meant for another life of the worker changes nothing either: a
//     worker that was restarted remembers neither epochs nor leases.
//   - A task that is not listed is stopped.
//   - A task is created only if the sync allows it and the worker never held that
//     lease before. It is created gated: it holds its accelerators and runs
//     nothing until its gate is opened.
//   - A task whose lease has run out by the worker's own clock is stopped. A new
//     task has GatedTerm; after that only renewals count.
package worker

import (
	"time"

	"curlewsill.org/curlewsill/core/id"
	"curlewsill.org/curlewsill/core/unit"
)

// GatedTerm is the lease of a task from its creation.
const GatedTerm = 10 * time.Second

// Sync is what the owner wants a worker to hold.
type Sync struct {
	Worker id.Worker `json:"worker"`
	Epoch  id.Epoch  `json:"epoch"`
	// Seq grows with each sync of an epoch to a worker.
	Seq id.Seq `json:"seq"`
	// Life is the worker's life that the sync is meant for; 0 if the owner has not
	// heard of the worker yet. A worker of another life takes nothing from it.
	Life uint64 `json:"life"`
	// Tasks is the whole list, unless Base is set.
	Tasks []Want `json:"tasks,omitempty"`
	// Base says that the list is that of the earlier sync Base, whose report the
	// owner has had, and that Until extends every lease of it. 0 for a whole list.
	Base  id.Seq        `json:"base,omitempty"`
	Until time.Duration `json:"until,omitempty"`
}

// Want is one task that a worker should hold.
type Want struct {
	Job   id.Job   `json:"job"`
	Lease id.Lease `json:"lease"`
	// Mask has a bit for each accelerator of this worker, from bit 0.
	Mask uint64 `json:"mask"`
	// Create allows the worker to create the task, gated.
	Create bool `json:"create,omitempty"`
	// Open opens the gate, or keeps it open.
	Open bool `json:"open,omitempty"`
	// Until extends the lease to this reading of the worker's own clock. It is
	// counted from a reading that the worker reported, so a sync that arrives late
	// extends nothing. 0 leaves the lease as it is.
	Until   time.Duration `json:"until"`
	Cores   int           `json:"cores,omitempty"`
	Memory  unit.Bytes    `json:"memory,omitempty"`
	Command string        `json:"command,omitempty"`
	Trace   string        `json:"trace,omitempty"`
}

// TaskState is a state of the task's chart, or Missing.
type TaskState string

// The states that a worker reports.
const (
	Gated   TaskState = "gated"
	Running TaskState = "running"
	Exited  TaskState = "exited"
	Crashed TaskState = "crashed"
	Stopped TaskState = "stopped"
	// Missing answers for a task that the worker doesn't hold and was not
	// allowed to create.
	Missing TaskState = "missing"
	// Denied answers for a task that finds no room on the worker.
	Denied TaskState = "denied"
)

// Ended reports whether a task in this state holds no accelerator any more.
func (s TaskState) Ended() bool { return s != Gated && s != Running }

// Task is what a worker says of one task.
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
	// Clock is the worker's steady clock when it answered. Its zero is arbitrary
	// but fixed for one life of the worker.
	Clock time.Duration `json:"clock"`
	// Life is drawn at random when the worker starts. A worker with another life
	// holds none of the earlier one's tasks.
	Life uint64 `json:"life"`
	// Tasks lists every task that the sync named and every one still held.
	Tasks []Task `json:"tasks,omitempty"`
	// Base answers a sync with a Base that the worker knows, if no task has changed
	// since its report to that one; Tasks is empty then. A worker that doesn't know
	// the Base takes nothing from the sync and answers with a whole list.
	Base id.Seq `json:"base,omitempty"`
}
